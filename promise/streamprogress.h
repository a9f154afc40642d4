#pragma once

// Tracks the reading of one answer: which of the engine's lines are relayed to the caller, and when to read again.
//
//     StreamProgress progress(options, Offset(0), now);       // Offset(N): a caller that has N fragments already
//     progress.onAttached(now);                               // the engine replied; it sends from progress.readFrom()
//     switch (progress.onFragment(offset, text, now)) { case FragmentVerdict::Deliver: ... }
//     switch (progress.onEnd(length, digest)) { case EndVerdict::Whole: ... }
//     switch (progress.check(now)) { case StreamCheck::Reattach: ... on a new connection ... }
//
// After Gap, Short, a broken connection or Reattach, read again with GET /v1/streams/ID?from=readFrom().

#include "fescuesill/units.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

struct XXH3_state_s;

namespace fescuesill
{

enum class FragmentVerdict {
    Deliver, // next in order and new to the caller
    Drop, // a duplicate, or a fragment that the caller already has
    Gap, // an earlier fragment is missing: read again
};

enum class EndVerdict {
    Whole, // length and digest agree: the answer is complete
    Short, // fragments are missing: read again
    Corrupt, // the text differs from what the engine states it wrote: the answer must not be reported as complete
};

enum class StreamCheck {
    Healthy,
    Reattach, // silent for too long: read again on a new connection
    GaveUp, // no progress despite reading again
};

class StreamProgress
{
public:
    struct Options {
        // A decode step takes some 20 to 70 ms, so after ten missing ones the connection is assumed to be broken.
        Duration silence{1s};
        // Attempts without a new fragment in between.
        int reattaches = 5;
    };

    StreamProgress(Options options, Offset callerHas, Instant now);
    ~StreamProgress();
    StreamProgress(StreamProgress &&other) noexcept;
    StreamProgress &operator=(StreamProgress &&other) noexcept;
    StreamProgress(const StreamProgress &) = delete;
    StreamProgress &operator=(const StreamProgress &) = delete;

    void onAttached(Instant now);
    FragmentVerdict onFragment(Offset offset, std::string_view text, Instant now);
    EndVerdict onEnd(Offset length, std::string_view digest);
    // The connection broke. The stream is to be read again unless check() returns GaveUp.
    void onBroken(Instant now);
    // Also counts an attempt when it returns Reattach.
    StreamCheck check(Instant now);

    // The offset to read from. Starts at 0 even for a caller that resumes, since the digest covers the whole text.
    Offset readFrom() const;
    // The number of fragments that the caller has.
    Offset delivered() const;
    bool isComplete() const;

private:
    struct DigestDeleter {
        void operator()(XXH3_state_s *digest) const;
    };

    Options options;
    Offset callerHas;
    Offset next;
    Instant lastHeard;
    int reattached = 0;
    bool complete = false;
    std::unique_ptr<XXH3_state_s, DigestDeleter> digest;
};

// The digest of a whole text in the format that engines send.
std::string textDigest(std::string_view text);

} // namespace fescuesill
