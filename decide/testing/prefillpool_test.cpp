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

std::vector<PrefillEngine> engines(int count)
{
    std::vector<PrefillEngine> listed;
    listed.reserve(static_cast<std::size_t>(count));
    for (int number = 0; number < count; ++number) {
        listed.push_back({EngineId("p" + std::to_string(number)), DataCentreId("a")});
    }
    return listed;
}

PrefillRequest prompt(int number, const std::string &name = {})
{
    return {RequestId("r" + std::to_string(number)), name, Tokens(5000), DataCentreId("a")};
}

PrefillPool::Options plain()
{
    PrefillPool::Options options;
    options.perPrefill = Duration(0);
    return options;
}

// Simulated engines that process one prompt after the other and report each completion.
class SimulatedEngines
{
public:
    explicit SimulatedEngines(PrefillPool &given)
        : pool(given)
    {
    }

    void begin(const PrefillRequest &prefill, const EngineId &engine, Duration takes, Instant now)
    {
        Instant &free = this->freeAt[engine];
        free = std::max(free, now) + takes;
        this->ends.emplace(free, prefill.request);
        this->longest = std::max(this->longest, free - now);
    }
    void advance(Instant now)
    {
        while (!this->ends.empty() && this->ends.begin()->first <= now) {
            this->pool.onPrefilled(this->ends.begin()->second, this->ends.begin()->first);
            this->ends.erase(this->ends.begin());
        }
    }
    bool isIdle(const EngineId &engine, Instant now) const
    {
        const auto found = this->freeAt.find(engine);
        return found == this->freeAt.end() || found->second <= now;
    }
    Duration longestPrefill() const
    {
        return this->longest;
    }

private:
    PrefillPool &pool;
    std::map<EngineId, Instant> freeAt;
    std::multimap<Instant, RequestId> ends;
    Duration longest{0};
};

// A flood after a restart: a thousand prompts at once start at the rate that the pool sustains, whatever its speed.
TEST(PrefillPool, FollowsTheSpeedOfThePool)
{
    struct Case {
        int engines;
        Duration read;
        int minStarted; // in the first second: the rate, and the queue of 150 ms
        int maxStarted;
    };
    const Case cases[] = {{6, 100ms, 60, 78}, {3, 100ms, 30, 39}, {6, 200ms, 30, 45}, {0, 100ms, 1000, 1000}};
    for (const Case &each : cases) {
        PrefillPool pool(plain());
        pool.setEngines(engines(each.engines));
        SimulatedEngines simulated(pool);
        int started = 0;
        for (Duration at{0}; at <= 1s; at += 1ms) {
            simulated.advance(start + at);
            while (pool.mayStart(start + at) && started < 1000) {
                const PrefillRequest prefill = prompt(started++);
                if (const auto engine = pool.start(prefill, start + at)) {
                    simulated.begin(prefill, *engine, each.read, start + at);
                }
            }
        }
        EXPECT_GE(started, each.minStarted) << each.engines << " " << each.read.count();
        EXPECT_LE(started, each.maxStarted) << each.engines << " " << each.read.count();
        EXPECT_LE(simulated.longestPrefill(), 550ms);
    }
}

TEST(PrefillPool, AccumulatesNoCreditWhileIdle)
{
    PrefillPool pool(plain());
    pool.setEngines(engines(1));
    pool.start(prompt(0), start);
    pool.onPrefilled(RequestId("r0"), start + 100ms);
    const Instant later = start + 10s;
    for (int number = 1; number <= 2; ++number) { // 100 ms each: the third would wait 200 ms
        ASSERT_TRUE(pool.mayStart(later));
        pool.start(prompt(number), later);
    }
    EXPECT_FALSE(pool.mayStart(later));
    EXPECT_EQ(pool.nextStart(later), later + 50ms);
}

// Random arrivals at four fifths of the pool's capacity: no prompt waits at one engine while another one is idle.
TEST(PrefillPool, LeavesNoEngineIdleBesideAQueue)
{
    std::mt19937_64 random(7);
    PrefillPool pool(plain());
    pool.setEngines(engines(10));
    SimulatedEngines simulated(pool);
    Instant now = start;
    for (int number = 0; number < 2000; ++number) {
        const double gapUs = std::exponential_distribution<>(0.8 * 10 / 100e3)(random);
        now += Duration(static_cast<std::int64_t>(gapUs));
        simulated.advance(now);
        const auto listed = engines(10);
        const bool isAnyIdle = std::any_of(listed.begin(), listed.end(), [&](const PrefillEngine &entry) {
            return simulated.isIdle(entry.engine, now);
        });
        const auto engine = pool.start(prompt(number), now);
        ASSERT_TRUE(engine);
        ASSERT_TRUE(simulated.isIdle(*engine, now) || !isAnyIdle) << number;
        simulated.begin(prompt(number), *engine, 100ms, now);
    }
}

