#include "promise/leadership.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace fescuesill
{
namespace
{

// The lease's row in the platform's table; turn() adds lost replies and delayed writes.
struct LeaseStore {
    std::optional<LeaseRow> row;
    std::int64_t version = 0;

    bool write(const leadership_action::WriteLease &write)
    {
        if (write.expected.value() != this->version) {
            return false;
        }
        this->row = write.row;
        ++this->version;
        return true;
    }
};

struct Host {
    Host(const std::string &name, Leadership::Options options)
        : leadership({HostId(name), name + ":1", 0}, options)
    {
    }

    Leadership leadership;
    Instant frozenUntil;
};

// One step of a host with a fault: 0 none, 1 the store is unavailable, 2 the reply is lost after the write, 3 the write
// takes effect late, 4 the host is suspended.
void turn(Host &host, LeaseStore &store, int fault, Instant now, std::optional<leadership_action::WriteLease> &late)
{
    if (now < host.frozenUntil) {
        return;
    }
    if (fault == 4) {
        host.frozenUntil = now + 5s;
        return;
    }
    const LeadershipAction action = host.leadership.next(now);
    if (std::holds_alternative<leadership_action::WaitUntil>(action)) {
        return;
    }
    if (fault == 1) {
        host.leadership.onFailed(now);
        return;
    }
    if (std::holds_alternative<leadership_action::ReadLease>(action)) {
        host.leadership.onRead(store.row, RowVersion(store.version), now);
        return;
    }
    const auto &write = std::get<leadership_action::WriteLease>(action);
    if (fault == 3) {
        late = write;
        host.leadership.onFailed(now);
    } else if (fault == 2) {
        store.write(write);
        host.leadership.onFailed(now);
    } else if (store.write(write)) {
        host.leadership.onWritten(RowVersion(store.version), now);
    } else {
        host.leadership.onFailed(now - 3s);
    }
}

// Hosts are suspended, cut off from the store and lose replies, and writes take effect seconds late, in any order. Two
// hosts that both hold the lease would give one engine contradictory orders, so there must never be two.
RC_GTEST_PROP(Leadership, NeverHasTwoLeaders, ())
{
    const Leadership::Options options;
    LeaseStore store;
    std::vector<Host> hosts;
    for (const char *name : {"a", "b", "c"}) {
        hosts.emplace_back(name, options);
    }
    std::optional<leadership_action::WriteLease> late;
    Instant now(Duration(1'000'000));
    std::optional<std::size_t> lastOrdered;
    Instant lastOrder;
    for (int step = 0; step < 600; ++step, now += 50ms) {
        const auto number = static_cast<std::size_t>(*rc::gen::inRange(0, 3));
        const int fault = *rc::gen::weightedElement<int>({{12, 0}, {2, 1}, {1, 2}, {1, 3}, {1, 4}});
        turn(hosts[number], store, fault, now, late);
        if (late && *rc::gen::inRange(0, 20) == 0) {
            store.write(*late);
            late.reset();
        }
        int leaders = 0;
        for (std::size_t each = 0; each < hosts.size(); ++each) {
            leaders += hosts[each].leadership.isLeading(now) ? 1 : 0;
            if (now >= hosts[each].frozenUntil && hosts[each].leadership.ordersUntil(now)) {
                // Orders of two hosts are at least one lease apart.
                RC_ASSERT(!lastOrdered || *lastOrdered == each || now >= lastOrder + options.lease);
                lastOrdered = each;
                lastOrder = now;
            }
        }
        RC_ASSERT(leaders <= 1);
    }
}

// All hosts restart at once. A host reads the row that "b" wrote in its last term, connects to "b" and learns that it
// is not the leader; some milliseconds later "b" claims the lease again. Until the host reads the row once more, its
// callers' generations are placed without the leader. The interval between reads of an unchanged row increases.
TEST(Leadership, ReadsTheRowSoonAfterItChanged)
{
    const Leadership::Options options;
    LeaseStore store;
    store.row = LeaseRow{HostId("b"), "b:1", 5};
    store.version = 9;
    Host host("a", options);
    std::optional<leadership_action::WriteLease> late;
    const Instant begin(Duration(1'000'000));
    std::vector<std::int64_t> reads; // milliseconds
    for (Duration at{0}; at < 2s; at += 5ms) {
        if (std::holds_alternative<leadership_action::ReadLease>(host.leadership.next(begin + at))) {
            reads.push_back(at / 1ms);
        }
        turn(host, store, 0, begin + at, late);
    }
    ASSERT_GE(reads.size(), 4U);
    EXPECT_LE(reads[1], 100);
    EXPECT_LE(reads.size(), 2000U / 500 + 4); // in the end the reads are half a second apart
    const auto last = static_cast<std::int64_t>(options.pollInterval / 1ms);
    EXPECT_NEAR(static_cast<double>(reads.back() - reads[reads.size() - 2]), static_cast<double>(last), 10);
}

TEST(Leadership, ClaimsAFreeLeaseAndRenewsIt)
{
    LeaseStore store;
    Host host("a", {});
    std::optional<leadership_action::WriteLease> late;
    Instant now(Duration(1'000'000));
    for (int step = 0; step < 200; ++step, now += 50ms) {
        turn(host, store, 0, now, late);
    }
    EXPECT_TRUE(host.leadership.isLeading(now));
    EXPECT_NEAR(static_cast<double>(store.version), 10, 2);
}

// The leader dies. Another host claims the lease once it has seen the row unchanged for a lease, but not while it is
// still connected to the leader.
TEST(Leadership, TakesOverOnlyFromAnUnreachableHolder)
{
    LeaseStore store;
    Host dead("a", {});
    Host next("b", {});
    std::optional<leadership_action::WriteLease> late;
    Instant now(Duration(1'000'000));
    turn(dead, store, 0, now, late);
    turn(dead, store, 0, now, late);
    ASSERT_TRUE(dead.leadership.isLeading(now));
    turn(next, store, 0, now, late);
    next.leadership.onLeaderSeen(true);
    for (int step = 0; step < 100; ++step, now += 50ms) {
        turn(next, store, 0, now, late);
    }
    EXPECT_FALSE(next.leadership.isLeading(now));
    next.leadership.onLeaderSeen(false);
    const Instant lost = now;
    while (!next.leadership.isLeading(now) && now < lost + 10s) {
        turn(next, store, 0, now, late);
        now += 50ms;
    }
    EXPECT_TRUE(next.leadership.isLeading(now));
}

// The leader stops as planned. If it did not release the lease, the others would wait some seconds for its end, during
// which each places by its own part of the load. After the release, the next host claims the lease at its next read.
// Orders still wait for a whole lease.
TEST(Leadership, IsReleasedInAPlannedStop)
{
    LeaseStore store;
    Host stopping("a", {});
    Host next("b", {});
    std::optional<leadership_action::WriteLease> late;
    Instant now(Duration(1'000'000));
    turn(stopping, store, 0, now, late);
    turn(stopping, store, 0, now, late);
    turn(next, store, 0, now, late);
    stopping.leadership.release();
    turn(stopping, store, 0, now, late);
    EXPECT_FALSE(stopping.leadership.isLastHolder());
    const Instant begin = now;
    while (!next.leadership.isLeading(now) && now < begin + 10s) {
        now += 50ms;
        turn(stopping, store, 0, now, late);
        turn(next, store, 0, now, late);
    }
    EXPECT_LE(now - begin, 700ms);
    EXPECT_FALSE(next.leadership.ordersUntil(now));
    EXPECT_FALSE(stopping.leadership.isLeading(now));
}

// The leader loses only its connection to the table. Its lease ends, so it gives no orders, but it continues to place
// for the hosts that reach it until it reads that another host leads.
TEST(Leadership, ContinuesActionsThatNeedNoLease)
{
    LeaseStore store;
    Host cut("a", {});
    Host next("b", {});
    std::optional<leadership_action::WriteLease> late;
    Instant now(Duration(1'000'000));
    EXPECT_FALSE(cut.leadership.isLastHolder());
    turn(cut, store, 0, now, late);
    turn(cut, store, 0, now, late);
    EXPECT_TRUE(cut.leadership.isLastHolder());
    for (int step = 0; step < 200; ++step, now += 50ms) {
        turn(cut, store, 1, now, late);
    }
    EXPECT_FALSE(cut.leadership.isLeading(now));
    EXPECT_TRUE(cut.leadership.isLastHolder());
    for (int step = 0; step < 100; ++step, now += 50ms) {
        turn(next, store, 0, now, late);
    }
    EXPECT_TRUE(next.leadership.isLastHolder());
    turn(cut, store, 0, now, late);
    EXPECT_FALSE(cut.leadership.isLastHolder());
}

// The calls of a fleet of hosts in virtual time, each with a reply after 25 ms.
struct FleetCalls {
    int reads = 0;
    int writes = 0;
    std::ptrdiff_t leading = 0; // hosts that hold the lease in the end
};

FleetCalls callsOfFleet(LeaseStore store, const std::vector<Leadership::Options> &options)
{
    constexpr Duration reply{25ms}; // of the table
    constexpr Instant begin(Duration(1'000'000));
    constexpr Instant end(Duration(6'000'000));
    std::vector<Host> fleet;
    std::vector<std::optional<std::pair<Instant, LeadershipAction>>> calls(options.size());
    for (std::size_t number = 0; number < options.size(); ++number) {
        fleet.emplace_back("h" + std::to_string(number), options[number]);
        fleet.back().leadership.start(begin);
    }
    FleetCalls made;
    for (Instant now = begin; now < end; now += 1ms) {
        for (std::size_t number = 0; number < fleet.size(); ++number) {
            Leadership &leadership = fleet[number].leadership;
            auto &call = calls[number];
            if (!call) {
                const LeadershipAction action = leadership.next(now);
                if (!std::holds_alternative<leadership_action::WaitUntil>(action)) {
                    call = std::pair(now + reply, action);
                }
                continue;
            }
            if (now < call->first) {
                continue;
            }
            if (const auto *write = std::get_if<leadership_action::WriteLease>(&call->second)) {
                ++made.writes;
                if (store.write(*write)) {
                    leadership.onWritten(RowVersion(store.version), now - reply);
                } else {
                    leadership.onFailed(now - 3s);
                }
            } else {
                ++made.reads;
                leadership.onRead(store.row, RowVersion(store.version), now);
                leadership.onLeaderSeen(store.row && store.row->host != HostId("dead"));
            }
            call.reset();
        }
    }
    made.leading =
        std::count_if(fleet.begin(), fleet.end(), [end](const Host &host) { return host.leadership.isLeading(end); });
    return made;
}

std::vector<Leadership::Options> optionsOfFleet(bool isFirstStart)
{
    std::vector<Leadership::Options> options(300);
    for (std::size_t number = 0; number < options.size(); ++number) {
        options[number].claimDelay = static_cast<int>(number) * 1ms;
        options[number].firstReadDelay = isFirstStart ? options[number].claimDelay : Duration(0);
    }
    return options;
}

// Guards against a write of each of hundreds of hosts in the moment in which a lease ends, which the table cannot take.
TEST(Leadership, FewHostsClaimAFreeLeaseAtOnce)
{
    LeaseStore held;
    held.row = LeaseRow{HostId("dead"), "dead:1", 5};
    held.version = 9;
    for (const LeaseStore &store : {LeaseStore(), held}) {
        const FleetCalls made = callsOfFleet(store, optionsOfFleet(false));
        EXPECT_EQ(made.leading, 1) << store.version;
        EXPECT_LE(made.writes, 70) << store.version; // 25 ms of claims, of which each makes one write, and renewals
    }
}

// Guards against a second read by each of hundreds of hosts that start together and find no lease.
TEST(Leadership, HostsThatStartTogetherReadTheLeaseOnce)
{
    const FleetCalls made = callsOfFleet(LeaseStore(), optionsOfFleet(true));
    EXPECT_EQ(made.leading, 1);
    EXPECT_LE(made.writes, 60); // 50 ms of claims until the first is read, and renewals
    EXPECT_LE(made.reads, 300 + 60); // those that claimed too late read once more
}

// Guards against reads of the lease by the whole fleet while the deputy is about to claim it, and against a fleet that
// waits for a deputy which cannot.
TEST(Leadership, LeavesTheClaimToTheDeputyForABoundedTime)
{
    const Leadership::Options options;
    LeaseStore store;
    store.row = LeaseRow{HostId("dead"), "dead:1", 5};
    store.version = 9;
    Host host("a", options);
    std::optional<leadership_action::WriteLease> late;
    Instant now(Duration(1'000'000));
    turn(host, store, 0, now, late);
    host.leadership.onDeputySeen(true, now);
    const Instant begin = now;
    while (std::holds_alternative<leadership_action::WaitUntil>(host.leadership.next(now)) && now < begin + 20s) {
        now += 10ms;
    }
    EXPECT_GE(now - begin, options.lease + options.margin);
    EXPECT_LE(now - begin, options.lease + options.margin + options.deputyClaim + 10ms);
    host.leadership.onDeputySeen(false, now);
    host.leadership.onDeputySeen(true, now);
    EXPECT_TRUE(std::holds_alternative<leadership_action::WaitUntil>(host.leadership.next(now)));
}

// Guards against a restarted fleet without a leader for a second because one packet of the holder's claim was lost.
TEST(Leadership, TriesAgainSoonAfterALostReply)
{
    LeaseStore store;
    store.row = LeaseRow{HostId("a"), "a:1", 5};
    store.version = 9;
    Host holder("a", {});
    std::optional<leadership_action::WriteLease> late;
    Instant now(Duration(1'000'000));
    turn(holder, store, 0, now, late);
    turn(holder, store, 1, now, late); // the claim
    const Instant lost = now;
    while (!holder.leadership.isLeading(now) && now < lost + 5s) {
        now += 10ms;
        turn(holder, store, 0, now, late);
    }
    EXPECT_LE(now - lost, 150ms);
}

// A holder resumes after a suspension during which its steady clock did not advance. Its lease must be over by the
// clock that includes suspension.
TEST(Leadership, IsOverAfterASuspension)
{
    LeaseStore store;
    Host host("a", {});
    std::optional<leadership_action::WriteLease> late;
    Instant now(Duration(1'000'000));
    turn(host, store, 0, now, late);
    turn(host, store, 0, now, late);
    ASSERT_TRUE(host.leadership.isLeading(now));
    EXPECT_FALSE(host.leadership.isLeading(now + 3s));
}

TEST(LeaseRow, ReadsWhatItWrote)
{
    const auto back = decodeLeaseRow(encode(LeaseRow{HostId("a"), "10.0.0.1:7660", 7}));
    ASSERT_TRUE(back);
    EXPECT_EQ(back->host, HostId("a"));
    EXPECT_EQ(back->address, "10.0.0.1:7660");
    EXPECT_EQ(back->renewals, 7);
    EXPECT_TRUE(decodeLeaseRow(encode(LeaseRow{}))->host.isEmpty());
    for (const char *bad :
         {"", "{", "[]", "7", "{\"host\":1}", "{\"host\":\"a\",\"address\":\"b\",\"renewals\":\"c\"}"}) {
        EXPECT_FALSE(decodeLeaseRow(bad)) << bad;
    }
}

} // namespace
} // namespace fescuesill
