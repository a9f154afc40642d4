#pragma once

// The duty that reads the platform: the declaration's version and text, and the list of hosts. It also sweeps the
// ledger. One thread.
//
//     PlatformDuty platform(options, [&](PeerEvent &&event) { return peers->push(std::move(event)); });
//     platform.start();

#include "programs/scheduler/ledgersweeper.h"
#include "programs/scheduler/peerduty.h"

#include <functional>
#include <memory>

namespace fescuesill
{

class PlatformDuty
{
public:
    struct Options {
        std::string address;
        // A read of a few bytes, by those hosts that are to read now (promise/tablereading.h). It bounds how late a
        // change is noticed.
        Duration versionEvery{1s};
        std::function<bool()> isReadDue = [] {
            return true;
        };
        // The list lags anyway; 340 hosts make 68 reads a second.
        Duration hostsEvery{5s};
        LedgerSweeper::Options sweeper;
    };

    using Output = std::function<bool(PeerEvent &&)>;

    PlatformDuty(Options options, Output output);
    ~PlatformDuty();
    PlatformDuty(const PlatformDuty &) = delete;
    PlatformDuty &operator=(const PlatformDuty &) = delete;

    void start();
    void stop();
    LedgerSweep::Counts sweepCounts() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace fescuesill
