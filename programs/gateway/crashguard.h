#pragma once

// Keeps requests that crash endpoints from being sent to further ones. Used only by the forwarding thread.
//
//     CrashGuard guard(io, client, paths, exchange, lookup);    // how to find the endpoints at an address
//     if (const auto left = guard.blockedFor(call); left && !guard.takeTrial(call)) { ... refuse ... }
//     guard.onBrokenOff({endpoint, call, sent, firstEvent}, limit, yield);   // whether the endpoint has ended
//     guard.onServed(call, begun);                              // a whole answer
//     guard.onTick(now);                                        // endpoints that were back before they were looked at
//
// It finds out which endpoints have ended, and CrashExchange what that shows.

#include "decide/endpointpaths.h"
#include "programs/gateway/crashexchange.h"
#include "programs/gateway/doubtfulcrashes.h"
#include "wire/clock.h"
#include "wire/httpclient.h"
#include "wire/httpserver.h"

#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <set>

namespace fescuesill
{

// An answer that ended before it was whole.
struct BrokenAnswer {
    const EndpointRecord &endpoint;
    const HttpCall &call;
    Instant sent; // to the endpoint
    std::optional<Instant> firstEvent; // of this endpoint's part of a generation
    bool isReading = false; // the endpoint was to read the prompt only
    Instant ended = steadyNow(); // the answer
};

// Whether the endpoint of a call that failed so may have ended under it.
bool mayHaveEnded(const HttpError &error);
// Whether the endpoint of a call that failed so has sent nothing until the deadline.
bool wasSilent(const HttpError &error);

class CrashGuard
{
public:
    CrashGuard(asio::io_context &io, HttpClient &client, const EndpointPaths &paths, CrashExchange &exchange,
               DoubtfulCrashes::Lookup lookup);

    // How long requests like this one are refused; empty if it may be sent.
    std::optional<Duration> blockedFor(const HttpCall &call) const;
    // Whether this one may be sent although it is blocked, as a trial. Only the host that counts the crashes makes any.
    bool takeTrial(const HttpCall &call);
    // The trial was not sent.
    void returnTrial(const HttpCall &call);
    // Finds out in the background whether the endpoint of the answer has ended, and reports it.
    void onBrokenOff(const BrokenAnswer &answer);
    // The same, and waits for the result and until it has been counted, but not longer than the limit.
    bool onBrokenOff(const BrokenAnswer &answer, Duration limit, const asio::yield_context &yield);
    // Whether the port of the endpoint accepts connections after an answer that has ended with its connection;
    // otherwise the answer may be incomplete. Unless the endpoint was expected to leave, reports it if it has ended.
    bool hasOutlived(const BrokenAnswer &answer, bool isStaying, Duration limit, const asio::yield_context &yield);
    // The same, where it is known what is left of this start of the endpoint, and that the answer may be incomplete.
    void onEndedWithAnswer(const BrokenAnswer &answer, Liveness found, bool isStaying, Duration limit,
                           const asio::yield_context &yield);
    // Whether the registry names no other start of the endpoint than the one that answered.
    bool isSameStart(const EndpointRecord &endpoint) const;
    // The endpoint has sent nothing until the deadline. Reports it if it then turns out to have started again.
    void onSilent(const BrokenAnswer &answer);
    // The caller has left before the answer. Finds out a moment later whether the endpoint has ended, and reports it.
    void onAbandoned(const BrokenAnswer &answer);
    // The request that was sent at `begun` has been answered in full. `wasRead`: by a prefill engine, before.
    void onServed(const HttpCall &call, Instant begun, bool wasRead = false);

    void onTick(Instant now);

private:
    using Crash = SuspectedRun;

    static Crash suspectedBy(const BrokenAnswer &answer);

    // Reports the crash if there is no endpoint any more at the address.
    bool confirm(const std::string &address, const Crash &suspected, Duration limit, const asio::yield_context &yield);
    // Looks at the port of an endpoint again for a while, and reports the doubtful crashes there once it is closed.
    void watchPort(const EndpointStart &endpoint, const std::string &address);
    bool closesPort(const std::string &address, const asio::yield_context &yield);
    void checkAbandoned(const EndpointStart &endpoint, const std::string &address, const asio::yield_context &yield);
    // Reports the crash and waits for the reply.
    void reportAndWait(const Crash &crash, Duration limit, const asio::yield_context &yield);
    void onCounted(std::uint64_t number);

    asio::io_context &io;
    HttpClient &client;
    const EndpointPaths &paths;
    CrashExchange &exchange;
    DoubtfulCrashes::Lookup lookup;
    std::map<EndpointStart, std::vector<Crash>> abandoned; // suspects of endpoints that are yet to be checked
    DoubtfulCrashes doubtful;
    std::set<EndpointStart> watched; // endpoints whose ports are looked at again
    std::uint64_t lastNumber = 0;
    std::map<std::uint64_t, std::shared_ptr<asio::steady_timer>> unanswered; // reports; one for each waiting call
};

} // namespace fescuesill
