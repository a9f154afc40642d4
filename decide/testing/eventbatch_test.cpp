#include "decide/eventbatch.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <random>
#include <rapidcheck/gtest.h>
#include <string>
#include <vector>

namespace fescuesill
{
namespace
{

constexpr Instant start{Duration(1'000'000)};

EventBatch holdingBatch()
{
    EventBatch batch(EventBatch::Options{});
    batch.setHolding(true);
    return batch;
}

// A batch whose first event was written at `start`.
EventBatch startedBatch()
{
    EventBatch batch = holdingBatch();
    batch.onArrived(400, 1, start);
    batch.onWritten(start, start);
    return batch;
}

TEST(EventBatch, WritesTheFirstEventAtOnce)
{
    EventBatch batch = holdingBatch();
    EXPECT_FALSE(batch.isDue(start));
    EXPECT_FALSE(batch.holdUntil());
    batch.onArrived(0, 0, start); // a part of it
    EXPECT_FALSE(batch.isDue(start));
    batch.onArrived(400, 1, start + 1ms);
    EXPECT_TRUE(batch.isDue(start + 1ms));
    EXPECT_EQ(batch.holdUntil(), start + 1ms);
}

// Guards against a first event that is held because a comment was written before it.
TEST(EventBatch, WritesTheFirstEventAtOnceAfterBytesOfNoEvent)
{
    EventBatch batch = holdingBatch();
    batch.onArrived(10, 0, start);
    EXPECT_TRUE(batch.isDue(start));
    batch.onWritten(start, start);
    batch.onArrived(400, 1, start + 1ms);
    EXPECT_TRUE(batch.isDue(start + 1ms));
}

TEST(EventBatch, HoldsLaterEventsUntilTheyFillAPacketOrForATime)
{
    struct Read {
        Duration at;
        std::size_t bytes;
        std::size_t events;
    };
    struct Case {
        const char *name;
        std::vector<Read> reads;
        Duration due;
    };
    const Case cases[] = {
        {"one event", {{50ms, 400, 1}}, 150ms},
        {"two events", {{50ms, 400, 1}, {100ms, 400, 1}}, 150ms},
        {"three events fill a packet", {{50ms, 400, 1}, {60ms, 400, 1}, {70ms, 400, 1}}, 70ms},
        {"one byte less", {{50ms, 400, 1}, {60ms, 400, 1}, {70ms, 399, 1}}, 150ms},
        {"three events in one read", {{50ms, 1200, 3}}, 50ms},
        {"a large event", {{50ms, 100'000, 1}}, 50ms},
        {"a part of an event is not held", {{20ms, 0, 0}, {50ms, 400, 1}}, 150ms},
        {"a part of an event after one", {{50ms, 400, 1}, {60ms, 0, 0}}, 150ms},
        {"a comment is held", {{50ms, 10, 0}}, 150ms},
    };
    for (const Case &each : cases) {
        EventBatch batch = startedBatch();
        std::size_t held = 0;
        for (const Read &read : each.reads) {
            EXPECT_FALSE(batch.isDue(start + read.at)) << each.name;
            batch.onArrived(read.bytes, read.events, start + read.at);
            held += read.bytes;
        }
        EXPECT_EQ(batch.heldBytes(), held) << each.name;
        EXPECT_TRUE(batch.isDue(start + each.due)) << each.name;
        if (each.due > each.reads.back().at) {
            EXPECT_EQ(batch.holdUntil(), start + each.due) << each.name;
            EXPECT_FALSE(batch.isDue(start + each.due - 1us)) << each.name;
        }
        batch.onWritten(start + each.due, start + each.due);
        EXPECT_EQ(batch.heldBytes(), 0U) << each.name;
        EXPECT_FALSE(batch.holdUntil()) << each.name;
    }
}

// Guards against events that stay held when loss has ended, and against a host without loss that writes later than
// before.
TEST(EventBatch, HoldsNothingWhileHoldingIsOff)
{
    EventBatch batch = startedBatch();
    batch.onArrived(400, 1, start + 50ms);
    EXPECT_FALSE(batch.isDue(start + 51ms));
    batch.setHolding(false);
    EXPECT_TRUE(batch.isDue(start + 51ms));
    batch.onWritten(start + 51ms, start + 51ms);
    batch.onArrived(400, 1, start + 100ms);
    EXPECT_TRUE(batch.isDue(start + 100ms));
    batch.onWritten(start + 100ms, start + 100ms);
    batch.setHolding(true);
    batch.onArrived(400, 1, start + 150ms);
    EXPECT_EQ(batch.holdUntil(), start + 250ms);
}

TEST(EventBatch, CountsStalls)
{
    struct Case {
        const char *name;
        Duration gap; // since the read before
        std::size_t events;
        Duration writing; // of the gap
        std::int64_t stalls;
    };
    const Case cases[] = {
        {"two events after a gap", 190ms, 2, 0ms, 1},
        {"two events after a shorter gap", 190ms - 1us, 2, 0ms, 0},
        {"a slow engine: one event after a gap", 10s, 1, 0ms, 0},
        {"a part of an event after a gap", 10s, 0, 0ms, 0},
        {"many events are one stall", 250ms, 5, 0ms, 1},
        // Guards against a caller that reads slowly and passes for loss.
        {"events that queue up while a write blocks", 500ms, 9, 311ms, 0},
        {"a gap beside a write that blocks", 500ms, 9, 310ms, 1},
    };
    for (const Case &each : cases) {
        EventBatch batch = holdingBatch();
        batch.onArrived(400, 1, start);
        batch.onWritten(start, start + each.writing);
        batch.onArrived(400 * each.events, each.events, start + each.gap);
        EXPECT_EQ(batch.takeCounts().stalls, each.stalls) << each.name;
    }
}

// Guards against a time to the first event that passes for loss.
TEST(EventBatch, CountsNoStallBeforeTheFirstRead)
{
    EventBatch batch = holdingBatch();
    batch.onArrived(1200, 3, start + 10s);
    EXPECT_EQ(batch.takeCounts().stalls, 0);
}

// Guards against a loss that goes unseen because the events behind the lost packet arrive in several reads.
TEST(EventBatch, CountsAStallThatArrivesInSeveralReads)
{
    struct Case {
        Duration next; // between the read that ends the gap and the next one
        std::int64_t stalls;
    };
    for (const Case &each : {Case{0ms, 1}, Case{20ms, 1}, Case{20ms + 1us, 0}}) {
        EventBatch batch = startedBatch();
        for (const Duration at : {200ms + 0us, 200ms + each.next, 200ms + each.next * 2}) {
            batch.onArrived(400, 1, start + at);
        }
        EXPECT_EQ(batch.takeCounts().stalls, each.stalls) << each.next.count();
    }
}

TEST(EventBatch, StatesEachCountOnce)
{
    EventBatch batch = startedBatch();
    batch.onArrived(800, 2, start + 200ms);
    batch.onWritten(start + 200ms, start + 200ms);
    batch.onWritten(start + 300ms, start + 300ms); // nothing was held
    const EventBatch::Counts counts = batch.takeCounts();
    EXPECT_EQ(counts.events, 3);
    EXPECT_EQ(counts.writes, 2);
    EXPECT_EQ(counts.stalls, 1);
    const EventBatch::Counts next = batch.takeCounts();
    EXPECT_EQ(next.events + next.writes + next.stalls, 0);
}

// Keeps everything that happened and looks through all of it for each question.
class Oracle
{
public:
    struct Step {
        enum Kind { Read, Write } kind;
        Instant began; // a read takes no time
        Instant ended;
        std::size_t bytes; // read
        std::size_t events; // read
    };

    void add(const Step &step)
    {
        this->steps.push_back(step);
        this->stalls += this->isStall(this->steps.size() - 1) ? 1 : 0;
    }
    bool isDue(bool isHolding, Instant now) const
    {
        std::size_t bytes = 0;
        std::size_t events = 0;
        bool isFirstWritten = false;
        std::optional<Instant> since;
        for (const Step &step : this->steps) {
            if (step.kind == Step::Write) {
                isFirstWritten = isFirstWritten || events > 0;
                bytes = 0;
                events = 0;
                since.reset();
            } else if (step.bytes > 0) {
                since = since.value_or(step.ended);
                bytes += step.bytes;
                events += step.events;
            }
        }
        return since && (!isHolding || !isFirstWritten || bytes >= 1200 || now - *since >= 100ms);
    }
    std::int64_t stalls = 0;

private:
    bool isAfterGap(std::size_t read) const
    {
        Duration waited{0};
        Instant until = this->steps[read].began;
        for (std::size_t index = read; index-- > 0;) {
            const Step &before = this->steps[index];
            waited += until - before.ended;
            until = before.began;
            if (before.kind == Step::Read) {
                return waited >= 190ms;
            }
        }
        return false;
    }
    // Whether the second event since the end of a gap arrived with this step, and within 20 ms of that end.
    bool isStall(std::size_t last) const
    {
        if (this->steps[last].kind != Step::Read) {
            return false;
        }
        std::size_t events = 0; // before the step
        for (std::size_t index = last + 1; index-- > 0;) {
            const Step &step = this->steps[index];
            if (step.kind != Step::Read) {
                continue;
            }
            events += index == last ? 0 : step.events;
            if (this->isAfterGap(index)) {
                return this->steps[last].began - step.began <= 20ms && events < 2
                    && events + this->steps[last].events >= 2;
            }
        }
        return false;
    }

    std::vector<Step> steps;
};

// Reads, writes that are due or early, blocked writes and switches at random times. What is held is never 1,200 bytes
// or more, and never older than 100 ms, once the caller has written what is due.
RC_GTEST_PROP(EventBatch, AgreesWithAllStepsLookedThroughAnew, ())
{
    EventBatch batch(EventBatch::Options{});
    Oracle oracle;
    bool isHolding = false;
    Instant now = start;
    std::int64_t events = 0;
    std::int64_t stalls = 0;
    const auto write = [&] {
        const Duration blocked(*rc::gen::inRange(0, 5) == 0 ? *rc::gen::inRange(0, 400'000) : 0);
        batch.onWritten(now, now + blocked);
        oracle.add({Oracle::Step::Write, now, now + blocked, 0, 0});
        now += blocked;
    };
    for (int step = 0; step < 100; ++step) {
        Instant next = now + Duration(*rc::gen::inRange(0, 300'000));
        const std::optional<Instant> until = batch.holdUntil();
        if (until && *until <= next) {
            now = std::max(now, *until);
            RC_ASSERT(batch.isDue(now) && oracle.isDue(isHolding, now));
            write();
            next = std::max(next, now);
        }
        now = next;
        RC_ASSERT(batch.isDue(now) == oracle.isDue(isHolding, now));
        RC_ASSERT(batch.heldBytes() < 1200U);
        const int kind = *rc::gen::inRange(0, 12);
        if (kind == 0) {
            isHolding = !isHolding;
            batch.setHolding(isHolding);
        } else if (kind == 1) {
            write(); // early, as at a fault
        } else {
            const std::size_t count = *rc::gen::inRange<std::size_t>(0, 4);
            const std::size_t bytes = count * *rc::gen::inRange<std::size_t>(1, 600);
            batch.onArrived(bytes, count, now);
            oracle.add({Oracle::Step::Read, now, now, bytes, count});
            events += static_cast<std::int64_t>(count);
        }
        RC_ASSERT(batch.isDue(now) == oracle.isDue(isHolding, now));
        if (batch.isDue(now)) {
            write();
            RC_ASSERT(!batch.holdUntil());
        }
        const EventBatch::Counts counts = batch.takeCounts();
        stalls += counts.stalls;
        RC_ASSERT(stalls == oracle.stalls);
        events -= counts.events;
        RC_ASSERT(events == 0);
    }
}

// A connection that delivers in order. Each lost packet, and each lost repetition, is resent after 200 ms.
class LossyLink
{
public:
    LossyLink(std::uint64_t seed, double loss, Duration latency)
        : random(seed)
        , loss(loss)
        , latency(latency)
    {
    }

    Instant deliver(Instant sent)
    {
        Instant arrival = sent + this->latency;
        for (; this->chance(this->random) < this->loss; ++this->lost) {
            arrival += 200ms;
        }
        this->last = std::max(this->last, arrival);
        return this->last;
    }

    int lost = 0;

private:
    std::mt19937_64 random;
    std::uniform_real_distribution<double> chance{0, 1};
    double loss;
    Duration latency;
    Instant last;
};

struct Stream {
    int lostByEngine = 0; // packets between engine and host
    int lateEvents = 0; // reached the caller more than 200 ms after they were produced
    EventBatch::Counts counts;
};

// 70 events of 400 bytes, one each 50 ms, from the engine over a host to a caller.
Stream relay(std::uint64_t seed, double loss, bool isHolding)
{
    constexpr std::size_t eventBytes = 400;
    constexpr std::size_t packetBytes = 1460;
    constexpr int events = 70;
    const auto produced = [](int event) {
        return start + event * Duration(50ms);
    };
    LossyLink engine(2 * seed, loss, 1ms);
    LossyLink caller(2 * seed + 1, loss, 3ms);
    EventBatch batch(EventBatch::Options{});
    batch.setHolding(isHolding);
    Stream result;
    int written = 0; // events
    const auto write = [&](Instant now) {
        std::size_t sent = 0;
        for (std::size_t left = batch.heldBytes(); left > 0; left -= std::min(left, packetBytes)) {
            sent += std::min(left, packetBytes);
            const Instant arrival = caller.deliver(now);
            // An event is complete with the packet that has its last byte.
            for (; written < events && sent >= eventBytes; sent -= eventBytes, ++written) {
                result.lateEvents += arrival - produced(written) > 200ms ? 1 : 0;
            }
        }
        batch.onWritten(now, now);
    };
    std::vector<Instant> arrivals;
    arrivals.reserve(events);
    for (int event = 0; event < events; ++event) {
        arrivals.push_back(engine.deliver(produced(event)));
    }
    for (auto read = arrivals.begin(); read != arrivals.end();) {
        const auto end = std::upper_bound(read, arrivals.end(), *read);
        const auto count = static_cast<std::size_t>(end - read);
        if (batch.holdUntil() && *batch.holdUntil() < *read) {
            write(*batch.holdUntil());
        }
        batch.onArrived(count * eventBytes, count, *read);
        if (batch.isDue(*read) || end == arrivals.end()) {
            write(*read);
        }
        read = end;
    }
    EXPECT_EQ(written, events);
    result.lostByEngine = engine.lost;
    result.counts = batch.takeCounts();
    return result;
}

struct Load {
    static constexpr int streams = 4000;

    Load(std::uint64_t seed, double loss, bool isHolding)
    {
        for (std::uint64_t number = 0; number < streams; ++number) {
            const Stream stream = relay(seed * streams + number, loss, isHolding);
            const bool isLate = stream.lateEvents > 0;
            this->late += isLate ? 1 : 0;
            this->lateByCaller += isLate && stream.lostByEngine == 0 ? 1 : 0;
            this->lostByEngine += stream.lostByEngine;
            this->counts.events += stream.counts.events;
            this->counts.writes += stream.counts.writes;
            this->counts.stalls += stream.counts.stalls;
        }
    }

    static double share(int streamsOf)
    {
        return static_cast<double>(streamsOf) / streams;
    }

    int late = 0; // streams
    int lateByCaller = 0; // streams of which no packet was lost between engine and host
    int lostByEngine = 0; // packets
    EventBatch::Counts counts;
};

// The load: streams of 70 events of 400 bytes, one each 50 ms, each packet lost with probability 0.0015 and resent
// after 200 ms. Guards against batches that do not reduce the streams made late between host and caller.
// The third event of a batch arrives just as the hold time ends. At more than 50 ms between events a batch has two, and
// the share is about a half.
TEST(EventBatch, HalvesTheStreamsMadeLateByLossBetweenHostAndCaller)
{
    for (const std::uint64_t seed : {1, 2, 3, 4, 5}) {
        const Load single(seed, 0.0015, false);
        const Load batched(seed, 0.0015, true);
        const std::string shares = "seed " + std::to_string(seed) + ": late " + std::to_string(Load::share(single.late))
            + " and " + std::to_string(Load::share(batched.late)) + ", by the caller's side "
            + std::to_string(Load::share(single.lateByCaller)) + " and "
            + std::to_string(Load::share(batched.lateByCaller));
        RecordProperty("seed" + std::to_string(seed), shares);
        EXPECT_GT(Load::share(single.lateByCaller), 0.05) << shares; // else the load shows nothing
        EXPECT_LE(2 * batched.lateByCaller, single.lateByCaller) << shares;
        EXPECT_LT(batched.late, single.late) << shares;
        EXPECT_LE(2 * batched.counts.writes, single.counts.writes) << shares;
    }
}

// The same load. Guards against holding that hides the stalls by which loss is seen, so that it would switch itself
// off. A first or last lost packet of a stream is no stall.
TEST(EventBatch, CountsMostLostPacketsAsStallsWhetherItHoldsOrNot)
{
    for (const bool isHolding : {false, true}) {
        const Load load(1, 0.0015, isHolding);
        EXPECT_GT(load.counts.stalls, 0.9 * load.lostByEngine) << isHolding;
        EXPECT_LE(load.counts.stalls, load.lostByEngine) << isHolding;
    }
}

// Guards against events that holding alone makes late, and against stalls without loss.
TEST(EventBatch, MakesNoStreamLateWithoutLoss)
{
    for (const bool isHolding : {false, true}) {
        const Load load(1, 0, isHolding);
        EXPECT_EQ(load.late, 0) << isHolding;
        EXPECT_EQ(load.counts.stalls, 0) << isHolding;
        EXPECT_EQ(load.counts.events, 70 * Load::streams) << isHolding;
    }
}

} // namespace
} // namespace fescuesill
