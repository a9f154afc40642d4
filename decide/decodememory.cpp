// Sums over the usable engines are maintained incrementally: the values of an engine are subtracted before a change and
// added after it. So a query over the cell costs the same at 13 engines and at 600.
//
// Forecast: near full memory there are some fifty releases a second. Without a forecast a request would have to hold
// its pieces through its prefill and transfer, unused for a twelfth of the time that a piece is held. By Little's law
// pieces are released at the rate held / mean hold time, whatever the lengths of the answers are; the length of a
// single answer is not predicted.
//
// Reports lag, so a report above what is held now may show an earlier state of the own work. Only what exceeds the peak
// of the pieces held over the lag is counted as held by another.

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
    return engine.usable ? std::max(Pieces(0), engine.total - engine.held - engine.unaccounted) : Pieces(0);
}

void DecodeMemory::addToSums(const Engine &engine, int sign)
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

void DecodeMemory::updatePeak(Engine &engine, Instant now) const
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
    this->addToSums(engine, -1);
    engine.total = total;
    engine.usable = usable;
    this->addToSums(engine, 1);
}

void DecodeMemory::clear(EngineSlot slot)
{
    Engine &engine = this->engine(slot);
    this->addToSums(engine, -1);
    engine = Engine{engine.total, Pieces(0), Pieces(0), engine.usable, Pieces(0), Pieces(0), engine.windowEnd};
    this->addToSums(engine, 1);
}

void DecodeMemory::hold(EngineSlot slot, Pieces pieces, Instant now)
{
    Engine &engine = this->engine(slot);
    this->addToSums(engine, -1);
    this->updatePeak(engine, now);
    engine.held += pieces;
    this->updatePeak(engine, now);
    this->addToSums(engine, 1);
}

void DecodeMemory::release(EngineSlot slot, Pieces pieces, Duration heldFor, Instant now)
{
    Engine &engine = this->engine(slot);
    this->addToSums(engine, -1);
    this->updatePeak(engine, now);
    engine.held = std::max(Pieces(0), engine.held - pieces);
    this->addToSums(engine, 1);
    const double weight = 1 - std::pow(1 - this->options.holdWeight, static_cast<double>(pieces.value()));
    this->holdMicros += weight * (static_cast<double>(heldFor.count()) - this->holdMicros);
}

void DecodeMemory::onReport(EngineSlot slot, Pieces used, Instant now)
{
    Engine &engine = this->engine(slot);
    this->addToSums(engine, -1);
    this->updatePeak(engine, now);
    engine.unaccounted = std::max(Pieces(0), used - std::max(engine.peak, engine.lastPeak));
    this->addToSums(engine, 1);
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
    Pieces largest;
    for (const Engine &engine : this->engines) {
        largest = engine.usable ? std::max(largest, engine.total) : largest;
    }
    return largest;
}

double DecodeMemory::expectedReleases(Duration within) const
{
    const double rate = static_cast<double>(this->heldSum.value()) / std::max(1.0, this->holdMicros);
    return rate * static_cast<double>(within.count());
}

} // namespace fescuesill
