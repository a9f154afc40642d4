#include "promise/readerchoice.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace fescuesill
{
namespace
{

using Choice = ReaderChoice<int>;

constexpr Instant start{Duration(1'000'000)};

Choice withFollowers(int count)
{
    Choice readers({}, 7);
    for (int link = 0; link < count; ++link) {
        readers.addFollower(link);
    }
    return readers;
}

std::vector<int> asked(const std::vector<Choice::Change> &changes, bool isWanted = true)
{
    std::vector<int> links;
    for (const Choice::Change &change : changes) {
        if (change.isWanted == isWanted) {
            links.push_back(change.link);
        }
    }
    return links;
}

TEST(ReaderChoice, AsksAFewAndKeepsTheFirstThatHasRead)
{
    Choice readers = withFollowers(50);
    EXPECT_TRUE(readers.next(start).empty());
    readers.start(start);
    const std::vector<int> links = asked(readers.next(start));
    ASSERT_EQ(links.size(), 2U);
    EXPECT_FALSE(readers.isOutage(start));
    readers.onRead(links[1], start + 20ms);
    EXPECT_EQ(asked(readers.next(start + 20ms), false), std::vector<int>{links[0]});
    EXPECT_TRUE(readers.isReader(links[1]));
    for (Duration at = 500ms; at < 10s; at += 500ms) {
        readers.onRead(links[1], start + at);
        EXPECT_TRUE(readers.next(start + at).empty());
        EXPECT_FALSE(readers.isOutage(start + at));
    }
    readers.stop();
    EXPECT_EQ(asked(readers.next(start + 10s), false), std::vector<int>{links[1]});
}

// Guards against an outage that is announced to the whole fleet because the store refuses only some of its hosts.
TEST(ReaderChoice, FindsAFollowerThatTheStoreServes)
{
    Choice readers = withFollowers(30);
    readers.start(start);
    std::optional<Duration> found;
    for (Duration at{0}; at < 10s && !found; at += 20ms) {
        for (const int link : asked(readers.next(start + at))) {
            if (link % 3 == 0) {
                readers.onRead(link, start + at);
                found = at;
            } else {
                readers.onFailed(link, start + at);
            }
        }
    }
    ASSERT_TRUE(found);
    EXPECT_LE(*found, 3s);
    EXPECT_FALSE(readers.isOutage(start + *found));
}

// Guards against calls of the whole fleet to a store that cannot serve it.
TEST(ReaderChoice, BoundsTheCallsInAnOutage)
{
    for (const int hosts : {1, 5, 300}) {
        Choice readers = withFollowers(hosts);
        readers.start(start);
        int calls = 0;
        for (Duration at{0}; at < 20s; at += 20ms) {
            for (const int link : asked(readers.next(start + at))) {
                ++calls;
                readers.onFailed(link, start + at);
            }
            EXPECT_TRUE(readers.isOutage(start + at)) << hosts;
        }
        EXPECT_LE(calls, 2 * 41) << hosts;
        EXPECT_GE(calls, 20) << hosts;
    }
}

TEST(ReaderChoice, ReportsAnOutageWhereThereIsNoFollower)
{
    Choice readers = withFollowers(0);
    readers.start(start);
    EXPECT_TRUE(readers.next(start).empty());
    EXPECT_TRUE(readers.isOutage(start));
    readers.stop();
    EXPECT_FALSE(readers.isOutage(start));
}

// Guards against a fleet that waits for a reader that hangs.
TEST(ReaderChoice, ReplacesAReaderThatFallsSilent)
{
    Choice readers = withFollowers(10);
    readers.start(start);
    const std::vector<int> links = asked(readers.next(start));
    readers.onRead(links[0], start + 20ms);
    readers.next(start + 20ms);
    const Instant later = start + 20ms + Choice::Options{}.silence;
    const auto changes = readers.next(later);
    EXPECT_EQ(asked(changes).size(), 2U);
    EXPECT_EQ(asked(changes, false), std::vector<int>{links[0]});
    EXPECT_FALSE(readers.isOutage(later));
    EXPECT_TRUE(readers.isOutage(later + Choice::Options{}.silence));
}

TEST(ReaderChoice, ReplacesAReaderWhoseLinkEnds)
{
    Choice readers = withFollowers(10);
    readers.start(start);
    const int kept = asked(readers.next(start))[0];
    readers.onRead(kept, start + 20ms);
    readers.next(start + 20ms);
    readers.removeFollower(kept, start + 10s);
    EXPECT_FALSE(readers.isOutage(start + 10s));
    const std::vector<int> links = asked(readers.next(start + 10s));
    EXPECT_EQ(links.size(), 2U);
    EXPECT_EQ(std::count(links.begin(), links.end(), kept), 0);
}

// Whatever followers do, at most two are asked at a time, each that was asked and is no reader was asked to stop, and a
// fleet in which one follower can read has a reader within a bound.
RC_GTEST_PROP(ReaderChoice, AlwaysEndsWithOneReaderOrNone, ())
{
    const int hosts = *rc::gen::inRange(1, 12);
    const int able = *rc::gen::inRange(0, hosts);
    Choice readers({}, *rc::gen::arbitrary<std::uint64_t>());
    std::set<int> reading;
    std::set<int> linked;
    for (int link = 0; link < hosts; ++link) {
        readers.addFollower(link);
        linked.insert(link);
    }
    readers.start(start);
    Instant now = start;
    for (; now < start + 30s; now += 50ms) {
        for (const Choice::Change &change : readers.next(now)) {
            if (change.isWanted) {
                RC_ASSERT(linked.count(change.link) == 1);
                reading.insert(change.link);
            } else {
                reading.erase(change.link);
            }
        }
        RC_ASSERT(reading.size() <= 2U);
        for (const int link : std::set<int>(reading)) {
            const int fate = link == able ? 0 : *rc::gen::inRange(1, 4);
            if (fate == 0) {
                readers.onRead(link, now);
            } else if (fate == 1) {
                readers.onFailed(link, now);
            } else if (fate == 2 && linked.size() > 1) {
                readers.removeFollower(link, now);
                linked.erase(link);
                reading.erase(link);
            } // otherwise it is silent
        }
    }
    readers.next(now);
    RC_ASSERT(readers.isReader(able));
    RC_ASSERT(!readers.isOutage(now));
}

} // namespace
} // namespace fescuesill
