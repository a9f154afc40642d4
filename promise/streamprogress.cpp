#include "promise/streamprogress.h"

#include <algorithm>
#include <xxhash.h>

// An answer is complete when its fragments 0..length-1 were each accepted once, in order, and the digest of their text
// equals the engine's. `next` only increases by one, so a fragment that arrives twice, late or on an older connection
// is dropped. A fragment that arrives early is a gap, from which the stream is read again; nothing is buffered.
//
// For a caller that resumes with N fragments the stream is read from 0, and only the missing fragments are delivered:
// the digest covers the whole text, and an entry that starts at N could not verify it. The engine sends some kilobytes
// more. Rejected: a copy of the hash state in every resume token.
//
// A middlebox between the two ends may drop the state of a connection, which then stays silent while new connections
// work, and the answer would stop in the middle without an error. A stream that is silent for `silence` is therefore
// read again on a new connection. For an engine that is merely slow this only costs a reattach.

namespace fescuesill
{
namespace
{

std::string hexOf(XXH64_hash_t hash)
{
    constexpr char digits[] = "0123456789abcdef";
    std::string text(16, '0');
    for (auto digit = text.rbegin(); digit != text.rend(); ++digit) {
        *digit = digits[hash & 0xf];
        hash >>= 4;
    }
    return text;
}

} // namespace

void StreamProgress::DigestDeleter::operator()(XXH3_state_s *state) const
{
    XXH3_freeState(state);
}

StreamProgress::StreamProgress(Options options, Offset callerHas, Instant now)
    : options(options)
    , callerHas(callerHas)
    , lastHeard(now)
    , digest(XXH3_createState())
{
    XXH3_64bits_reset(this->digest.get());
}

StreamProgress::~StreamProgress() = default;
StreamProgress::StreamProgress(StreamProgress &&other) noexcept = default;
StreamProgress &StreamProgress::operator=(StreamProgress &&other) noexcept = default;

void StreamProgress::onAttached(Instant now)
{
    this->lastHeard = now;
}

FragmentVerdict StreamProgress::onFragment(Offset offset, std::string_view text, Instant now)
{
    this->lastHeard = now;
    if (this->complete || offset < this->next) {
        return FragmentVerdict::Drop;
    }
    if (this->next < offset) {
        return FragmentVerdict::Gap;
    }
    XXH3_64bits_update(this->digest.get(), text.data(), text.size());
    this->next += Offset(1);
    this->reattached = 0;
    return offset < this->callerHas ? FragmentVerdict::Drop : FragmentVerdict::Deliver;
}

EndVerdict StreamProgress::onEnd(Offset length, std::string_view expected)
{
    if (this->next < length) {
        return EndVerdict::Short;
    }
    if (length < this->next || length < this->callerHas || hexOf(XXH3_64bits_digest(this->digest.get())) != expected) {
        return EndVerdict::Corrupt;
    }
    this->complete = true;
    return EndVerdict::Whole;
}

void StreamProgress::onBroken(Instant now)
{
    // The first attempt is immediate, further ones are `silence` apart, so that a restarting engine is not polled in a
    // tight loop.
    this->lastHeard = this->reattached == 0 ? now - this->options.silence : now;
}

StreamCheck StreamProgress::check(Instant now)
{
    if (this->complete || now - this->lastHeard < this->options.silence) {
        return StreamCheck::Healthy;
    }
    if (this->reattached >= this->options.reattaches) {
        return StreamCheck::GaveUp;
    }
    ++this->reattached;
    this->lastHeard = now;
    return StreamCheck::Reattach;
}

Offset StreamProgress::readFrom() const
{
    return this->next;
}

Offset StreamProgress::delivered() const
{
    return std::max(this->next, this->callerHas);
}

bool StreamProgress::isComplete() const
{
    return this->complete;
}

std::string textDigest(std::string_view text)
{
    return hexOf(XXH3_64bits(text.data(), text.size()));
}

} // namespace fescuesill
