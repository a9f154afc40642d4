#pragma once

// The calls that the owner of a cell makes to its engines: load, cache events, streams, cancellation, orders.
//
//     EngineControl control(httpClient, 1s);
//     const LoadReport report = control.load(engine.address, yield).report;
//     control.cancel(engine.address, stream, yield);        // returns when the engine has confirmed
//
// All throw EngineError where the engine gives no answer or none that can be read.

#include "decide/cellmessages.h"
#include "promise/orphanfinder.h"
#include "wire/httpclient.h"

#include <stdexcept>
#include <string>
#include <variant>
#include <vector>

namespace fescuesill
{

class EngineError : public std::runtime_error
{
public:
    explicit EngineError(const std::string &what)
        : std::runtime_error(what)
    {
    }
};

struct EngineLoadReply {
    LoadReport report;
    Pool pool = Pool::Prefill;
};

struct CacheEventsReply {
    std::vector<CacheEvent> events;
    std::uint64_t next = 0;
    bool gap = false;
};

struct OrderTaken {
};
// The engine has seen a higher fencing number.
struct OrderStale {
    FencingNumber seen;
};
using OrderReply = std::variant<OrderTaken, OrderStale>;

class EngineControl
{
public:
    EngineControl(HttpClient &client, Duration limit);

    EngineLoadReply load(const std::string &address, const asio::yield_context &yield);
    CacheEventsReply cacheEvents(const std::string &address, std::uint64_t after, const asio::yield_context &yield);
    std::vector<EngineStream> streams(const std::string &address, const asio::yield_context &yield);
    void cancel(const std::string &address, const StreamId &stream, const asio::yield_context &yield);
    OrderReply order(const std::string &address, FencingNumber fencing, const std::string &kind,
                     const std::string &value, const asio::yield_context &yield);

private:
    HttpResponse call(const std::string &address, const HttpRequest &request, const asio::yield_context &yield);

    HttpClient &client;
    Duration limit;
};

} // namespace fescuesill
