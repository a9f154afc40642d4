// The holder renews the lease with a compare-and-set on the row. Another host claims the lease only after it has itself
// observed one version of the row unchanged for a whole lease and a margin, so it does not depend on the holder's
// clock. The holder counts its lease from before it sent the renewal, so for the holder the lease ends before any other
// host can claim it. Since every write is conditional, two claims cannot both succeed.
//
// All hosts that wait for the same lease see it end within one interval of their reads. A host claims it only after a
// read that shows it free at the time of the claim: of hosts that come late, each then makes one call, which names the
// new holder, and not a failed write and a read.
//
// A write whose reply was lost may have taken effect, or may take effect seconds later if its condition still holds.
// The row is read back and decides. Even when it names this host, such a renewal does not extend the lease; only the
// next accepted write does.

#include "promise/leadership.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace fescuesill
{

std::string encode(const LeaseRow &row)
{
    const nlohmann::json object = {{"host", row.host.value()}, {"address", row.address}, {"renewals", row.renewals}};
    return object.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

tl::expected<LeaseRow, LeaseRowError> decodeLeaseRow(const std::string &text)
{
    const nlohmann::json object = nlohmann::json::parse(text, nullptr, false);
    const auto isText = [&](const char *name) {
        return object.contains(name) && object[name].is_string();
    };
    constexpr std::uint64_t maxRenewals = std::uint64_t{1} << 62U;
    if (!object.is_object() || !isText("host") || !isText("address") || !object.contains("renewals")
        || !object["renewals"].is_number_unsigned() || object["renewals"].get<std::uint64_t>() > maxRenewals) {
        return tl::unexpected(LeaseRowError{"not a lease"});
    }
    return LeaseRow{HostId(object["host"].get<std::string>()), object["address"].get<std::string>(),
                    object["renewals"].get<std::int64_t>()};
}

Leadership::Leadership(LeaseRow own, Options given)
    : self(std::move(own))
    , options(given)
    , pollDelay(given.pollInterval)
{
}

void Leadership::start(Instant now)
{
    this->nextPoll = now + this->options.firstReadDelay;
}

bool Leadership::isOwnRow() const
{
    return this->row && this->row->isSameHolder(this->self);
}

// Does not change the time of the next poll. Otherwise the row would be read many times a second while a leader is
// reachable that has given up the lease.
void Leadership::onLeaderSeen(bool seen)
{
    this->isSeen = seen;
}

void Leadership::onDeputySeen(bool seen, Instant now)
{
    if (!seen) {
        this->deputyUntil.reset();
    } else if (!this->deputyUntil) {
        this->deputyUntil = now + this->options.lease + this->options.margin + this->options.deputyClaim;
    }
}

// Since when the lease may be claimed, as far as the last read shows; none if it is this host's own.
std::optional<Instant> Leadership::freeSince() const
{
    if (this->isOwnRow()) {
        return std::nullopt;
    }
    const bool isHeld = this->row && !this->row->host.isEmpty();
    return isHeld ? this->changedAt + this->options.lease + this->options.margin : this->changedAt;
}

// A host that delayed its first read has waited already.
Duration Leadership::claimDelay() const
{
    const bool hasWaited = this->options.firstReadDelay > Duration(0) && this->rowVersion == RowVersion();
    return hasWaited ? Duration(0) : this->options.claimDelay;
}

bool Leadership::isLeading(Instant now) const
{
    return this->lastRenewal && now < *this->lastRenewal + this->options.lease - this->options.margin;
}

std::optional<Instant> Leadership::ordersUntil(Instant now) const
{
    const bool isSettled = now >= this->termStart + this->options.lease + this->options.margin;
    if (!this->isLeading(now) || !isSettled || this->isReleasing) {
        return std::nullopt;
    }
    return *this->lastRenewal + this->options.lease - this->options.margin;
}

void Leadership::release()
{
    this->isReleasing = true;
}

LeadershipAction Leadership::next(Instant now) const
{
    if (this->isReleasing) {
        if (this->lastRenewal && this->isOwnRow()) {
            return leadership_action::WriteLease{LeaseRow{HostId(), {}, this->row->renewals + 1}, this->rowVersion};
        }
        return leadership_action::WaitUntil{now + this->options.pollInterval};
    }
    if (!this->isRead) {
        return now < this->nextPoll ? LeadershipAction(leadership_action::WaitUntil{this->nextPoll})
                                    : leadership_action::ReadLease{};
    }
    if (this->lastRenewal) {
        const Instant due = *this->lastRenewal + this->options.renew;
        if (now < due) {
            return leadership_action::WaitUntil{due};
        }
        LeaseRow renewed = this->self;
        renewed.renewals = this->row ? this->row->renewals + 1 : 1;
        return leadership_action::WriteLease{renewed, this->rowVersion};
    }
    if (this->isSeen || (this->deputyUntil && now < *this->deputyUntil)) {
        return leadership_action::WaitUntil{now + this->options.pollInterval};
    }
    const auto free = this->freeSince();
    const bool isClaimable = !free || now >= *free + this->claimDelay();
    const bool isConfirmed = !free || this->readAt >= *free + this->claimDelay();
    if (isClaimable && isConfirmed) {
        LeaseRow claimed = this->self;
        claimed.renewals = this->row ? this->row->renewals + 1 : 1;
        return leadership_action::WriteLease{claimed, this->rowVersion};
    }
    if (isClaimable) {
        return leadership_action::ReadLease{};
    }
    if (now >= *free) {
        return leadership_action::WaitUntil{*free + this->claimDelay()};
    }
    return now < this->nextPoll ? LeadershipAction(leadership_action::WaitUntil{this->nextPoll})
                                : leadership_action::ReadLease{};
}

void Leadership::onRead(const std::optional<LeaseRow> &read, RowVersion version, Instant now)
{
    const bool isNew = !this->isRead || version != this->rowVersion;
    if (isNew) {
        this->changedAt = now;
    }
    if (version != this->rowVersion) {
        this->lastRenewal.reset(); // another host wrote the row
    }
    this->row = read;
    this->rowVersion = version;
    this->readAt = now;
    this->isRead = true;
    this->schedulePoll(isNew, now);
}

void Leadership::schedulePoll(bool isChanged, Instant now)
{
    const Duration next = isChanged ? this->options.firstPollDelay : this->pollDelay * 2;
    this->pollDelay = std::min(next, this->options.pollInterval);
    this->nextPoll = now + this->pollDelay;
}

void Leadership::onWritten(RowVersion version, Instant sent)
{
    const std::int64_t renewals = this->row ? this->row->renewals + 1 : 1;
    if (this->isReleasing) {
        this->row = LeaseRow{HostId(), {}, renewals};
        this->rowVersion = version;
        this->lastRenewal.reset();
        return;
    }
    this->row = this->self;
    this->row->renewals = renewals;
    this->rowVersion = version;
    this->termStart = this->lastRenewal ? this->termStart : sent;
    this->lastRenewal = sent;
    this->hasHeldLease = true;
}

// The first call after a failure follows soon: one lost packet must not keep a fleet that restarts from its leader.
void Leadership::onFailed(Instant now)
{
    this->schedulePoll(this->isRead, now);
    this->isRead = false;
    if (this->lastRenewal && !this->isLeading(now)) {
        this->lastRenewal.reset();
    }
}

} // namespace fescuesill
