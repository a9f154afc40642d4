#pragma once

// A mixed load for some time, and its verdict.
//
//     LoadRun run(io, options);
//     run.start();
//     io.run();
//     return run.exitCode();      // 1: something was lost, doubled, not whole, or held

#include "testing/loadtool/caller.h"

#include <random>

namespace fescuesill::standin
{

class LoadRun
{
public:
    LoadRun(asio::io_context &io, const LoadOptions &options);

    void start();
    int exitCode() const;

private:
    void generate(const asio::yield_context &yield);
    CallRecord nextCall();
    CallKind nextKind();
    void launch();
    void conclude(const asio::yield_context &yield);

    asio::io_context &io;
    LoadOptions options;
    Balancer balancer;
    History history;
    Caller::Surroundings around;
    std::mt19937 random;
    Waker callEnded;
    std::size_t active = 0;
    std::int64_t calls = 0;
    int code = 1;
};

} // namespace fescuesill::standin
