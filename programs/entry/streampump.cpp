// One loop: read what has arrived, write it as one piece, and again. Nothing is read while the caller has not taken the
// last piece, so a slow caller slows its own stream and no memory grows; lines that arrive meanwhile go out together.
//
// Failure: the connection to the engine breaks, or goes silent for good while new ones work. Broken is an error or an
// early end; silent is a read that brings nothing for the progress limit. Either way the stream is read on from the
// last fragment over a new connection, and StreamProgress drops what came twice. An engine whose port refuses
// connections is dead, not silent, and is given up after a second try instead of after the full number.

#include "programs/entry/streampump.h"

#include "wire/clock.h"
#include "wire/log.h"

#include <boost/asio/steady_timer.hpp>

namespace fescuesill
{
namespace
{

constexpr int mostConnectFailures = 2;
constexpr int mostReattaches = 3; // a silence each: with the first one some 4 s, then the request goes elsewhere
constexpr Duration reportEvery{2s}; // to the owner of the cell: it needs the growth of memory, a piece is 4,096 tokens

} // namespace

StreamPump::StreamPump(ShardServices &shared, PumpSource from, PumpSink &to)
    : services(shared)
    , source(std::move(from))
    , sink(to)
    , progress({shared.settings.silence, mostReattaches}, std::max(to.callerHas, to.delivered.count()), steadyNow())
{
}

PumpEnd StreamPump::run(std::optional<DecodeStream> opened, const asio::yield_context &yield)
{
    this->stream = std::move(opened);
    if (this->stream) {
        this->progress.onAttached(steadyNow());
    } else {
        this->progress.onBroken(steadyNow());
    }
    try {
        return this->readAll(yield);
    } catch (const CallerGone &) {
        return PumpEnd::CallerGone;
    }
}

void StreamPump::abandon()
{
    this->isGone = true;
    if (this->stream) {
        this->stream->close();
    }
}

PumpEnd StreamPump::readAll(const asio::yield_context &yield)
{
    while (!this->isGone) {
        if (this->sink.isStream && this->sink.firstAt && this->services.state.movesStreams(steadyNow())
            && !this->source.tokenPrefix.empty()) {
            return PumpEnd::Moved;
        }
        if (!this->stream && !this->reattach(yield)) {
            return this->isGone ? PumpEnd::CallerGone : PumpEnd::EngineLost;
        }
        if (!this->stream) {
            continue;
        }
        const Step step = this->readSome(yield);
        this->flush(yield);
        if (step == Step::Whole) {
            return PumpEnd::Whole;
        }
        if (step == Step::Corrupt) {
            return PumpEnd::Corrupt;
        }
        if (step == Step::Broken) {
            this->stream.reset();
            this->progress.onBroken(steadyNow());
        }
    }
    return PumpEnd::CallerGone;
}

// False where the stream is given up. True without a stream: not yet.
bool StreamPump::reattach(const asio::yield_context &yield)
{
    switch (this->progress.check(steadyNow())) {
    case StreamCheck::GaveUp:
        return false;
    case StreamCheck::Reattach:
        this->services.metrics.onReattach();
        return this->tryResume(yield);
    case StreamCheck::Healthy:
        break;
    }
    asio::steady_timer timer(this->services.io, this->services.settings.silence / 5);
    boost::system::error_code ignored;
    timer.async_wait(yield[ignored]);
    return true;
}

bool StreamPump::tryResume(const asio::yield_context &yield)
{
    try {
        this->stream.emplace(this->services.engines.resume(
            this->source.address, this->source.stream, this->progress.readFrom(), this->services.settings.host, yield));
        this->connectFailures = 0;
        this->progress.onAttached(steadyNow());
        return true;
    } catch (const EngineError &error) {
        if (std::holds_alternative<NoStream>(error.fault())) {
            return false;
        }
        const auto *unreachable = std::get_if<Unreachable>(&error.fault());
        const bool isRefused = unreachable != nullptr && unreachable->fault == HttpFault::Connect;
        this->connectFailures += isRefused ? 1 : 0;
        this->progress.onBroken(steadyNow());
        return this->connectFailures < mostConnectFailures;
    }
}

StreamPump::Step StreamPump::readSome(const asio::yield_context &yield)
{
    try {
        if (!this->stream->read(this->lines, this->services.settings.silence, yield)) {
            return Step::Broken;
        }
    } catch (const EngineError &error) {
        Log::debug("stream_broken", {{"stream", this->source.stream.value()}, {"fault", error.what()}});
        return Step::Broken;
    }
    for (const DecodeLine &line : this->lines) {
        const Step step = std::visit([this](const auto &one) { return this->take(one); }, line);
        if (step != Step::Continue) {
            return step;
        }
    }
    return Step::Continue;
}

StreamPump::Step StreamPump::take(const DecodeFragment &fragment)
{
    const bool isNext = fragment.offset == this->progress.readFrom();
    const FragmentVerdict verdict = this->progress.onFragment(fragment.offset, fragment.text, steadyNow());
    if (verdict == FragmentVerdict::Gap) {
        return Step::Broken;
    }
    if (isNext && !this->sink.delivered.matches(fragment.offset, fragment.text)) {
        return Step::Corrupt;
    }
    if (verdict == FragmentVerdict::Drop) {
        return Step::Continue;
    }
    this->sink.delivered.append(fragment.text);
    if (this->sink.isStream) {
        this->sink.writer.fragment(this->out, this->eventId(fragment.offset), fragment.json);
    } else {
        this->sink.text += fragment.text;
    }
    return Step::Continue;
}

StreamPump::Step StreamPump::take(const DecodeEnd &end)
{
    switch (this->progress.onEnd(end.length, end.digest)) {
    case EndVerdict::Short:
        return Step::Broken;
    case EndVerdict::Corrupt:
        return Step::Corrupt;
    case EndVerdict::Whole:
        break;
    }
    this->sink.end = end;
    if (this->sink.isStream) {
        const FinishReason reason = end.output < this->sink.maxTokens ? FinishReason::Stop : FinishReason::Length;
        this->sink.writer.end(this->out, this->eventId(end.length), end, reason);
    }
    return Step::Whole;
}

void StreamPump::flush(const asio::yield_context &yield)
{
    const Offset count = this->sink.delivered.count();
    if (count == Offset(0) && this->out.empty()) {
        return;
    }
    const Instant now = steadyNow();
    const bool isFirst = !this->sink.firstAt;
    this->sink.firstAt = this->sink.firstAt.value_or(now);
    this->sink.lastAt = now;
    if (this->sink.onOutput && (isFirst || now - this->reportedAt >= reportEvery)) {
        this->reportedAt = now;
        this->sink.onOutput(Tokens(count.value()));
    }
    if (!this->sink.isStream || this->out.empty()) {
        return;
    }
    if (!this->sink.isStarted) {
        this->sink.isStarted = true;
        this->sink.reply.startStream(200, yield);
        std::string opening;
        this->sink.writer.start(opening);
        this->out.insert(0, opening);
    }
    this->sink.reply.write(this->out, yield);
    this->out.clear();
}

std::string StreamPump::eventId(Offset offset) const
{
    return this->source.tokenPrefix.empty() ? std::to_string(offset.value())
                                            : ResumeTokens::eventId(this->source.tokenPrefix, offset);
}

} // namespace fescuesill
