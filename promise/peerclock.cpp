// The peer read its clock after this host sent the probe. So the peer's time in the reply is not before the instant at
// which the probe was sent, and `sent - peer` is a lower bound of the difference between the clocks, whatever the delay
// of either message. Of several bounds the greatest is the tightest; an old one loses what the clocks may have drifted
// apart since.

#include "promise/peerclock.h"

#include <algorithm>

namespace fescuesill
{

bool PeerClock::isProbeDue(Instant now) const
{
    return !this->probed
        || now - *this->probed >= (this->isGood ? this->options.probeInterval : this->options.retryInterval);
}

void PeerClock::onProbeSent(Instant now)
{
    this->probed = now;
}

Duration PeerClock::leastAt(const Offset &known, Instant now) const
{
    const auto elapsed = static_cast<double>((now - known.at).count());
    return known.least - Duration(static_cast<std::int64_t>(elapsed * this->options.drift));
}

void PeerClock::onReply(Instant sent, Instant peer, Instant now)
{
    const Duration least = sent - peer;
    this->offset = Offset{this->offset ? std::max(least, this->leastAt(*this->offset, now)) : least, now};
    this->isGood = this->isGood || now - sent <= this->options.goodRoundTrip;
}

std::optional<Instant> PeerClock::notAfter(Instant peer, Instant now) const
{
    return this->offset ? std::optional(peer + this->leastAt(*this->offset, now)) : std::nullopt;
}

} // namespace fescuesill
