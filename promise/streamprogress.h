#pragma once

// The one reader of an answer: what of the engine's lines goes on to the caller, and when to read again.
//
//     StreamProgress progress(options, Offset(0), now);       // Offset(N): a caller that has N fragments already
//     progress.onAttached(now);                               // the engine answered; it sends from progress.readFrom()
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
    Drop, // a duplicate, or a part that the caller has already
    Gap, // something before it is missing: read again
};

enum class EndVerdict {
    Whole, // length and digest agree: the answer is complete
    Short, // fragments are missing: read again
    Corrupt, // the text is not what the engine says it wrote: the answer must not be called complete
};

enum class StreamCheck {
    Healthy,
    Reattach, // silent for too long: read again on a new connection
    GaveUp, // no progress in spite of reading again
};

class StreamProgress
{
public:
    struct Options {
        // A decode step takes some 20 to 70 ms; ten missed ones are a silent connection, not a slow engine.
        Duration silence{1s};
        // Attempts without any new fragment between them.
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
    // The connection broke; the caller of this reads again unless check() says GaveUp.
    void onBroken(Instant now);
    // Also notes an attempt when it says Reattach.
    StreamCheck check(Instant now);

    // Where to read from. 0 at first also for a caller that resumes: only the whole text can be checked by its digest.
    Offset readFrom() const;
    // Fragments that the caller has.
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

// The digest of a whole text as engines write it.
std::string textDigest(std::string_view text);

} // namespace fescuesill
