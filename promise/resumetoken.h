#pragma once

// Tokens with which a caller that lost its connection to an entry resumes the stream at any other entry.
//
//     const auto tokens = ResumeTokens::create({"new key, 32 bytes or more...", "old key ..."});
//     const std::string prefix = tokens->mint(grant);                  // once per stream
//     const std::string id = ResumeTokens::eventId(prefix, Offset(12)); // per fragment: the offset is appended
//     const auto point = tokens->open(lastEventId, workspace, sharedNow());
//     if (!point) { resumeRefusal(point.error()) ... }
//
// The first key signs and all keys are accepted, so that keys can be rotated without interrupting streams.

#include "fescuesill/errors.h"
#include "fescuesill/ids.h"
#include "fescuesill/units.h"

#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace fescuesill
{

// The access that a token grants to its bearer.
struct ResumeGrant {
    EngineId engine;
    StreamId stream;
    RequestId request;
    WorkspaceId workspace;
    Instant expiry; // shared time
};

struct ResumePoint {
    ResumeGrant grant;
    Offset next; // the first fragment that the caller has not received
};

enum class ResumeTokenError {
    Malformed,
    Forged, // or signed with a key that is no longer accepted
    Expired,
    OtherWorkspace,
};

struct ResumeKeyError {
    std::string text;
};

class ResumeTokens
{
public:
    // Keys shorter than the output of HMAC-SHA256 weaken it.
    static constexpr std::size_t minKeyBytes = 32;
    // One key that signs and one that is being rotated out.
    static constexpr std::size_t maxKeys = 2;
    // No valid token is longer. Bounds the work for a forged one.
    static constexpr std::size_t maxTokenBytes = 1024;

    static tl::expected<ResumeTokens, ResumeKeyError> create(std::vector<std::string> keys);

    std::string mint(const ResumeGrant &grant) const;
    // The ID of the fragment at this offset. A caller that presents it has received that fragment.
    static std::string eventId(std::string_view prefix, Offset offset);
    tl::expected<ResumePoint, ResumeTokenError> open(std::string_view token, const WorkspaceId &workspace,
                                                     Instant now) const;

private:
    explicit ResumeTokens(std::vector<std::string> keys);

    std::vector<std::string> keys;
};

// The refusal that is returned to the caller. A forged token and another workspace's token produce the same text, so
// that the refusal discloses nothing about existing streams.
Refusal resumeRefusal(ResumeTokenError error);

} // namespace fescuesill
