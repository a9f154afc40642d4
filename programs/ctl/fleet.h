#pragma once

// Every process of the fleet and what it says of itself.
//
//     for (const ProcessView &process : askFleet(session, "/status")) { ... process.answer.status == 200 ... }

#include "session.h"

#include "fescuesill/ids.h"

namespace fescuesill::ctl
{

struct ProcessView {
    HostId host;
    DataCentreId dataCentre;
    std::string kind; // entry or scheduler
    std::string address;
    bool leaving = false;
    Answer answer;

    bool answered() const
    {
        return this->answer.status == 200;
    }
    // "athens-a entry (10.30.1.2:8102)"
    std::string name() const;
};

// Both processes of each host of the platform's list; throws PlatformError without the list.
std::vector<ProcessView> askFleet(Session &session, const std::string &target);

struct CellOwner {
    std::string model;
    std::string dataCentre;
    std::string owner;
};

struct DegradedMode {
    std::string mode;
    std::string since;
};

// A /status answer, read leniently: a member that is missing or of another type is left at its default.
struct ProcessStatus {
    std::int64_t version = 0;
    std::string state;
    std::vector<CellOwner> cells;
    std::vector<DegradedMode> degraded;
};

std::optional<ProcessStatus> readStatus(const ProcessView &process);

} // namespace fescuesill::ctl
