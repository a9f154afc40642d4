#pragma once

// Reads one prompt at one engine, and gives it up at once when its result is wanted no more.
//
//     PromptRead read(services, id, request, rank);
//     placing.onSuperseded([&read] { read.giveUp(); });
//     const PromptRead::End end = read.run(placed.prefillAddress, yield); // PrefillAnswer, PrefillFault or GivenUp

#include "programs/entry/modelrequest.h"
#include "programs/entry/shardservices.h"

#include <variant>

namespace fescuesill
{

class PromptRead
{
public:
    struct GivenUp {
    };
    struct Failed {
        PrefillFault fault = PrefillFault::Unreachable;
        bool mayHaveRun = false;
    };
    using End = std::variant<PrefillAnswer, Failed, GivenUp>;

    PromptRead(ShardServices &services, const RequestId &id, const ModelRequest &request, int rank);

    End run(const std::string &address, const asio::yield_context &yield);
    void giveUp();

private:
    ShardServices &services;
    const RequestId &id;
    const ModelRequest &request;
    int rank;
    CallAbort abort;
};

} // namespace fescuesill
