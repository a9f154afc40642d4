#pragma once

// The memory of a cell's decode engines, in pieces: what is held, what is free, and what is expected to become free.
//
//     DecodeMemory memory(DecodeMemory::Options{});
//     memory.setEngine(slot, Pieces(20), true);
//     memory.hold(slot, Pieces(2), now);
//     memory.release(slot, Pieces(2), 3s, now);             // was held for 3 s
//     memory.expectedReleases(250ms);                       // pieces, over all usable engines

#include "decide/cellmessages.h"
#include "decide/enginetable.h"

#include <vector>

namespace fescuesill
{

class DecodeMemory
{
public:
    struct Options {
        // Initial value of the measured time that a piece is held.
        Duration holdTime{3s};
        // Weight of one release in the mean hold time: some fifty releases, a second of a cell's work.
        double holdWeight = 0.02;
        // How long the peak of the pieces held is kept. A report lags by less than this.
        Duration reportLag{2s};
    };

    explicit DecodeMemory(const Options &options)
        : options(options)
        , holdMicros(static_cast<double>(options.holdTime.count()))
    {
    }

    // `usable`: takes new work. An engine that is not usable keeps what it holds.
    void setEngine(EngineSlot slot, Pieces total, bool usable);
    // Clears everything held on the engine.
    void clear(EngineSlot slot);
    void hold(EngineSlot slot, Pieces pieces, Instant now);
    void release(EngineSlot slot, Pieces pieces, Duration heldFor, Instant now);
    // The engine reports the pieces in use. More than is held here means that another owner placed requests there, or
    // that a caller disconnected and its request was not cancelled.
    void onReport(EngineSlot slot, Pieces used, Instant now);

    Pieces free(EngineSlot slot) const;
    Pieces held(EngineSlot slot) const;
    // Over usable engines.
    Pieces totalFree() const
    {
        return this->freeSum;
    }
    Pieces total() const
    {
        return this->totalSum;
    }
    int usableEngines() const
    {
        return this->usableCount;
    }
    Pieces largest() const;
    double expectedReleases(Duration within) const;
    Duration holdTime() const
    {
        return Duration(static_cast<Duration::rep>(this->holdMicros));
    }

private:
    struct Engine {
        Pieces total;
        Pieces held;
        Pieces unaccounted;
        bool usable = false;
        // Peak of `held` in the current and the last window of reportLag.
        Pieces peak;
        Pieces lastPeak;
        Instant windowEnd;
    };

    Engine &engine(EngineSlot slot);
    static Pieces freeOf(const Engine &engine);
    void addToSums(const Engine &engine, int sign);
    void updatePeak(Engine &engine, Instant now) const;

    Options options;
    std::vector<Engine> engines;
    Pieces freeSum;
    Pieces totalSum;
    Pieces heldSum;
    int usableCount = 0;
    double holdMicros;
};

} // namespace fescuesill
