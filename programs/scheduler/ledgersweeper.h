#pragma once

// The loop that runs LedgerSweep against the platform, on the platform duty's thread.
//
//     LedgerSweeper sweeper(context, client, options);
//     startCoroutine(context, [&](const asio::yield_context &yield) { sweeper.run(yield); });

#include "promise/ledgersweep.h"
#include "wire/coroutine.h"
#include "wire/platformclient.h"

#include <functional>
#include <mutex>
#include <random>

namespace fescuesill
{

class LedgerSweeper
{
public:
    struct Options {
        HostId self;
        // Hosts that take part now; empty: this host sweeps nothing. Asked before each step.
        std::function<std::vector<HostId>()> hosts;
        LedgerSweep::Options sweep;
    };

    LedgerSweeper(asio::io_context &io, PlatformClient &platform, Options options);

    // Does not return.
    void run(const asio::yield_context &yield);
    // From any thread.
    LedgerSweep::Counts counts() const;

private:
    SweepEvent perform(const SweepAction &action, const asio::yield_context &yield);
    SweepEvent read(const sweep_action::Read &read, const asio::yield_context &yield);
    SweepEvent remove(const sweep_action::Delete &rows, const asio::yield_context &yield);
    SweepEvent wait(Duration duration, const asio::yield_context &yield);
    void publish();
    void report(const LedgerSweep::Counts &now);

    asio::io_context &io;
    PlatformClient &platform;
    Options options;
    LedgerSweep sweep;
    LedgerSweep::Counts reported;
    mutable std::mutex countsMutex;
    LedgerSweep::Counts published;
    std::mt19937_64 random;
};

} // namespace fescuesill
