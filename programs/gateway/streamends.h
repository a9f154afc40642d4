#pragma once

// Finds out whether a stream that ended with its connection is whole. Used only by the forwarding thread.
//
//     StreamEnds ends(io, client, fleet, permits, notices, crashes);
//     const StreamEnd end = ends.judge({engine, request, eventsRelayed, mayResume, deadline}, abort, yield);
//     if (end.evidence == EndEvidence::None) { ... broken off; end.liveness is what is known of the engine ... }
//
// Guards against a part of a stream that looks whole because its engine ended and closed its connections in order.

#include "platform/enginedialect.h"
#include "programs/gateway/crashguard.h"
#include "programs/gateway/endpointnotices.h"
#include "programs/gateway/endpointpermits.h"
#include "wire/httpclient.h"

#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace fescuesill
{

// What showed that the body of an answer was a whole stream.
enum class EndEvidence {
    None,
    Framing, // its length or its last chunk
    Report, // a report of the same start of its engine, requested after the end
    Answer, // another answer of its engine to such a request
};
const char *nameOf(EndEvidence evidence);

struct EndedStream {
    const EndpointRecord &engine;
    const RequestId &request;
    std::optional<std::int64_t> events; // relayed of a run that began at its first event
    bool mayResume = false; // at another engine
    Instant deadline;
};

struct StreamEnd {
    EndEvidence evidence = EndEvidence::None;
    Liveness liveness = Liveness::Unknown; // of the start of the engine that sent the stream
    bool isShort = false; // the engine lives, and has made more events of it than it sent
};

class StreamEnds
{
public:
    StreamEnds(asio::io_context &io, HttpClient &client, FleetView &fleet, EndpointPermits &permits,
               EndpointNotices &notices, const CrashGuard &crashes);

    // Waits for evidence, at most until shortly before the deadline. Returns early without any if the call is aborted.
    StreamEnd judge(const EndedStream &stream, const CallAbort &abort, const asio::yield_context &yield);
    // The start that the engine states now, as in EndpointRecord::incarnation; empty if it states none or doesn't
    // answer.
    std::optional<std::int64_t> startOf(const EndpointRecord &engine, Duration limit, CallAbort &abort,
                                        const asio::yield_context &yield);

private:
    // What one request for a report has shown.
    struct Reply {
        Instant begun;
        std::optional<EngineLife> life; // empty if there was no answer
        Liveness port = Liveness::Running; // after a request that had no answer
        bool isSilent = false; // there was neither an answer nor an end of the connection
    };
    // A request that is in progress, and the streams that wait for it.
    struct Query {
        std::optional<Reply> reply;
        std::vector<std::shared_ptr<asio::steady_timer>> waiting; // bounded by the number of callers' connections
    };

    // The reply to a request that began at `due` or later, which several streams may share; empty if there was none in
    // time.
    std::optional<Reply> ask(const EndpointRecord &engine, Instant due, Instant until,
                             const asio::yield_context &yield);
    std::optional<Reply> send(const EndpointRecord &engine, Instant until, const asio::yield_context &yield);
    EngineLife readLife(const EndpointRecord &engine, const CallOptions &options, const asio::yield_context &yield);
    StreamEnd conclude(const EndedStream &stream, const EngineLife &life) const;
    // Whether the engine takes requests from this host again before `latest`; waits until then.
    bool waitForRest(const EndpointId &engine, Instant latest, const asio::yield_context &yield);
    void waitUntil(Instant end, const asio::yield_context &yield);

    asio::io_context &io;
    HttpClient &client;
    FleetView &fleet;
    EndpointPermits &permits;
    EndpointNotices &notices;
    const CrashGuard &crashes;
    std::map<EndpointStart, std::shared_ptr<Query>> queries;
};

} // namespace fescuesill
