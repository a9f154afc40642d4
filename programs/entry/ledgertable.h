#pragma once

// The platform's table as the ledger uses it: single writes, put together into commits.
//
//     LedgerTable table(io, platform);
//     const LedgerTable::Result result = table.write(write, yield);     // Written, Conflict, Refused or NoReply

#include "promise/tablerow.h"
#include "promise/writebatch.h"
#include "wire/coroutine.h"
#include "wire/platformclient.h"

#include <boost/asio/steady_timer.hpp>
#include <unordered_map>

namespace fescuesill
{

class LedgerTable
{
public:
    using Result = std::variant<table::Written, table::Conflict, table::Refused, table::NoReply>;

    LedgerTable(asio::io_context &io, PlatformClient &platform);

    Result write(const TableWrite &write, const asio::yield_context &yield);

private:
    struct Waiter {
        explicit Waiter(asio::io_context &io)
            : timer(io)
        {
        }
        asio::steady_timer timer;
        std::optional<Result> result;
    };

    void schedule();
    void commitDue();
    void commit(const BatchCommit &commit, const asio::yield_context &yield);
    void finish(const std::vector<BatchResult> &results);

    asio::io_context &io;
    PlatformClient &platform;
    WriteBatch batch;
    asio::steady_timer timer;
    std::unordered_map<WriteTicket, Waiter *> waiters; // bounded by the batch
    WriteTicket lastTicket = 0;
};

} // namespace fescuesill
