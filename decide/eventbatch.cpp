// What is held is due when one of these is so: holding is off, the first event of the response has not been written,
// fullSize bytes have accumulated, or holdLimit has passed since the first of it arrived. As each read is followed by a
// write if one is due, less than fullSize bytes are held when more arrive.
//
// A stall is a pause in which the connection delivered nothing although the host would have read it. While a write to
// the caller blocks, events queue up without any loss, so that time does not count.

#include "decide/eventbatch.h"

#include <algorithm>
#include <utility>

namespace fescuesill
{

void EventBatch::setHolding(bool isOn)
{
    this->isHolding = isOn;
}

void EventBatch::onArrived(std::size_t newBytes, std::size_t newEvents, Instant now)
{
    if (this->bytes == 0 && this->events == 0) {
        this->heldSince = now;
    }
    this->bytes += newBytes;
    this->events += newEvents;
    this->counts.events += static_cast<std::int64_t>(newEvents);
    this->countStall(newEvents, now);
    this->lastRead = now;
    this->writing = Duration(0);
}

void EventBatch::countStall(std::size_t newEvents, Instant now)
{
    if (this->lastRead && now - *this->lastRead - this->writing >= this->options.stallGap) {
        this->gapEnd = now;
        this->eventsAfterGap = 0;
    }
    if (!this->gapEnd || now - *this->gapEnd > this->options.stallSpan) {
        return;
    }
    this->eventsAfterGap += newEvents;
    if (this->eventsAfterGap >= this->options.stallEvents) {
        ++this->counts.stalls;
        this->gapEnd.reset();
    }
}

void EventBatch::onWritten(Instant began, Instant ended)
{
    if (this->bytes > 0 || this->events > 0) {
        ++this->counts.writes;
    }
    this->isFirstWritten = this->isFirstWritten || this->events > 0;
    this->bytes = 0;
    this->events = 0;
    this->writing += std::max<Duration>(ended - began, Duration(0));
}

bool EventBatch::isDue(Instant now) const
{
    const std::optional<Instant> until = this->holdUntil();
    return until && now >= *until;
}

std::optional<Instant> EventBatch::holdUntil() const
{
    if (this->bytes == 0 && this->events == 0) {
        return std::nullopt;
    }
    return this->mayHold() ? this->heldSince + this->options.holdLimit : this->heldSince;
}

std::size_t EventBatch::heldBytes() const
{
    return this->bytes;
}

EventBatch::Counts EventBatch::takeCounts()
{
    return std::exchange(this->counts, Counts{});
}

bool EventBatch::mayHold() const
{
    return this->isHolding && this->isFirstWritten && this->bytes < this->options.fullSize;
}

} // namespace fescuesill
