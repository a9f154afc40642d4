#pragma once

// One lease in the platform's table: which of our hosts leads, and whether this one may act as the leader.
//
//     Leadership leadership({HostId("athens-a"), "10.30.2.2:7660"}, options);
//     LeadershipAction action = leadership.next(now);     // ReadLease, WriteLease or WaitUntil
//     leadership.onRead(row, version, now);               // or onWritten(version, sentAt), onFailed(now)
//     if (leadership.isLeading(now)) { ... }
//
// Time is that of a clock which counts suspension: a host that was frozen must find its lease over when it wakes.

#include "fescuesill/ids.h"
#include "fescuesill/units.h"

#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <variant>

namespace fescuesill
{

struct LeaseRow {
    HostId host; // empty: the last holder gave it back
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
// Compare-and-set on the version; 0: the row is not there.
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
        // From the last renewal that others can have seen until another host may lead. The platform bounds how soon
        // two holders may follow each other.
        Duration lease{3s};
        // How often the leader renews: two renewals may fail before the lease is in danger.
        Duration renew{1s};
        // How often a host that has lost sight of the leader reads the row, at most.
        Duration pollInterval{500ms};
        // The first look after the row changed comes this soon, each further one after twice the time, up to the above.
        // Where all hosts start at once, most find the row of the last term and reach its holder some milliseconds
        // before it holds the lease again; until they look once more each places alone, on engines that all of them
        // take to be empty. Half a second of that overfilled engines for the next five.
        Duration firstPollDelay{60ms};
        // What the clocks of two hosts may differ over one lease.
        Duration margin{200ms};
    };

    Leadership(LeaseRow self, Options options);

    // This host hears from the leader, or has lost sight of it.
    void onLeaderSeen(bool isSeen);
    // This host stops: it gives the lease back, so that another need not wait for its end, and takes none again.
    void release();
    LeadershipAction next(Instant now) const;
    // The row, or none where there is none.
    void onRead(const std::optional<LeaseRow> &row, RowVersion version, Instant now);
    // The write was accepted. `sent`: before it left, since others count the lease from then at the latest.
    void onWritten(RowVersion version, Instant sent);
    // No reply, or none that says whether the write was done.
    void onFailed(Instant now);

    // Whether this host holds the lease for sure. Checked right before each act of a leader.
    bool isLeading(Instant now) const;
    // Until when this host may give orders, and none before it may. A holder begins only a whole lease after it took
    // the lease from another: an endpoint must not hear two holders within one.
    std::optional<Instant> ordersUntil(Instant now) const;
    // Whether this host was the last to hold the lease as far as it knows. Enough for what costs only quality where two
    // hosts do it at once: a leader that is cut off from the table goes on with it for all hosts that still reach it.
    bool isLastHolder() const
    {
        return this->hasHeld && this->isOwnRow();
    }
    // The last holder that was read; none before the first read or where there is no row.
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
    void schedulePoll(bool isChanged, Instant now);

    LeaseRow self;
    Options options;
    std::optional<LeaseRow> row;
    RowVersion rowVersion;
    bool isRead = false; // since the start or the last doubt
    bool isSeen = false;
    bool hasHeld = false; // since the start
    bool isReleasing = false;
    Instant taken; // when this term began
    Instant changed; // when the version was first seen here
    std::optional<Instant> held; // the send of the last accepted renewal
    Instant nextPoll;
    Duration pollDelay; // after the one before
};

} // namespace fescuesill
