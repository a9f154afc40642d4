#pragma once

// The settings of one entry process.
//
//     const auto settings = EntrySettings::fromFile("entry.ini");
//     if (!settings) { ... print each settings.error().faults ..., exit code 2 ... }

#include "declare/keysettings.h"
#include "fescuesill/ids.h"
#include "wire/log.h"
#include "wire/processresources.h"

namespace fescuesill
{

struct EntrySettings {
    static tl::expected<EntrySettings, DeclareError> fromFile(const std::string &path);
    // What each I/O thread has of the memory and descriptors.
    MemoryPlan planOfThread() const;

    HostId host;
    DataCentreId dataCentre;
    std::string callers; // IP:PORT of the callers' port
    std::string admin;
    std::string platform;
    std::string scheduler; // the one of this host
    std::size_t ioThreads = 2;
    std::size_t connections = 20000; // of callers, over all I/O threads
    std::size_t requests = 10000; // in progress, over all I/O threads; 32 KB each is a third of a gigabyte
    Bytes bodyLimit{4 << 20};
    ProcessResources resources;
    Duration stallLimit{20s}; // a caller that reads nothing for this long counts as gone
    Duration silence{1s}; // an engine that sends nothing for this long is asked on a new connection
    Duration freshness{10s}; // without word from any scheduler for this long nothing new is taken
    Duration resumeLimit{10min}; // how long a resume token is good for
    Duration announce{3s}; // of a planned stop: how long the balancer takes to see /readyz fail
    Duration drainLimit{60s}; // after this, streams are moved by their resume token
    LogLevel logLevel = LogLevel::Info;
    KeySettings keys;
};

} // namespace fescuesill
