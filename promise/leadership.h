#pragma once

// One lease in the platform's table: which host is the leader, and whether this host may act as the leader.
//
//     Leadership leadership({HostId("athens-a"), "10.30.2.2:7660"}, options);
//     LeadershipAction action = leadership.next(now);     // ReadLease, WriteLease or WaitUntil
//     leadership.onRead(row, version, now);               // or onWritten(version, sentAt), onFailed(now)
//     if (leadership.isLeading(now)) { ... }
//
// Times are of a clock that includes suspension, so that a host that resumes after a suspension sees that its lease is
// over.

#include "fescuesill/ids.h"
#include "fescuesill/units.h"

#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <variant>

namespace fescuesill
{

struct LeaseRow {
    HostId host; // empty: the last holder released the lease
    std::string address; // IP:PORT of its links
    std::int64_t renewals = 0;

    bool isSameHolder(const LeaseRow &other) const
    {
        return this->host == other.host && this->address == other.address;
    }
};

struct LeaseRowError {
    std::string text;
};

// The row as JSON text.
std::string encode(const LeaseRow &row);
tl::expected<LeaseRow, LeaseRowError> decodeLeaseRow(const std::string &text);

namespace leadership_action
{
struct ReadLease {
};
// Compare-and-set on the version; 0: the row does not exist.
struct WriteLease {
    LeaseRow row;
    RowVersion expected;
};
struct WaitUntil {
    Instant until;
};
} // namespace leadership_action

using LeadershipAction =
    std::variant<leadership_action::ReadLease, leadership_action::WriteLease, leadership_action::WaitUntil>;

class Leadership
{
public:
    struct Options {
        // The time from the last renewal that others can have seen until another host may lead. The platform sets a
        // lower bound for the time between two holders.
        Duration lease{3s};
        // The interval of the leader's renewals. Two renewals may fail before the lease can expire.
        Duration renew{1s};
        // The maximum interval at which a host that has no connection to the leader reads the row.
        Duration pollInterval{500ms};
        // The delay of the first read after the row changed. Each further delay is twice as long, up to pollInterval.
        // When all hosts start at once, most read the row of the last term and connect to its holder some milliseconds
        // before it holds the lease again. Until the next read each host places alone, and all of them take the same
        // engines to be empty. Half a second of this left engines overloaded for the next five seconds.
        Duration firstPollDelay{60ms};
        // The maximum drift between the clocks of two hosts over one lease.
        Duration margin{200ms};
        // The delay of a claim after the lease has become free. Hosts draw different delays, since a write of each of
        // hundreds of hosts in the same moment exceeds what the table takes, and the first claim waits behind them.
        Duration claimDelay{0};
        // The delay of the first read after the start. Where hundreds of hosts start together and there is no row yet,
        // each draws a different one: the first to read claims the lease at once, and most others then read its row.
        Duration firstReadDelay{0};
        // How long after the end of the lease a host leaves the claim to the deputy that it is linked to.
        Duration deputyClaim{1500ms};
    };

    Leadership(LeaseRow self, Options options);

    // This host has started; the first read follows after its delay.
    void start(Instant now);
    // Whether this host currently has a connection to the leader.
    void onLeaderSeen(bool isSeen);
    // Whether this host has a connection to the deputy of a lost leader. The deputy claims the lease and names the next
    // leader, so this host neither reads nor claims the lease until the deputy has had the time to do so.
    void onDeputySeen(bool isSeen, Instant now);
    // This host stops: it releases the lease, so that another host need not wait for its end, and never claims it
    // again.
    void release();
    LeadershipAction next(Instant now) const;
    // The row that was read, or none if it does not exist.
    void onRead(const std::optional<LeaseRow> &row, RowVersion version, Instant now);
    // The write was accepted. `sent` is a time before the write was sent, since others
    // do not start to count the lease earlier.
    void onWritten(RowVersion version, Instant sent);
    // There was no reply, or none that states whether the write took effect.
    void onFailed(Instant now);

    // Whether this host certainly holds the lease. Checked right before each action that only the leader may take.
    bool isLeading(Instant now) const;
    // Until when this host may give orders; none while it may not. A new holder starts only a whole lease after it
    // claimed the lease, so that an endpoint never receives orders of two holders within one lease.
    std::optional<Instant> ordersUntil(Instant now) const;
    // Whether this host, as far as it knows, was the last holder of the lease. This is enough for actions that only
    // lose quality when two hosts perform them at once: a leader without a connection to the table continues them for
    // all hosts that still reach it.
    bool isLastHolder() const
    {
        return this->hasHeldLease && this->isOwnRow();
    }
    // The row as last read or written; none before the first read or when there is no row.
    const std::optional<LeaseRow> &holder() const
    {
        return this->row;
    }
    RowVersion version() const
    {
        return this->rowVersion;
    }

private:
    bool isOwnRow() const;
    std::optional<Instant> freeSince() const;
    Duration claimDelay() const;
    void schedulePoll(bool isChanged, Instant now);

    LeaseRow self;
    Options options;
    std::optional<LeaseRow> row;
    RowVersion rowVersion;
    bool isRead = false; // since the start or the last failure
    bool isSeen = false;
    std::optional<Instant> deputyUntil; // the deputy may still claim the lease
    bool hasHeldLease = false; // since the start
    bool isReleasing = false;
    Instant termStart; // when this host claimed the lease
    Instant changedAt; // when this host first saw the current version
    Instant readAt; // when the row was last read
    std::optional<Instant> lastRenewal; // when the last accepted renewal was sent
    Instant nextPoll;
    Duration pollDelay; // between the last poll and the next
};

} // namespace fescuesill
