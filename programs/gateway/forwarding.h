#pragma once

// Shared by the forwarding of plain calls and of generations: the call, its deadline and its refusal.
//
//     ForwardedCall call{services, head, httpCall, reply, route, service, arrival};
//     call.refuse({RefusalCode::Overloaded, RunState::NotRun, "all endpoints are full", 100ms}, yield);

#include "platform/calldialect.h"
#include "programs/gateway/crashguard.h"
#include "programs/gateway/endpointnotices.h"
#include "programs/gateway/endpointpermits.h"
#include "programs/gateway/endpointslots.h"
#include "programs/gateway/eventlosses.h"
#include "programs/gateway/gatewaymetrics.h"
#include "programs/gateway/gatewaysettings.h"
#include "programs/gateway/placementgates.h"
#include "programs/gateway/streamends.h"
#include "programs/gateway/workspacecredits.h"
#include "promise/draining.h"

namespace fescuesill
{

// For a call that this host can't send to any endpoint; the caller's next connection goes to another host.
constexpr Duration retryAfterWithoutPath{100ms};
// For a call that waits for endpoints that have turned this host away; they may serve other hosts.
constexpr Duration retryAfterInRest{100ms};
constexpr Duration retryAfterWhenStopping{100ms}; // the next connection goes to another host

struct GatewayServices {
    const GatewaySettings &settings;
    asio::io_context &io;
    FleetView &fleet;
    PlacementGates &gates;
    EndpointPermits &permits;
    EndpointSlots &slots;
    EndpointNotices &notices;
    WorkspaceCredits &credits;
    HttpClient &client;
    CrashGuard &crashes;
    StreamEnds &ends;
    GatewayMetrics &metrics;
    EventLosses &losses;
    const Draining &draining;
};

// Why a call that failed at one endpoint was not retried at another.
enum class NoRetry {
    None, // no retry was needed
    CallerGone,
    NoTime, // the caller's deadline or the route's timeout has passed
    NotRepeatable, // the call may have run, and must not run twice
    Attempts, // the route's limit on attempts is reached
    Budget, // this host's retry budget for the service is exhausted
    NoPath, // no endpoint can be reached from this host
    Blocked, // requests like this one crash endpoints
    Stopping, // this host stops, and would cut the call off
};
const char *nameOf(NoRetry reason);

struct ForwardedCall {
    GatewayServices &services;
    const CallHead &head;
    const HttpCall &http;
    HttpReply &reply;
    const Route &route;
    ServiceId service;
    ConfigVersion version; // of the configuration that chose the route
    const Workspace *workspace; // of that configuration; null for a call without one
    bool isKeyOurs; // the configuration has workspaces
    Instant arrival;
    bool isTrial = false; // sent although requests like it are blocked

    // The caller's deadline or the route's timeout, whichever is earlier.
    Instant deadline() const;
    Duration timeLeft() const;
    ForwardedCaller caller() const;
    int rank() const;
    // What the call takes of its workspace's quota.
    QuotaUnits cost() const;
    // Replies that the quota allows no call now.
    void refuseCredit(const CreditDecision &decision, const asio::yield_context &yield) const;
    // How long requests like this one are blocked; empty if it may be sent. A trial is sent once.
    std::optional<Duration> blockedFor(bool wasTried = false) const
    {
        return this->isTrial && !wasTried ? std::nullopt : this->services.crashes.blockedFor(this->http);
    }
    // Whether it may still be sent to an endpoint while this host stops.
    bool maySend() const;
    void refuseStopping(const asio::yield_context &yield) const;
    void refuseBlocked(Duration blockedFor, const asio::yield_context &yield) const;
    // Replies with an error of the gateway, and logs its reason and why no other endpoint was tried.
    void refuse(const Refusal &refusal, NoRetry noRetry, const asio::yield_context &yield) const;
};

// For a call that this host doesn't run since it stops.
Refusal stoppingRefusal();
// Writes a refusal to the caller: its status, its body and the time to retry after.
void sendRefusal(HttpReply &reply, const RequestId &id, const Refusal &refusal, const asio::yield_context &yield);

} // namespace fescuesill
