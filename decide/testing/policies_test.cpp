// The small policies: admission, outliers, retry budget, role shift, degraded placing.

#include "decide/admission.h"
#include "decide/outlierdetector.h"
#include "decide/powerofchoice.h"
#include "decide/retrybudget.h"
#include "decide/roleshift.h"

#include <gtest/gtest.h>

#include <map>

namespace fescuesill
{

// Five hundred callers are refused at the same time. With the same retry time they would all retry together and be
// refused again, so the retry times are spread at the rate at which the cell works.
TEST(Admission, RefusedCallersAreSpreadOverTheTimeTheirWorkTakes)
{
    Admission admission(Admission::Options{});
    const Instant now(10s);
    Duration last{0};
    for (int i = 0; i < 100; ++i) {
        const Duration wait = admission.retryAfter(2s, 50ms, now);
        EXPECT_GE(wait, last);
        last = wait;
    }
    EXPECT_NEAR(std::chrono::duration<double>(last).count(), 2 + 99 * 0.05, 0.01);
    for (int i = 0; i < 10000; ++i) {
        EXPECT_LE(admission.retryAfter(2s, 50ms, now), 30s);
    }
}

TEST(Admission, MeasuresTheRateOnlyWhileWorkWaits)
{
    Admission admission(Admission::Options{});
    Instant now;
    for (int i = 0; i < 100; ++i) {
        admission.onPlaced(10ms, false, now += 1s);
    }
    EXPECT_DOUBLE_EQ(admission.rate(), 1);
    for (int i = 0; i < 1000; ++i) {
        admission.onPlaced(10ms, true, now += 20ms);
    }
    EXPECT_NEAR(admission.rate(), 0.5, 0.02);
}

// One engine of five generates at a third of the speed. It is ejected, probed with one request at a time, and
// readmitted when it has recovered.
TEST(OutlierDetector, SlowEndpointIsEjectedProbedAndReadmitted)
{
    OutlierDetector detector(OutlierDetector::Options{});
    for (EngineSlot slot = 0; slot < 5; ++slot) {
        detector.setMember(slot, true);
    }
    Instant now;
    const auto sample = [&](double slow) {
        now += 250ms;
        for (EngineSlot slot = 0; slot < 5; ++slot) {
            if (!detector.ejected(slot, now)) {
                detector.onSample(slot, slot == 3 ? slow : 1.0, now);
            }
        }
        detector.evaluate(now);
    };
    for (int i = 0; i < 5; ++i) {
        sample(3);
    }
    EXPECT_EQ(detector.allowance(3, now), 0);
    EXPECT_EQ(detector.allowance(2, now), std::nullopt);
    now += 2s;
    EXPECT_EQ(detector.allowance(3, now), 1);
    sample(3);
    EXPECT_EQ(detector.allowance(3, now), 0);
    now += 4s;
    std::optional<int> last = 1;
    for (int i = 0; i < 10 && last; ++i) {
        sample(1);
        const auto allowed = detector.allowance(3, now);
        EXPECT_TRUE(!allowed || *allowed > *last);
        last = allowed;
    }
    EXPECT_EQ(last, std::nullopt);
}

TEST(OutlierDetector, NeverEjectsAll)
{
    for (const EngineSlot count : {1, 2, 3, 9}) {
        OutlierDetector detector(OutlierDetector::Options{});
        for (EngineSlot slot = 0; slot < count; ++slot) {
            detector.setMember(slot, true);
        }
        for (int i = 0; i < 20; ++i) {
            for (EngineSlot slot = 0; slot < count; ++slot) {
                detector.onFailure(slot, Instant(1ms * i));
            }
        }
        EXPECT_LT(detector.ejectedCount(), static_cast<int>(count));
        EXPECT_LE(detector.ejectedCount(), std::max(1, static_cast<int>(count) / 3));
    }
}

TEST(RetryBudget, RetriesEndWhenNothingSucceeds)
{
    RetryBudget budget(RetryBudget::Options{});
    for (int i = 0; i < 1000; ++i) {
        budget.onSuccess();
    }
    int retries = 0;
    for (int i = 0; i < 1000; ++i) {
        retries += budget.take() ? 1 : 0;
    }
    EXPECT_EQ(retries, 20);
    for (int i = 0; i < 95; ++i) {
        budget.onSuccess();
    }
    EXPECT_NEAR(budget.left(), 9.5, 0.001);
}

TEST(RoleShift, ChangesOnlyAfterASustainedShortage)
{
    RoleShift shift(RoleShift::Options{});
    const RoleShift::View decodeShort{0.5, 0.99, true, 6, 7};
    const RoleShift::View calm{0.5, 0.5, false, 6, 7};
    const RoleShift::View bothShort{0.95, 0.99, true, 6, 7};
    EXPECT_EQ(shift.observe(decodeShort, Instant(0s)), std::nullopt);
    EXPECT_EQ(shift.observe(decodeShort, Instant(9s)), std::nullopt);
    EXPECT_EQ(shift.observe(calm, Instant(9500ms)), std::nullopt);
    EXPECT_EQ(shift.observe(decodeShort, Instant(10s)), std::nullopt);
    EXPECT_EQ(shift.observe(decodeShort, Instant(20s)), Pool::Decode);
    for (int second = 21; second < 80; ++second) {
        EXPECT_EQ(shift.observe(decodeShort, Instant(1s * second)), std::nullopt);
    }
    EXPECT_EQ(shift.observe(decodeShort, Instant(80s)), Pool::Decode);
    for (int second = 81; second < 300; ++second) {
        EXPECT_EQ(shift.observe(bothShort, Instant(1s * second)), std::nullopt);
    }
}

// Reports are one interval old. Placing by them alone would send every request to the engine that was empty then.
TEST(PowerOfChoice, SpreadsOnOldReportsAndRefusesWhenFull)
{
    PowerOfChoice placer(7);
    std::vector<EngineSpec> specs;
    for (int i = 0; i < 4; ++i) {
        specs.push_back({EngineId("p" + std::to_string(i)), Pool::Prefill, Pieces(20), {}, "", false});
        specs.push_back({EngineId("d" + std::to_string(i)), Pool::Decode, Pieces(20), {}, "", i == 3});
    }
    placer.setEngines(specs);
    std::map<EngineId, int> decodes;
    int placed = 0;
    for (int i = 0; i < 200; ++i) {
        if (const auto choice = placer.place(Tokens(1000))) {
            ++placed;
            ++decodes[choice->decode];
        }
    }
    EXPECT_LE(placed, 60);
    EXPECT_GE(placed, 50);
    EXPECT_EQ(decodes.count(EngineId("d3")), 0U);
    for (const auto &[engine, count] : decodes) {
        EXPECT_LE(count, 20);
    }
}

} // namespace fescuesill
