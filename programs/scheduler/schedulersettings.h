#pragma once

// The settings of fescuesill-scheduler.
//
//     const auto settings = SchedulerSettings::fromFile("scheduler.ini");
//     if (!settings) { print settings.error().faults; exit 2 }

#include "declare/keysettings.h"
#include "fescuesill/ids.h"
#include "wire/log.h"
#include "wire/processresources.h"

namespace fescuesill
{

struct SchedulerSettings {
    static tl::expected<SchedulerSettings, DeclareError> fromFile(const std::string &path);

    HostId host;
    DataCentreId dataCentre;
    std::string peers; // links and probes
    std::string admin;
    std::string platform;
    std::vector<std::string> seeds;
    LogLevel logLevel = LogLevel::Info;
    ProcessResources resources;
    Duration enginePoll{0};
    Duration streamPoll{0};
    Duration resumeGrace{0};
    Duration versionPoll{0};
    Duration hostListPoll{0};
    Duration probePeriod{0};
    Duration freshness{0};
    Duration drainLimit{0};
    Duration sweepPause{0};
    KeySettings keys;
};

} // namespace fescuesill
