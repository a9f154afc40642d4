#pragma once

// One call of a plain service: repeated within the budget where it may be, through the ledger where it may not.
//
//     PlainCall call(services, *view, *service, workspace, httpCall, reply);
//     call.run(yield);

#include "decide/plainretry.h"
#include "programs/entry/ledgerduty.h"
#include "programs/entry/shardservices.h"
#include "wire/httpserver.h"

namespace fescuesill
{

class PlainCall
{
public:
    PlainCall(ShardServices &services, const EntryView &view, const Service &service, const WorkspaceId &workspace,
              HttpCall &call, HttpReply &reply);

    void run(const asio::yield_context &yield);

private:
    void runRepeatable(const asio::yield_context &yield);
    void runOnce(const asio::yield_context &yield);
    HttpRequest forwarded() const;
    std::vector<std::string> addresses() const;
    std::vector<std::string> withoutResting(std::vector<std::string> addresses) const;
    TryOutcome tryOne(const std::string &address, HttpResponse &response, const asio::yield_context &yield);
    RequestTrait content() const;
    void answer(const EndpointAnswer &answer, const asio::yield_context &yield);
    void refuse(const Refusal &refusal, const asio::yield_context &yield);

    ShardServices &services;
    const EntryView &view;
    const Service &service;
    const PlainService &plain;
    WorkspaceId workspace;
    HttpCall &call;
    HttpReply &reply;
};

} // namespace fescuesill
