#pragma once

// Keeps requests that crash endpoints from being sent to further ones. Used only by the forwarding thread.
//
//     CrashGuard guard(io, client, paths);
//     guard.setUplink(send);                                    // to the host that decides for all, or empty
//     if (const auto left = guard.blockedFor(call); left && !guard.takeTrial(call)) { ... refuse ... }
//     guard.onBrokenOff({endpoint, call, sent, firstEvent}, limit, yield);   // whether the endpoint has ended
//     guard.onServed(call, begun);                              // a whole answer
//     guard.onTick(now);                                        // endpoints that were back before they were looked at
//
// Hosts report the requests that ran at endpoints that ended, and the leader or its deputy finds out which to block.

#include "decide/crashtracker.h"
#include "decide/endpointpaths.h"
#include "decide/requestblocks.h"
#include "promise/endpointregistry.h"
#include "wire/httpclient.h"
#include "wire/httpserver.h"
#include "wire/messages.h"

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>

namespace fescuesill
{

// An answer that ended before it was whole.
struct BrokenAnswer {
    const EndpointRecord &endpoint;
    const HttpCall &call;
    Instant sent; // to the endpoint
    std::optional<Instant> firstEvent; // of this endpoint's part of a generation
    bool isReading = false; // the endpoint was to read the prompt only
};

// Whether the endpoint of a call that failed so may have ended under it.
bool mayHaveEnded(const HttpError &error);
// Whether the endpoint of a call that failed so has sent nothing until the deadline.
bool wasSilent(const HttpError &error);

class CrashGuard
{
public:
    using Send = std::function<void(const peer::Message &)>;

    CrashGuard(asio::io_context &io, HttpClient &client, const EndpointPaths &paths);

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
    // Whether the endpoint has ended with an answer that ends with its connection, so that the answer may be
    // incomplete. Reports it if so.
    bool hasEndedWith(const BrokenAnswer &answer, Duration limit, const asio::yield_context &yield);
    // The endpoint has sent nothing until the deadline. Reports it if it then turns out to have started again.
    void onSilent(const BrokenAnswer &answer);
    // The caller has left before the answer. Finds out a moment later whether the endpoint has ended, and reports it.
    void onAbandoned(const BrokenAnswer &answer);
    // The request that was sent at `begun` has been answered in full. `wasRead`: by a prefill engine, before.
    void onServed(const HttpCall &call, Instant begun, bool wasRead = false);

    // Sets how to find the endpoints that are registered at an address.
    void setRegistry(std::function<std::vector<EndpointRecord>(const std::string &)> lookup);
    // Sets what is called after a request was blocked, so that requests that wait are examined again.
    void setBlockedHandler(std::function<void()> handler);
    // Sets how to send to the leader or its deputy; empty if this host decides alone or for all.
    void setUplink(Send send);
    // Sets how to send to all hosts that follow this one.
    void setFollowers(Send send);
    // Changes with the crashes that this host counts.
    std::uint64_t revision() const
    {
        return this->changes;
    }
    // The crashes that may still block requests, for the next host that counts.
    peer::CrashesKnown known() const;
    // Sends what is blocked and watched to a host that has begun to follow this one.
    void sendTo(const Send &reply) const;
    void onTick(Instant now);
    std::size_t blocks() const
    {
        return this->inForce.size();
    }

    // A message from a host that follows this one.
    void onReported(const Send &reply, const peer::EndpointCrashed &message);
    void onMessage(const peer::CrashCounted &message);
    // What the leader, now or before, has counted.
    void onMessage(const peer::CrashesKnown &message);
    void onMessage(const peer::TraitsServed &message);
    void onMessage(const peer::RequestsBlocked &message);
    void onMessage(const peer::TraitsWatched &message);

private:
    using Crash = SuspectedRun;

    static Crash suspectedBy(const BrokenAnswer &answer);
    struct Doubtful {
        std::string address;
        Crash crash;
    };

    // Reports the crash if there is no endpoint any more at the address.
    bool confirm(const std::string &address, const Crash &suspected, Duration limit, const asio::yield_context &yield);
    void onConfirmed(const Crash &crash);
    // The endpoint seems to run, or can't be reached. It may have started again since.
    void onDoubtful(const std::string &address, const Crash &crash);
    // Reports those of the doubtful crashes whose endpoints the registry shows to have started again.
    void checkDoubtful(Instant now);
    bool isReplaced(const Doubtful &doubtful) const;
    void checkAbandoned(const EndpointStart &endpoint, const std::string &address, const asio::yield_context &yield);
    // `number`: of the report, if a reply is wanted.
    void report(const Crash &crash, std::uint64_t number = 0);
    // Reports the crash and waits for the reply.
    void reportAndWait(const Crash &crash, Duration limit, const asio::yield_context &yield);
    // Counts a crash, and notifies all hosts of what it has shown.
    void count(const Crash &crash);
    void watch(const RequestTraits &traits);
    // Notifies all hosts of what the tracker blocks from now on, and of what no longer.
    void applyTracker();
    // Blocks them at this host and at all that follow it.
    void block(const RequestTraits &traits, Trials trials);
    void unblock(const RequestTraits &traits);
    void notifyFollowers(const peer::Message &message) const;

    asio::io_context &io;
    HttpClient &client;
    const EndpointPaths &paths;
    CrashTracker tracker;
    RequestBlocks inForce;
    std::map<RequestTraits, Trials> ownBlocks; // of the tracker, as last notified
    std::map<RequestTrait, Instant> watchesSent; // to the followers, and when; bounded like the watched traits
    std::deque<Crash> ownCrashes; // the last ones that this host has reported, for the next leader
    std::map<EndpointStart, std::vector<Crash>> abandoned; // suspects of endpoints that are yet to be checked
    std::deque<Doubtful> doubtful;
    std::uint64_t changes = 0;
    std::uint64_t lastNumber = 0;
    std::map<std::uint64_t, std::shared_ptr<asio::steady_timer>> unanswered; // reports; one for each waiting call
    Send uplink;
    Send followers;
    std::function<void()> onBlocked;
    std::function<std::vector<EndpointRecord>(const std::string &)> registered;
};

} // namespace fescuesill
