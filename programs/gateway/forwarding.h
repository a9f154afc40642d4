#pragma once

// What the two ways of forwarding a call share: the call, its bounds, and how it is refused.
//
//     ForwardedCall call{services, head, httpCall, reply, route, service, arrival};
//     call.refuse({RefusalCode::Overloaded, RunState::NotRun, "all endpoints are full", 100ms}, yield);

#include "platform/calldialect.h"
#include "programs/gateway/gatewaymetrics.h"
#include "programs/gateway/gatewaysettings.h"
#include "programs/gateway/placementgates.h"

namespace fescuesill
{

struct GatewayServices {
    const GatewaySettings &settings;
    asio::io_context &io;
    FleetView &fleet;
    PlacementGates &gates;
    HttpClient &client;
    GatewayMetrics &metrics;
};

// Why a call that failed at one endpoint was not sent to another.
enum class NoRetry {
    None, // there was no reason to
    CallerGone,
    NoTime, // the caller's patience or the route's timeout is over
    NotRepeatable, // it may have run, and may run once only
    Attempts, // the route's bound
    Budget, // retries of the service are spent here
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
    Instant arrival;

    // The caller's patience or the route's timeout, whichever ends first.
    Instant deadline() const;
    Duration timeLeft() const;
    // Answers with an error of our own, and logs it with its reason and with why no other endpoint was asked.
    void refuse(const Refusal &refusal, NoRetry noRetry, const asio::yield_context &yield) const;
};

// How a refusal reads: its status, and when to come back.
void sendRefusal(HttpReply &reply, const RequestId &id, const Refusal &refusal, const asio::yield_context &yield);

} // namespace fescuesill
