#pragma once

// One I/O thread: the callers' port (shared with the other threads), the calls in progress on it and their clients.
//
//     Shard shard(common, index, boot);
//     if (const auto failed = shard.listen()) { ... }
//     shard.start();
//     shard.post(LinkEvent(OwnerNews{request, message}));     // any thread

#include "programs/entry/canceller.h"
#include "programs/entry/degradedloads.h"
#include "programs/entry/ledgerduty.h"
#include "programs/entry/modelrequest.h"
#include "programs/entry/shardservices.h"
#include "wire/httpserver.h"
#include "wire/ring.h"

#include <thread>

namespace fescuesill
{

// What all I/O threads share.
struct EntryCommon {
    const EntrySettings &settings;
    EntryState &state;
    LinkDuty &links;
    HeldRequests &held;
    EntryMetrics &metrics;
    LedgerDuty &ledger;
};

class Shard
{
public:
    Shard(const EntryCommon &common, std::size_t index, std::uint64_t boot);
    ~Shard();
    Shard(const Shard &) = delete;
    Shard &operator=(const Shard &) = delete;

    std::optional<WireError> listen();
    void start();
    void stop();
    // False when the ring is full: the event is lost and its request ends by its own limit.
    bool post(LinkEvent event);

private:
    void drainRing();
    void handle(HttpCall &call, HttpReply &reply, const asio::yield_context &yield);
    void route(HttpCall &call, HttpReply &reply, const asio::yield_context &yield);
    void serveModel(ModelRequest::Kind kind, HttpCall &call, HttpReply &reply, const asio::yield_context &yield);
    std::optional<Refusal> refusalForNew(const EntryView &view) const;

    asio::io_context io;
    asio::executor_work_guard<asio::io_context::executor_type> work;
    ShardServices services;
    Canceller canceller;
    DegradedLoads degradedLoads;
    std::unique_ptr<HttpServer> server;
    Ring<LinkEvent> events;
    std::thread thread;
};

} // namespace fescuesill