// An engine at a quarter of the speed gets only the prompts that it completes as soon as the others would.
TEST(PrefillPool, GivesASlowEngineWhatItCompletesInTime)
{
    PrefillPool pool(plain());
    pool.setEngines(engines(4));
    SimulatedEngines simulated(pool);
    std::map<EngineId, int> reads;
    for (int number = 0; number < 800; ++number) {
        const Instant now = start + number * 35ms;
        simulated.advance(now);
        const auto engine = pool.start(prompt(number), now);
        ASSERT_TRUE(engine);
        ++reads[*engine];
        simulated.begin(prompt(number), *engine, *engine == EngineId("p0") ? 400ms : 100ms, now);
    }
    EXPECT_LT(reads[EngineId("p0")], 100);
    EXPECT_GT(reads[EngineId("p1")], 200);
}

// An unresponsive engine gets no further prefill after the first, and none during the backoff after its failure.
TEST(PrefillPool, StopsAtAnEngineThatStalls)
{
    PrefillPool pool(plain());
    pool.setEngines(engines(2));
    const auto stalled = pool.start(prompt(0), start);
    const auto other = pool.start(prompt(1), start);
    ASSERT_NE(stalled, other);
    pool.onPrefilled(RequestId("r1"), start + 100ms);
    for (int number = 2; number < 20; ++number) {
        const Instant now = start + number * 500ms;
        EXPECT_EQ(pool.start(prompt(number), now), other);
        pool.onPrefilled(prompt(number).request, now + 100ms);
    }
    const Instant failed = start + 15s;
    pool.onFailed(RequestId("r0"), failed);
    EXPECT_EQ(pool.start(prompt(20), failed), other);
    pool.onPrefilled(RequestId("r20"), failed + 100ms);
    const auto next = pool.start(prompt(21), failed + 5s);
    const auto afterNext = pool.start(prompt(22), failed + 5s);
    EXPECT_TRUE(next == stalled || afterNext == stalled); // tried again
}

TEST(PrefillPool, ReturnsNoEngineIfAllFail)
{
    PrefillPool pool(plain());
    pool.setEngines(engines(2));
    pool.start(prompt(0), start);
    pool.start(prompt(1), start);
    pool.onFailed(RequestId("r0"), start);
    pool.onFailed(RequestId("r1"), start);
    EXPECT_TRUE(pool.mayStart(start)); // the decode engine prefills it
    EXPECT_FALSE(pool.start(prompt(2), start));
    EXPECT_TRUE(pool.start(prompt(2), start + 1s));
}

// The results of an engine expire at once although its prefills succeed: the backoff before the next attempt doubles.
TEST(PrefillPool, AvoidsAnEngineWhoseResultsAreLost)
{
    PrefillPool pool(plain());
    pool.setEngines(engines(2));
    const auto losing = pool.start(prompt(0), start);
    pool.onPrefilled(prompt(0).request, start);
    int lost = 0;
    for (int number = 0; number < 100; ++number) {
        const Instant now = start + number * 50ms;
        const auto engine = pool.start(prompt(number), now);
        ASSERT_TRUE(engine);
        pool.onPrefilled(prompt(number).request, now);
        if (engine == losing) {
            ++lost;
            pool.onResultLost(*engine, now);
        }
    }
    EXPECT_GE(lost, 3);
    EXPECT_LE(lost, 6); // in five seconds: after 0.25, 0.5, 1 and 2
}

// Every caller retries with the same prompt at schedulers without state: the prompt is still in the cache of its home.
TEST(PrefillPool, SendsAPromptHomeAfterARestart)
{
    PrefillPool before(plain());
    PrefillPool after(plain());
    before.setEngines(engines(6));
    after.setEngines(engines(6));
    for (int number = 0; number < 50; ++number) {
        const std::string name = "prompt" + std::to_string(number);
        const auto home = before.start(prompt(number, name), start);
        before.onPrefilled(prompt(number).request, start);
        EXPECT_EQ(after.start(prompt(number + 100, name), start), home);
        after.onPrefilled(prompt(number + 100).request, start);
    }
    const auto home = before.start(prompt(200, "prompt0"), start);
    EXPECT_NE(before.start(prompt(201, "prompt0"), start), home); // a queue there costs more than the cache saves
}

// Prefills served from a cache take a tenth of the time and must not change the estimate for uncached ones.
TEST(PrefillPool, LearnsNothingFromCachedPrefills)
{
    PrefillPool pool(plain());
    pool.setEngines(engines(1));
    for (int number = 0; number < 20; ++number) {
        pool.start(prompt(number), start);
        pool.onPrefilled(prompt(number).request, start + 10ms);
    }
    EXPECT_DOUBLE_EQ(pool.perTokenUs(), 20);
    for (int number = 0; number < 40; ++number) {
        pool.start(prompt(number), start);
        pool.onPrefilled(prompt(number).request, start + 300ms);
    }
    EXPECT_NEAR(pool.perTokenUs(), 60, 1);
}

TEST(PrefillPool, DropsThePrefillsOfARemovedEngine)
{
    PrefillPool pool(plain());
    pool.setEngines(engines(1));
    pool.start(prompt(0), start);
    pool.setEngines({});
    pool.onPrefilled(RequestId("r0"), start + 1s);
    EXPECT_FALSE(pool.start(prompt(1), start));
    pool.setEngines(engines(1));
    EXPECT_TRUE(pool.start(prompt(1), start));
}

} // namespace
} // namespace fescuesill
