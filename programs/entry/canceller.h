#pragma once

// Cancels streams at their engines until each engine has confirmed; outlives the request that the stream was for.
//
//     canceller.cancel({address, stream, [&] { ... confirmed ... }});

#include "programs/entry/shardservices.h"

namespace fescuesill
{

struct CancelTask {
    std::string address;
    StreamId stream;
    std::function<void()> confirmed;
};

class Canceller
{
public:
    explicit Canceller(ShardServices &services);

    void cancel(CancelTask task);

private:
    void run(const CancelTask &task, const asio::yield_context &yield);

    ShardServices &services;
};

} // namespace fescuesill
