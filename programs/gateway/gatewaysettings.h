#pragma once

// The settings of one gateway process.
//
//     const auto settings = GatewaySettings::fromFile("gateway.ini");
//     if (!settings) { ... print each settings.error().faults ..., exit code 2 ... }

#include "declare/settings.h"
#include "fescuesill/ids.h"
#include "wire/log.h"

namespace fescuesill
{

struct GatewaySettings {
    static tl::expected<GatewaySettings, DeclareError> fromFile(const std::string &path);

    HostId host;
    DataCentreId dataCentre;
    std::string callers; // IP:PORT of the callers' port
    std::string ready; // IP:PORT where the balancer asks
    std::string peers; // IP:PORT for the links of other gateways; empty: this host neither leads nor follows
    std::string store; // IP:PORT of the users' store
    // How long a host may go without hearing of a change. A wait at the store is half of it, so that a connection that
    // went silent is found and replaced in time.
    Duration contactLimit{3s};
    Duration lease{3s}; // of the leader: no other host acts as one sooner after it
    Duration grace{8s}; // from the signal to stop until the process is killed
    Duration announce{3s}; // how long the balancer takes to see that this host stops: two questions, one a second
    Duration connectLimit{150ms}; // ten round trips between data centres; a lost first packet is sent again after 1 s
    Duration reservationLimit{300ms}; // a reservation is one short call
    std::size_t connections = 1500; // of callers
    // Retries as a share of the calls, and how many may be saved up: the hosts of a fleet share one budget and do not
    // speak to each other about it, so each keeps to its own part.
    double retryShare = 0.16;
    double retriesSaved = 2;
    // Whether the leader moves engines between prefill and decode.
    bool moveEngines = true;
    LogLevel logLevel = LogLevel::Info;
};

} // namespace fescuesill
