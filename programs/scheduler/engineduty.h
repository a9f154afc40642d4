#pragma once

// The duty that speaks with the engines of the cells owned here: load, cache events, streams, cancellations, orders.
// One thread.
//
//     EngineDuty engines(options, [&](DirectorEvent &&event) { return decisions.push(std::move(event)); });
//     engines.start();
//     engines.push(WatchEngines{...});        // false: ring full

#include "programs/scheduler/directormessages.h"

#include <functional>
#include <memory>
#include <variant>

namespace fescuesill
{

using EngineTask = std::variant<WatchEngines, CancelStream, OrderRole>;

class EngineDuty
{
public:
    struct Options {
        HostId host;
        std::string platform; // for the fencing numbers of orders
        // Reports lag anyway; four a second from 13 engines are 52 small calls a second for a cell.
        Duration loadEvery{250ms};
        // The slower cousin: only orphans and lost engines wait for it.
        Duration streamsEvery{2s};
        // An engine that has not answered for this many polls is lost, and its work goes elsewhere. Fewer would take a
        // pause of an engine for its death.
        int silentPolls = 4;
        // One list of orphans of a whole cell at once.
        std::size_t ring = 4096;
    };

    using Output = std::function<bool(DirectorEvent &&)>;

    EngineDuty(Options options, Output output);
    ~EngineDuty();
    EngineDuty(const EngineDuty &) = delete;
    EngineDuty &operator=(const EngineDuty &) = delete;

    void start();
    void stop();
    bool push(EngineTask &&task);

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace fescuesill
