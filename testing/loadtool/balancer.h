#pragma once

// What the platform's balancer does for callers: spreads calls over the entries that say they are ready.
//
//     Balancer balancer(io, options.entries);
//     balancer.start();
//     const std::string entry = balancer.pick(failedBefore);
//     balancer.connectFailed(entry);          // not picked until its next good check

#include "testing/standin/httpserver.h"

#include <vector>

namespace fescuesill::standin
{

class Balancer
{
public:
    // Each entry is CALLERS or CALLERS/ADMIN. Without an admin address only failed connects count.
    Balancer(asio::io_context &io, const std::vector<std::string> &entries);

    void start();
    void stop();
    // Any that is ready and another than `notThis` where there is one; one of all when none is ready.
    std::string pick(const std::string &notThis = {});
    void connectFailed(const std::string &entry);

private:
    struct Entry {
        std::string callers;
        std::string admin;
        bool isReady = true;
    };

    void check(Entry &entry, const asio::yield_context &yield);

    asio::io_context &io;
    std::vector<Entry> entries;
    std::size_t turn = 0;
    bool isStopped = false;
};

} // namespace fescuesill::standin
