#include "wire/enginecontrol.h"

#include "wire/url.h"

#include <nlohmann/json.hpp>

// Every reply is read field by field with typed accessors; whatever an engine sends that is not as expected becomes an
// EngineError and changes nothing here.

namespace fescuesill
{
namespace
{

using Json = nlohmann::json;

constexpr int httpOk = 200;
constexpr int httpNotFound = 404;
constexpr int httpConflict = 409;
constexpr int hexBase = 16;

template<typename Read>
auto readJson(const HttpResponse &response, Read read)
{
    try {
        return read(Json::parse(response.body));
    } catch (const std::exception &failed) {
        throw EngineError(std::string("reply not understood: ") + failed.what());
    }
}

void expectOk(const HttpResponse &response)
{
    if (response.status != httpOk) {
        throw EngineError("status " + std::to_string(response.status));
    }
}

PrefixHash prefixOf(const Json &item)
{
    return PrefixHash{std::stoull(item.get<std::string>(), nullptr, hexBase)};
}

EngineLoadReply loadOf(const Json &body)
{
    EngineLoadReply reply;
    reply.pool = body.at("role").get<std::string>() == "decode" ? Pool::Decode : Pool::Prefill;
    reply.report.piecesUsed = Pieces(body.at("pieces_used").get<std::int64_t>());
    reply.report.running = body.at("running").get<int>();
    reply.report.queued = Tokens(body.at("queued_tokens").get<std::int64_t>());
    reply.report.age = std::chrono::milliseconds(body.at("age_ms").get<std::int64_t>());
    reply.report.instance = body.at("instance").get<std::string>();
    return reply;
}

CacheEventsReply cacheEventsOf(const Json &body, std::uint64_t after)
{
    CacheEventsReply reply;
    std::uint64_t expected = after + 1;
    for (const Json &item : body.at("events")) {
        const auto sequence = item.at("seq").get<std::uint64_t>();
        reply.gap = reply.gap || sequence != expected;
        expected = sequence + 1;
        const bool isAdded = item.at("kind").get<std::string>() == "added";
        reply.events.push_back(
            CacheEvent{isAdded ? CacheEvent::Kind::Added : CacheEvent::Kind::Evicted, prefixOf(item.at("prefix"))});
    }
    reply.next = body.at("next").get<std::uint64_t>();
    return reply;
}

std::vector<EngineStream> streamsOf(const Json &body)
{
    std::vector<EngineStream> streams;
    for (const Json &item : body.at("streams")) {
        EngineStream stream;
        stream.stream = StreamId(item.at("stream_id").get<std::string>());
        stream.entry = HostId(item.at("entry").get<std::string>());
        stream.attached = item.at("attached").get<bool>();
        streams.push_back(std::move(stream));
    }
    return streams;
}

} // namespace

EngineControl::EngineControl(HttpClient &client, Duration limit)
    : client(client)
    , limit(limit)
{
}

EngineLoadReply EngineControl::load(const std::string &address, const asio::yield_context &yield)
{
    const HttpResponse response = this->call(address, HttpRequest{"GET", "/v1/load"}, yield);
    expectOk(response);
    return readJson(response, loadOf);
}

CacheEventsReply EngineControl::cacheEvents(const std::string &address, std::uint64_t after,
                                            const asio::yield_context &yield)
{
    const HttpRequest request{"GET", "/v1/cache-events?after=" + std::to_string(after)};
    const HttpResponse response = this->call(address, request, yield);
    expectOk(response);
    return readJson(response, [after](const Json &body) { return cacheEventsOf(body, after); });
}

std::vector<EngineStream> EngineControl::streams(const std::string &address, const asio::yield_context &yield)
{
    const HttpResponse response = this->call(address, HttpRequest{"GET", "/v1/streams"}, yield);
    expectOk(response);
    return readJson(response, streamsOf);
}

void EngineControl::cancel(const std::string &address, const StreamId &stream, const asio::yield_context &yield)
{
    const HttpRequest request{"DELETE", "/v1/streams/" + percentEncode(stream.value())};
    const HttpResponse response = this->call(address, request, yield);
    if (response.status != httpNotFound) {
        expectOk(response);
    }
}

OrderReply EngineControl::order(const std::string &address, FencingNumber fencing, const std::string &kind,
                                const std::string &value, const asio::yield_context &yield)
{
    const Json body = {{"fencing", fencing.value()}, {"kind", kind}, {"value", value}};
    const HttpResponse response = this->call(address, HttpRequest{"POST", "/v1/orders", body.dump()}, yield);
    if (response.status == httpConflict) {
        const auto seen =
            readJson(response, [](const Json &refused) { return refused.at("seen").get<std::int64_t>(); });
        return OrderStale{FencingNumber(seen)};
    }
    expectOk(response);
    return OrderTaken{};
}

HttpResponse EngineControl::call(const std::string &address, const HttpRequest &request,
                                 const asio::yield_context &yield)
{
    try {
        return this->client.call(address, request, CallOptions{this->limit, Reuse::Allowed}, yield);
    } catch (const HttpError &failed) {
        throw EngineError(failed.what());
    }
}

} // namespace fescuesill
