#pragma once

// The reading side of a stand-in engine: one prompt at a time in priority order, results kept for a moment, and their
// export over one link.
//
//     Prefiller prefiller(io, options, faults);
//     prefiller.prefill(exchange);          // POST /v1/prefill
//     prefiller.exportKv(exchange, "kv-7");  // GET /v1/kv/kv-7

#include "testing/fakeengine/faultscript.h"
#include "testing/fakeengine/prefixcache.h"
#include "testing/standin/httpserver.h"

#include <memory>
#include <set>

namespace fescuesill::standin
{

class Prefiller
{
public:
    Prefiller(asio::io_context &io, const EngineOptions &options, FaultScript &faults);

    void prefill(Exchange &exchange);
    void exportKv(Exchange &exchange, const std::string &id);

    nlohmann::json cacheEvents(std::int64_t after) const;
    std::int64_t piecesHeld();
    std::int64_t queuedTokens() const;
    std::size_t promptsInWork() const;

private:
    struct Prompt;
    struct KvResult {
        std::uint64_t seed = 0;
        std::int64_t tokens = 0;
        SteadyTime expires;
    };
    struct Sooner {
        bool operator()(const std::shared_ptr<Prompt> &a, const std::shared_ptr<Prompt> &b) const;
    };

    // False where the other end went before it was read.
    bool read(std::int64_t tokens, Exchange &exchange);
    void awaitTurn(const std::shared_ptr<Prompt> &prompt, Exchange &exchange);
    void finish(const std::shared_ptr<Prompt> &prompt);
    void dropExpired(SteadyTime now);

    asio::io_context &io;
    const EngineOptions &options;
    FaultScript &faults;
    PrefixCache cache;
    std::set<std::shared_ptr<Prompt>, Sooner> waiting;
    std::shared_ptr<Prompt> inWork;
    std::map<std::string, KvResult> results;
    SteadyTime linkFree;
    std::int64_t prompts = 0;
    std::uint32_t instance;
};

} // namespace fescuesill::standin
