#pragma once

// The thread that decides: takes events from the ring, passes them to CellDirector, hands its outputs on.
//
//     DecisionDuty decisions(options, host, [&](DirectorOutput &&output) { std::visit(router, std::move(output)); });
//     decisions.start();
//     if (!decisions.push(FromEntry{link, message})) { ... ring full ... }

#include "programs/scheduler/celldirector.h"
#include "wire/ring.h"

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>

namespace fescuesill
{

class DecisionDuty
{
public:
    struct Options {
        CellDirector::Options director;
        // Two seconds of events of a cell at 50 requests a second with 30 events each, and as much again for the burst
        // after a reconnect. A longer ring would only hold decisions that come too late.
        std::size_t ring = 8192;
        // Events taken before the actions are polled: enough to share the cost of a poll, few enough to stay under a
        // millisecond.
        int batch = 64;
    };

    using Output = std::function<void(DirectorOutput &&)>;

    DecisionDuty(Options options, HostId host, Output output);
    ~DecisionDuty();
    DecisionDuty(const DecisionDuty &) = delete;
    DecisionDuty &operator=(const DecisionDuty &) = delete;

    void start();
    void stop();
    bool push(DirectorEvent &&event);
    DirectorStatus status() const;

private:
    void run();
    void takeBatch();
    void waitUntil(Instant wake);
    void publishStatus(Instant now);

    Options options;
    Output output;
    CellDirector director;
    Ring<DirectorEvent> ring;
    std::mutex wakeMutex;
    std::condition_variable wakeCondition;
    bool isWoken = false;
    bool isStopped = false;
    mutable std::mutex statusMutex;
    DirectorStatus current;
    Instant nextStatus;
    std::thread thread;
};

} // namespace fescuesill
