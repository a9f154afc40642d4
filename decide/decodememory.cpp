// Sums over the usable engines are kept up to date by taking an engine's figures out before a change and adding them
// again after it, so that every query about the cell costs the same at 13 engines and at 600.
//
// Forecast. Load: decode memory near full, some fifty releases a second. Harm prevented: a place that stands empty
// through the read and the move of the request that will use it (a twelfth of a place's time). By Little's law pieces
// come free at the rate held / mean hold time, whatever the lengths of the answers are; each answer's own length is not
// predicted.
//
// Reports lag, so a report above what we hold now may be our own past. Only what exceeds our peak over the lag is
// counted as another's.

#include "decide/decodememory.h"

#include <algorithm>
#include <cmath>

namespace fescuesill
{

DecodeMemory::Engine &DecodeMemory::engine(EngineSlot slot)
{
    if (slot >= this->engines.size()) {
        this->engines.resize(slot + 1);
    }
    return this->engines[slot];
}

Pieces DecodeMemory::freeOf(const Engine &engine)
{
    return engine.usable ? std::max(Pieces(0), engine.total - engine.held - engine.foreign) : Pieces(0);
}

void DecodeMemory::count(const Engine &engine, int sign)
{
    if (!engine.usable) {
        return;
    }
    const auto add = [sign](Pieces &sum, Pieces amount) {
        sum += Pieces(sign * amount.value());
    };
    add(this->freeSum, freeOf(engine));
    add(this->totalSum, engine.total);
    add(this->heldSum, engine.held);
    this->usableCount += sign;
}

void DecodeMemory::notePeak(Engine &engine, Instant now) const
{
    if (now >= engine.windowEnd) {
        engine.lastPeak = now < engine.windowEnd + this->options.reportLag ? engine.peak : engine.held;
        engine.peak = engine.held;
        engine.windowEnd = now + this->options.reportLag;
    }
    engine.peak = std::max(engine.peak, engine.held);
}

void DecodeMemory::setEngine(EngineSlot slot, Pieces total, bool usable)
{
    Engine &engine = this->engine(slot);
    this->count(engine, -1);
    engine.total = total;
    engine.usable = usable;
    this->count(engine, 1);
}

void DecodeMemory::clear(EngineSlot slot)
{
    Engine &engine = this->engine(slot);
    this->count(engine, -1);
    engine = Engine{engine.total, Pieces(0), Pieces(0), engine.usable, Pieces(0), Pieces(0), engine.windowEnd};
    this->count(engine, 1);
}

void DecodeMemory::hold(EngineSlot slot, Pieces pieces, Instant now)
{
    Engine &engine = this->engine(slot);
    this->count(engine, -1);
    this->notePeak(engine, now);
    engine.held += pieces;
    this->notePeak(engine, now);
    this->count(engine, 1);
}

void DecodeMemory::release(EngineSlot slot, Pieces pieces, Duration heldFor, Instant now)
{
    Engine &engine = this->engine(slot);
    this->count(engine, -1);
    this->notePeak(engine, now);
    engine.held = std::max(Pieces(0), engine.held - pieces);
    this->count(engine, 1);
    const double weight = 1 - std::pow(1 - this->options.holdWeight, static_cast<double>(pieces.value()));
    this->holdMicros += weight * (static_cast<double>(heldFor.count()) - this->holdMicros);
}

void DecodeMemory::onReport(EngineSlot slot, Pieces used, Instant now)
{
    Engine &engine = this->engine(slot);
    this->count(engine, -1);
    this->notePeak(engine, now);
    engine.foreign = std::max(Pieces(0), used - std::max(engine.peak, engine.lastPeak));
    this->count(engine, 1);
}

Pieces DecodeMemory::free(EngineSlot slot) const
{
    return slot < this->engines.size() ? freeOf(this->engines[slot]) : Pieces(0);
}

Pieces DecodeMemory::held(EngineSlot slot) const
{
    return slot < this->engines.size() ? this->engines[slot].held : Pieces(0);
}

Pieces DecodeMemory::largest() const
{
    Pieces most;
    for (const Engine &engine : this->engines) {
        most = engine.usable ? std::max(most, engine.total) : most;
    }
    return most;
}

double DecodeMemory::expectedReleases(Duration within) const
{
    const double rate = static_cast<double>(this->heldSum.value()) / std::max(1.0, this->holdMicros);
    return rate * static_cast<double>(within.count());
}

} // namespace fescuesill
