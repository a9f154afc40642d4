#pragma once

// The settings of one gateway process.
//
//     const auto settings = GatewaySettings::fromFile("gateway.ini");
//     if (!settings) { ... print each settings.error().faults ..., exit code 2 ... }

#include "decide/workspacetable.h"
#include "declare/settings.h"
#include "fescuesill/ids.h"
#include "wire/log.h"
#include "wire/processresources.h"

#include <optional>

namespace fescuesill
{

struct GatewaySettings {
    static tl::expected<GatewaySettings, DeclareError> fromFile(const std::string &path);

    HostId host;
    DataCentreId dataCentre;
    // Whether all hosts of the fleet start together, for the first time. They then call the store one after the other.
    bool isFirstStart = false;
    // Of this host's network link, each way; 0 if unknown.
    double linkBytesPerSecond = 0;
    std::string callers; // IP:PORT of the port for callers
    std::string ready; // IP:PORT of the balancer's readiness check
    std::string peers; // IP:PORT for links of other gateways; if empty, this host neither leads nor follows
    std::string tunnels; // IP:PORT for tunnels of other gateways to endpoints; if empty, this host opens none
    std::string store; // IP:PORT of the users' store
    // The longest time in which a host may miss a change. A long poll of the store lasts half of it, so that a silent
    // connection is detected and replaced in time.
    Duration contactLimit{3s};
    Duration lease{3s}; // of the leader; no other host acts as leader before it has expired
    Duration grace{8s}; // from SIGTERM until the process is killed
    Duration announce{3s}; // until the balancer sees that this host stops: two checks, one per second
    Duration connectLimit{150ms}; // ten round trips between data centres; a lost SYN is sent again after 1 s
    Duration reservationLimit{300ms}; // for a reservation, which is one short call
    // Whether the leader caps the calls in flight to an overloaded plain endpoint from all hosts together.
    bool sharedSlots = false;
    std::size_t connections = 1500; // maximum, from callers, if memory and descriptors suffice
    ProcessResources resources;
    // Retries as a share of calls, and how many may accumulate. The limit applies to the whole fleet, and hosts do not
    // coordinate on it, so each host keeps to its own part.
    double retryShare = 0.16;
    double retriesSaved = 2;
    // How long keys are admitted after the configuration was known to be the newest, and whether keys are refused after
    // that.
    Duration keyLimit{4500ms};
    bool isRevocationStrict = false;
    // By how much all hosts together may exceed a workspace's quota in any window of time.
    Duration quotaWindow{8s};
    double quotaOvershoot = 0; // as a share
    QuotaUnits quotaSlack;
    // How soon an event must reach its caller. While packets are being lost, events are held for up to half of this, to
    // be written in fewer packets. If empty, they never are.
    std::optional<Duration> latestEvent;
    // Whether the leader moves engines between prefill and decode.
    bool moveEngines = true;
    LogLevel logLevel = LogLevel::Info;
};

} // namespace fescuesill
