#include "decide/prefillpool.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <map>
#include <random>

namespace fescuesill
{
namespace
{

constexpr Instant start{Duration(1'000'000)};

std::vector<PrefillPlace> engines(int count)
{
    std::vector<PrefillPlace> listed;
    listed.reserve(static_cast<std::size_t>(count));
    for (int number = 0; number < count; ++number) {
        listed.push_back({EngineId("p" + std::to_string(number)), DataCentreId("a")});
    }
    return listed;
}

PrefillAsk prompt(int number, const std::string &name = {})
{
    return {RequestId("r" + std::to_string(number)), name, Tokens(5000), DataCentreId("a")};
}

PrefillPool::Options plain()
{
    PrefillPool::Options options;
    options.perRead = Duration(0);
    return options;
}

// Engines that read one prompt after the other and report each end.
class Readers
{
public:
    explicit Readers(PrefillPool &given)
        : pool(given)
    {
    }

    void begin(const PrefillAsk &read, const EngineId &engine, Duration takes, Instant now)
    {
        Instant &free = this->freeAt[engine];
        free = std::max(free, now) + takes;
        this->ends.emplace(free, read.request);
        this->longest = std::max(this->longest, free - now);
    }
    void advance(Instant now)
    {
        while (!this->ends.empty() && this->ends.begin()->first <= now) {
            this->pool.onRead(this->ends.begin()->second, this->ends.begin()->first);
            this->ends.erase(this->ends.begin());
        }
    }
    bool isIdle(const EngineId &engine, Instant now) const
    {
        const auto found = this->freeAt.find(engine);
        return found == this->freeAt.end() || found->second <= now;
    }
    Duration longestRead() const
    {
        return this->longest;
    }

private:
    PrefillPool &pool;
    std::map<EngineId, Instant> freeAt;
    std::multimap<Instant, RequestId> ends;
    Duration longest{0};
};

// Flood after a restart: a thousand prompts at once start at the rate that the pool keeps up with, whatever its speed.
TEST(PrefillPool, FollowsTheSpeedOfThePool)
{
    struct Case {
        int engines;
        Duration read;
        int least; // in the first second: the rate, and the queue of 150 ms
        int most;
    };
    const Case cases[] = {{6, 100ms, 60, 78}, {3, 100ms, 30, 39}, {6, 200ms, 30, 45}, {0, 100ms, 1000, 1000}};
    for (const Case &each : cases) {
        PrefillPool pool(plain());
        pool.setEngines(engines(each.engines));
        Readers readers(pool);
        int started = 0;
        for (Duration at{0}; at <= 1s; at += 1ms) {
            readers.advance(start + at);
            while (pool.mayStart(start + at) && started < 1000) {
                const PrefillAsk read = prompt(started++);
                if (const auto engine = pool.start(read, start + at)) {
                    readers.begin(read, *engine, each.read, start + at);
                }
            }
        }
        EXPECT_GE(started, each.least) << each.engines << " " << each.read.count();
        EXPECT_LE(started, each.most) << each.engines << " " << each.read.count();
        EXPECT_LE(readers.longestRead(), 550ms);
    }
}

TEST(PrefillPool, SavesNothingUpWhileIdle)
{
    PrefillPool pool(plain());
    pool.setEngines(engines(1));
    pool.start(prompt(0), start);
    pool.onRead(RequestId("r0"), start + 100ms);
    const Instant later = start + 10s;
    for (int number = 1; number <= 2; ++number) { // 100 ms each: the third would wait 200 ms
        ASSERT_TRUE(pool.mayStart(later));
        pool.start(prompt(number), later);
    }
    EXPECT_FALSE(pool.mayStart(later));
    EXPECT_EQ(pool.nextStart(later), later + 50ms);
}

// Random arrivals at four fifths of the pool's speed: no prompt waits at one engine while another one is idle.
TEST(PrefillPool, LeavesNoEngineIdleBesideAQueue)
{
    std::mt19937_64 random(7);
    PrefillPool pool(plain());
    pool.setEngines(engines(10));
    Readers readers(pool);
    Instant now = start;
    for (int number = 0; number < 2000; ++number) {
        const double gapUs = std::exponential_distribution<>(0.8 * 10 / 100e3)(random);
        now += Duration(static_cast<std::int64_t>(gapUs));
        readers.advance(now);
        const auto listed = engines(10);
        const bool isAnyIdle = std::any_of(
            listed.begin(), listed.end(), [&](const PrefillPlace &place) { return readers.isIdle(place.engine, now); });
        const auto engine = pool.start(prompt(number), now);
        ASSERT_TRUE(engine);
        ASSERT_TRUE(readers.isIdle(*engine, now) || !isAnyIdle) << number;
        readers.begin(prompt(number), *engine, 100ms, now);
    }
}

// An engine at a quarter of the speed gets the prompts that it reads as soon as the others would.
TEST(PrefillPool, GivesASlowEngineWhatItReadsInTime)
{
    PrefillPool pool(plain());
    pool.setEngines(engines(4));
    Readers readers(pool);
    std::map<EngineId, int> reads;
    for (int number = 0; number < 800; ++number) {
        const Instant now = start + number * 35ms;
        readers.advance(now);
        const auto engine = pool.start(prompt(number), now);
        ASSERT_TRUE(engine);
        ++reads[*engine];
        readers.begin(prompt(number), *engine, *engine == EngineId("p0") ? 400ms : 100ms, now);
    }
    EXPECT_LT(reads[EngineId("p0")], 100);
    EXPECT_GT(reads[EngineId("p1")], 200);
}

// A dark engine answers nothing: no read follows the first, and none in the time after it failed.
TEST(PrefillPool, StopsAtAnEngineThatStalls)
{
    PrefillPool pool(plain());
    pool.setEngines(engines(2));
    const auto dark = pool.start(prompt(0), start);
    const auto other = pool.start(prompt(1), start);
    ASSERT_NE(dark, other);
    pool.onRead(RequestId("r1"), start + 100ms);
    for (int number = 2; number < 20; ++number) {
        const Instant now = start + number * 500ms;
        EXPECT_EQ(pool.start(prompt(number), now), other);
        pool.onRead(prompt(number).request, now + 100ms);
    }
    const Instant failed = start + 15s;
    pool.onFailed(RequestId("r0"), failed);
    EXPECT_EQ(pool.start(prompt(20), failed), other);
    pool.onRead(RequestId("r20"), failed + 100ms);
    const auto next = pool.start(prompt(21), failed + 5s);
    const auto afterNext = pool.start(prompt(22), failed + 5s);
    EXPECT_TRUE(next == dark || afterNext == dark); // tried again
}

TEST(PrefillPool, NamesNoEngineWhereAllFail)
{
    PrefillPool pool(plain());
    pool.setEngines(engines(2));
    pool.start(prompt(0), start);
    pool.start(prompt(1), start);
    pool.onFailed(RequestId("r0"), start);
    pool.onFailed(RequestId("r1"), start);
    EXPECT_TRUE(pool.mayStart(start)); // the decode engine reads it
    EXPECT_FALSE(pool.start(prompt(2), start));
    EXPECT_TRUE(pool.start(prompt(2), start + 1s));
}

// Results lapse at once at an engine that reads without a fault: the pause before the next try doubles.
TEST(PrefillPool, AvoidsAnEngineWhoseResultsAreLost)
{
    PrefillPool pool(plain());
    pool.setEngines(engines(2));
    const auto losing = pool.start(prompt(0), start);
    pool.onRead(prompt(0).request, start);
    int lost = 0;
    for (int number = 0; number < 100; ++number) {
        const Instant now = start + number * 50ms;
        const auto engine = pool.start(prompt(number), now);
        ASSERT_TRUE(engine);
        pool.onRead(prompt(number).request, now);
        if (engine == losing) {
            ++lost;
            pool.onResultLost(*engine, now);
        }
    }
    EXPECT_GE(lost, 3);
    EXPECT_LE(lost, 6); // in five seconds: after 0.25, 0.5, 1 and 2
}

// Every caller comes back with the same prompt to schedulers that know nothing: it is still in the cache of its home.
TEST(PrefillPool, SendsAPromptHomeAfterARestart)
{
    PrefillPool before(plain());
    PrefillPool after(plain());
    before.setEngines(engines(6));
    after.setEngines(engines(6));
    for (int number = 0; number < 50; ++number) {
        const std::string name = "prompt" + std::to_string(number);
        const auto home = before.start(prompt(number, name), start);
        before.onRead(prompt(number).request, start);
        EXPECT_EQ(after.start(prompt(number + 100, name), start), home);
        after.onRead(prompt(number + 100).request, start);
    }
    const auto home = before.start(prompt(200, "prompt0"), start);
    EXPECT_NE(before.start(prompt(201, "prompt0"), start), home); // a queue there costs more than it saves
}

// Reads from a cache take a tenth of the time, and leave the forecast of whole reads as it was.
TEST(PrefillPool, LearnsNothingFromCachedReads)
{
    PrefillPool pool(plain());
    pool.setEngines(engines(1));
    for (int number = 0; number < 20; ++number) {
        pool.start(prompt(number), start);
        pool.onRead(prompt(number).request, start + 10ms);
    }
    EXPECT_DOUBLE_EQ(pool.perTokenUs(), 20);
    for (int number = 0; number < 40; ++number) {
        pool.start(prompt(number), start);
        pool.onRead(prompt(number).request, start + 300ms);
    }
    EXPECT_NEAR(pool.perTokenUs(), 60, 1);
}

TEST(PrefillPool, ForgetsWhatWasReadWhereAnEngineLeft)
{
    PrefillPool pool(plain());
    pool.setEngines(engines(1));
    pool.start(prompt(0), start);
    pool.setEngines({});
    pool.onRead(RequestId("r0"), start + 1s);
    EXPECT_FALSE(pool.start(prompt(1), start));
    pool.setEngines(engines(1));
    EXPECT_TRUE(pool.start(prompt(1), start));
}

} // namespace
} // namespace fescuesill
