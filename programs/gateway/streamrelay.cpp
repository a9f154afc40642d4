// Events are taken from the relay in the order of their arrival, and all that is held is written at once. So the last
// event that the relay knows is one that the caller gets, provided that everything is written before the stream ends,
// breaks off or goes on at another engine.

#include "programs/gateway/streamrelay.h"

#include "wire/clock.h"

#include <algorithm>

namespace fescuesill
{

StreamRelay::StreamRelay(const ForwardedCall &forwarded, const CallAbort &callAbort, EventRelay &relay)
    : call(forwarded)
    , abort(callAbort)
    , events(relay)
    , batch(forwarded.services.losses.batchOptions())
{
}

bool StreamRelay::run(LineStream &stream, const OnEvents &onEvents, const asio::yield_context &yield)
{
    std::optional<HttpError> fault;
    try {
        while (!this->isFaulty() && this->read(stream, yield)) {
            this->take(onEvents);
            if (this->batch.isDue(steadyNow())) {
                this->write(yield);
            }
            this->recordCounts();
        }
    } catch (const HttpError &error) {
        fault = error; // handled below: a coroutine must not be suspended inside of a handler
    }
    stream.close(); // the engine needs not wait while the caller takes what is held
    if (fault) {
        this->take(onEvents);
        if (!this->abort.isAborted()) {
            this->write(yield);
        }
        this->recordCounts();
        throw HttpError(*fault);
    }
    if (this->isFaulty()) {
        this->flush(yield);
        return false;
    }
    return true;
}

bool StreamRelay::isFaulty() const
{
    return this->events.fault() != RelayFault::None;
}

bool StreamRelay::read(LineStream &stream, const asio::yield_context &yield)
{
    if (const auto until = this->batch.holdUntil()) {
        const Duration limit = std::min(*until - steadyNow(), this->call.timeLeft());
        if (!stream.waitReadable(std::max(limit, Duration(0)), yield)) {
            this->write(yield);
        }
    }
    return stream.readOnce(this->bytes, this->call.timeLeft(), yield);
}

void StreamRelay::take(const OnEvents &onEvents)
{
    const std::string whole = this->events.take(this->bytes);
    this->bytes.clear();
    this->batch.setHolding(this->call.services.losses.isSeen());
    this->batch.onArrived(whole.size(), static_cast<std::size_t>(this->events.wholeEvents()), steadyNow());
    if (!whole.empty()) {
        this->held += whole;
        onEvents();
    }
}

void StreamRelay::flush(const asio::yield_context &yield)
{
    this->write(yield);
    this->recordCounts();
}

void StreamRelay::write(const asio::yield_context &yield)
{
    if (this->held.empty()) {
        return;
    }
    const Instant began = steadyNow();
    this->call.reply.write(this->held, yield);
    this->held.clear();
    this->batch.onWritten(began, steadyNow());
}

void StreamRelay::finish(const asio::yield_context &yield)
{
    const Instant began = steadyNow();
    this->call.reply.finish(this->held + this->events.rest(), yield);
    if (!this->held.empty()) {
        this->held.clear();
        this->batch.onWritten(began, steadyNow());
        this->recordCounts();
    }
}

void StreamRelay::recordCounts()
{
    const EventBatch::Counts counts = this->batch.takeCounts();
    this->call.services.losses.add(counts);
    this->call.services.metrics.onRelayed(counts);
}

} // namespace fescuesill
