#pragma once

// Tokens with which a caller that lost its entry reads on at any other one.
//
//     const auto tokens = ResumeTokens::create({"new key, 32 bytes or more...", "old key ..."});
//     const std::string prefix = tokens->mint(grant);                  // once per stream
//     const std::string id = ResumeTokens::eventId(prefix, Offset(12)); // per fragment: the offset is appended
//     const auto point = tokens->open(lastEventId, workspace, sharedNow());
//     if (!point) { resumeRefusal(point.error()) ... }
//
// The first key signs; every key is accepted, so that a key is rotated without cutting a stream.

#include "fescuesill/errors.h"
#include "fescuesill/ids.h"
#include "fescuesill/units.h"

#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace fescuesill
{

// What a token lets its bearer read.
struct ResumeGrant {
    EngineId engine;
    StreamId stream;
    RequestId request;
    WorkspaceId workspace;
    Instant expiry; // shared time
};

struct ResumePoint {
    ResumeGrant grant;
    Offset next; // the first fragment that the caller has not got
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
    // HMAC-SHA256 keys shorter than its output weaken it.
    static constexpr std::size_t minKeyBytes = 32;
    // One that signs and one that is being rotated out.
    static constexpr std::size_t maxKeys = 2;
    // A longer token cannot be ours; bounds the work for a forged one.
    static constexpr std::size_t maxTokenBytes = 1024;

    static tl::expected<ResumeTokens, ResumeKeyError> create(std::vector<std::string> keys);

    std::string mint(const ResumeGrant &grant) const;
    // The id of the fragment at this offset: a caller that presents it has that fragment.
    static std::string eventId(std::string_view prefix, Offset offset);
    tl::expected<ResumePoint, ResumeTokenError> open(std::string_view token, const WorkspaceId &workspace,
                                                     Instant now) const;

private:
    explicit ResumeTokens(std::vector<std::string> keys);

    std::vector<std::string> keys;
};

// What the caller is told. The text is the same for a forged and another caller's token: it tells a prober nothing.
Refusal resumeRefusal(ResumeTokenError error);

} // namespace fescuesill
