// The kernel closes the connections of a process that ends in order, and nothing in the body tells such an end from the
// end of a stream. A port that accepts connections shows no process either: a process that exits may close its port
// last, and a proxy or another process may be there. So the only evidence is an answer of the same start of the engine
// to a request that was sent after the end. No answer is no evidence, whatever its reason.
//
// A process that exits may still answer for a moment after it has closed its connections, so the request waits for that
// long. All events have been written to the caller by then; only the end of the stream is held back. A port that
// refuses connections shows at once that the engine has ended. Where another engine can go on, an engine that closes or
// resets connections is asked for a shorter time than one that is silent, which a sound one may be for a second.
//
// At most one request to an engine is in flight. Streams that end meanwhile share the next one.

#include "programs/gateway/streamends.h"

#include "wire/clock.h"
#include "wire/log.h"

#include <algorithm>

namespace fescuesill
{
namespace
{

// How long a process that exits may still answer after it has closed its first connection.
constexpr Duration exitTime{500ms};
constexpr Duration retryInterval{100ms};
// How long evidence is sought. A sound engine may be silent for a second.
constexpr Duration searchLimit{2s};
constexpr Duration searchLimitIfResumable{300ms}; // of an engine that is not silent
constexpr Duration requestLimit{1s};
constexpr Duration requestTime{200ms}; // of an ordinary request
constexpr Duration endTime{50ms}; // to write the end of the stream before the deadline

} // namespace

const char *nameOf(EndEvidence evidence)
{
    switch (evidence) {
    case EndEvidence::None:
        return "none";
    case EndEvidence::Framing:
        return "framing";
    case EndEvidence::Report:
        return "report";
    case EndEvidence::Answer:
        return "answer";
    }
    return "none";
}

StreamEnds::StreamEnds(asio::io_context &context, HttpClient &httpClient, FleetView &view,
                       EndpointPermits &endpointPermits, EndpointNotices &endpointNotices, const CrashGuard &crashGuard)
    : io(context)
    , client(httpClient)
    , fleet(view)
    , permits(endpointPermits)
    , notices(endpointNotices)
    , crashes(crashGuard)
{
}

void StreamEnds::waitUntil(Instant end, const asio::yield_context &yield)
{
    const Duration left = end - steadyNow();
    if (left > 0ms) {
        asio::steady_timer timer(this->io, left);
        boost::system::error_code ignored;
        timer.async_wait(yield[ignored]);
    }
}

bool StreamEnds::waitForRest(const EndpointId &engine, Instant latest, const asio::yield_context &yield)
{
    while (const auto rest = this->fleet.rests().until(engine)) {
        const Instant now = steadyNow();
        if (*rest <= now) {
            return true; // it has ended, and has not expired yet
        }
        if (*rest > latest) {
            Log::info("engine_not_asked", {{"endpoint", engine.value()}, {"reason", "it rests"}});
            return false;
        }
        this->waitUntil(*rest, yield);
    }
    return true;
}

StreamEnd StreamEnds::judge(const EndedStream &stream, const CallAbort &abort, const asio::yield_context &yield)
{
    const EndpointRecord &engine = stream.engine;
    const Instant latest = stream.deadline - endTime;
    const Instant ended = steadyNow();
    const Liveness port = this->client.probe(engine.address, std::max<Duration>(latest - ended, 0ms), yield);
    if (port == Liveness::Ended) { // a lost packet delays a connection as well, so anything else decides nothing
        return {EndEvidence::None, port};
    }
    const Instant due = ended + exitTime;
    if (due >= latest) {
        return {};
    }
    this->waitUntil(due, yield);
    if (!this->waitForRest(engine.id, stream.mayResume ? due + searchLimitIfResumable : latest - requestTime, yield)) {
        return {};
    }
    const Instant begun = steadyNow();
    const Instant until = std::min(latest, begun + searchLimit);
    while (!abort.isAborted()) {
        const auto reply = this->ask(engine, due, until, yield);
        if (reply && reply->life) {
            return this->conclude(stream, *reply->life);
        }
        if (reply && reply->port == Liveness::Ended) {
            return {EndEvidence::None, Liveness::Ended};
        }
        const bool isLimited = stream.mayResume && !(reply && reply->isSilent);
        if (steadyNow() + retryInterval >= (isLimited ? std::min(until, begun + searchLimitIfResumable) : until)) {
            break;
        }
        this->waitUntil(steadyNow() + retryInterval, yield);
    }
    return {};
}

StreamEnd StreamEnds::conclude(const EndedStream &stream, const EngineLife &life) const
{
    const std::int64_t start = stream.engine.incarnation;
    const bool isCompared = life.start && start != 0;
    const bool isSame = isCompared ? *life.start == start : this->crashes.isSameStart(stream.engine);
    if (!life.isOfExpected || !isSame) {
        return {EndEvidence::None, Liveness::Ended};
    }
    const auto run = std::find_if(life.runs.begin(), life.runs.end(),
                                  [&stream](const EngineRun &listed) { return listed.request == stream.request; });
    // The report may be older than the end, so a lower number shows nothing.
    const bool isShort = stream.events && run != life.runs.end() && run->events > *stream.events;
    if (isShort) {
        return {EndEvidence::None, Liveness::Running, true};
    }
    return {isCompared ? EndEvidence::Report : EndEvidence::Answer, Liveness::Running};
}

std::optional<StreamEnds::Reply> StreamEnds::ask(const EndpointRecord &engine, Instant due, Instant until,
                                                 const asio::yield_context &yield)
{
    const EndpointStart key{engine.id, engine.incarnation};
    boost::system::error_code ignored;
    for (auto found = this->queries.find(key); found != this->queries.end(); found = this->queries.find(key)) {
        const std::shared_ptr<Query> query = found->second;
        const Duration left = until - steadyNow();
        if (left <= 0ms) {
            return std::nullopt;
        }
        const auto timer = std::make_shared<asio::steady_timer>(this->io, left);
        query->waiting.push_back(timer);
        timer->async_wait(yield[ignored]);
        if (query->reply && query->reply->begun >= due) {
            return query->reply;
        }
    }
    const auto query = std::make_shared<Query>();
    this->queries[key] = query;
    const auto end = [this, &key, &query] {
        this->queries.erase(key);
        for (const auto &timer : query->waiting) {
            timer->cancel();
        }
    };
    try {
        query->reply = this->send(engine, until, yield);
    } catch (const std::exception &) {
        end();
        throw;
    }
    end();
    return query->reply;
}

std::optional<StreamEnds::Reply> StreamEnds::send(const EndpointRecord &engine, Instant until,
                                                  const asio::yield_context &yield)
{
    for (Duration wait = this->permits.take(engine.id, yield); wait > 0ms;
         wait = this->permits.take(engine.id, yield)) {
        if (steadyNow() + wait >= until) {
            Log::info("engine_not_asked", {{"endpoint", engine.id.value()}, {"reason", "it is at its limit"}});
            return std::nullopt;
        }
        this->waitUntil(steadyNow() + wait, yield);
    }
    if (!this->waitForRest(engine.id, until, yield)) { // another call may have been told meanwhile
        return std::nullopt;
    }
    Reply reply;
    reply.begun = steadyNow();
    const Duration limit = std::min(until - reply.begun, requestLimit);
    if (limit <= 0ms) {
        return std::nullopt;
    }
    try {
        const EngineLife life = this->readLife(engine, {limit, Reuse::Never}, yield);
        if (life.isAnswered || !life.isOfExpected) {
            reply.life = life;
            return reply;
        }
        Log::info("engine_report_failed", {{"endpoint", engine.id.value()}, {"reason", "refused"}});
    } catch (const HttpError &error) {
        reply.isSilent = error.fault() == HttpFault::Timeout;
        reply.port = this->client.probe(engine.address, std::max<Duration>(until - steadyNow(), 0ms), yield);
        Log::info("engine_report_failed",
                  {{"endpoint", engine.id.value()}, {"reason", error.what()}, {"liveness", nameOf(reply.port)}});
    }
    return reply;
}

// The body is read only if it is a report: anything else may have no end.
EngineLife StreamEnds::readLife(const EndpointRecord &engine, const CallOptions &options,
                                const asio::yield_context &yield)
{
    const Instant until = steadyNow() + options.deadline;
    LineStream answer = this->client.open(engine.address, reportRequest(engine.id), options, yield);
    HttpResponse response = answer.head();
    this->notices.onAnswer(engine, response);
    if (mayBeReport(response)) {
        response.body = answer.readAll(until - steadyNow(), yield);
    }
    answer.close();
    return readEngineLife(response);
}

std::optional<std::int64_t> StreamEnds::startOf(const EndpointRecord &engine, Duration limit, CallAbort &abort,
                                                const asio::yield_context &yield)
{
    try {
        return this->readLife(engine, {limit, Reuse::Never, &abort}, yield).start;
    } catch (const HttpError &error) {
        Log::info("engine_report_failed", {{"endpoint", engine.id.value()}, {"reason", error.what()}});
        return std::nullopt;
    }
}

} // namespace fescuesill
