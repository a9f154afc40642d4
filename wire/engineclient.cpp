// Error responses are mapped to faults by the `error` field that the engine contract defines, not by the status alone:
// 503 means "queue full" for a prefill and "no memory" for a decode. Any response outside the contract becomes
// BadEngineReply.
//
// A decode always uses a new connection. A decode that was started twice would hold memory twice, and
// Unreachable::isKnownNotSent is only meaningful for a call that the HTTP client never retries by itself. A prefill may
// be retried; the cost is a second prefill.

#include "wire/engineclient.h"

#include "wire/url.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace fescuesill
{
namespace
{

using Json = nlohmann::json;

constexpr int statusOk = 200;
constexpr int statusNotFound = 404;
constexpr int statusConflict = 409;

std::string describe(const EngineFault &fault)
{
    if (const auto *unreachable = std::get_if<Unreachable>(&fault)) {
        return "engine unreachable: " + unreachable->text;
    }
    if (const auto *bad = std::get_if<BadEngineReply>(&fault)) {
        return "engine reply: " + bad->text;
    }
    constexpr const char *names[] = {"queue full", "no memory", "KV gone", "no stream", "stale fencing number"};
    return names[fault.index()];
}

[[noreturn]] void throwFault(int status, const std::string &body)
{
    const Json json = Json::parse(body, nullptr, false);
    const std::string code = json.is_object() ? json.value("error", std::string()) : std::string();
    if (code == "queue_full") {
        throw EngineError(QueueFull{});
    }
    if (code == "no_memory") {
        throw EngineError(NoMemory{});
    }
    if (code == "kv_gone") {
        throw EngineError(KvGone{});
    }
    if (code == "no_stream") {
        throw EngineError(NoStream{});
    }
    if (code == "stale_fencing") {
        throw EngineError(StaleFencing{FencingNumber(json.value("seen", std::int64_t(0)))});
    }
    throw EngineError(BadEngineReply{fmt::format("status {} {}", status, code)});
}

template<typename Parse>
auto parseReply(const HttpResponse &response, Parse parse)
{
    if (response.status != statusOk) {
        throwFault(response.status, response.body);
    }
    try {
        return parse(Json::parse(response.body));
    } catch (const Json::exception &error) {
        throw EngineError(BadEngineReply{error.what()});
    }
}

EngineError unreachable(const HttpError &error)
{
    return EngineError(Unreachable{error.fault(), error.isKnownNotSent(), error.what()});
}

std::string hexOf(std::uint64_t value)
{
    return fmt::format("{:016x}", value);
}

Duration milliseconds(const Json &json, const char *key)
{
    return std::chrono::milliseconds(json.at(key).get<std::int64_t>());
}

std::string dump(const Json &json)
{
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string prefillBody(const PrefillCall &call)
{
    Json json = {{"request_id", call.request.value()},
                 {"prompt", call.prompt},
                 {"prompt_tokens", call.promptTokens.value()},
                 {"prefix", Json::array()},
                 {"priority", call.priority}};
    for (const std::uint64_t hash : call.prefix) {
        json["prefix"].push_back(hexOf(hash));
    }
    return dump(json);
}

std::string decodeBody(const DecodeCall &call)
{
    return dump({{"stream_id", call.stream.value()},
                 {"request_id", call.request.value()},
                 {"entry", call.entry.value()},
                 {"kv", {{"address", call.kvAddress}, {"kv_id", call.kv.value()}}},
                 {"prompt_tokens", call.promptTokens.value()},
                 {"max_tokens", call.maxTokens.value()},
                 {"priority", call.priority}});
}

RunningStream readStream(const Json &json)
{
    RunningStream stream;
    stream.stream = StreamId(json.at("stream_id").get<std::string>());
    stream.request = RequestId(json.at("request_id").get<std::string>());
    stream.entry = HostId(json.at("entry").get<std::string>());
    stream.isAttached = json.at("attached").get<bool>();
    stream.idle = milliseconds(json, "idle_ms");
    stream.pieces = Pieces(json.at("pieces").get<std::int64_t>());
    stream.offset = Offset(json.at("offset").get<std::int64_t>());
    return stream;
}

EngineLoad readLoad(const Json &json)
{
    EngineLoad load;
    load.role = json.at("role").get<std::string>();
    load.piecesTotal = Pieces(json.at("pieces_total").get<std::int64_t>());
    load.piecesUsed = Pieces(json.at("pieces_used").get<std::int64_t>());
    load.running = json.at("running").get<int>();
    load.queued = Tokens(json.at("queued_tokens").get<std::int64_t>());
    load.tokensPerSecond = json.at("tokens_per_second").get<double>();
    load.age = milliseconds(json, "age_ms");
    load.instance = json.at("instance").get<std::string>();
    return load;
}

EngineCacheEvents readCacheEvents(const Json &json)
{
    EngineCacheEvents read;
    read.next = json.at("next").get<std::int64_t>();
    for (const Json &event : json.at("events")) {
        EngineCacheEvent one;
        one.sequence = event.at("seq").get<std::int64_t>();
        one.isAdded = event.at("kind").get<std::string>() == "added";
        one.prefix = std::strtoull(event.at("prefix").get<std::string>().c_str(), nullptr, 16);
        read.events.push_back(one);
    }
    return read;
}

} // namespace

EngineError::EngineError(EngineFault fault)
    : std::runtime_error(describe(fault))
    , cause(std::move(fault))
{
}

const EngineFault &EngineError::fault() const
{
    return this->cause;
}

DecodeStream::DecodeStream(LineStream lines)
    : stream(std::move(lines))
{
}

bool DecodeStream::read(std::vector<DecodeLine> &lines, Duration limit, const asio::yield_context &yield)
{
    lines.clear();
    try {
        if (!this->stream.read(this->text, limit, yield)) {
            return false;
        }
    } catch (const HttpError &error) {
        throw unreachable(error);
    }
    std::string_view rest = this->text;
    while (!rest.empty()) {
        const std::size_t end = rest.find('\n');
        auto line = parseDecodeLine(rest.substr(0, end));
        if (!line) {
            throw EngineError(BadEngineReply{line.error().text});
        }
        lines.push_back(std::move(*line));
        rest.remove_prefix(end + 1);
    }
    return true;
}

void DecodeStream::close()
{
    this->stream.close();
}

LoadReport loadReport(const EngineLoad &load)
{
    LoadReport report;
    report.piecesUsed = load.piecesUsed;
    report.running = load.running;
    report.queued = load.queued;
    report.age = load.age;
    report.instance = load.instance;
    return report;
}

EngineClient::EngineClient(asio::io_context &io, const Options &limits)
    : options(limits)
    , client(io, limits.http)
{
}

HttpResponse EngineClient::call(const std::string &address, const HttpRequest &request, const CallOptions &limits,
                                const asio::yield_context &yield)
{
    try {
        return this->client.call(address, request, limits, yield);
    } catch (const HttpError &error) {
        throw unreachable(error);
    }
}

DecodeStream EngineClient::open(const std::string &address, const HttpRequest &request,
                                const asio::yield_context &yield)
{
    try {
        LineStream lines = this->client.open(address, request, {this->options.attachDeadline, Reuse::Never}, yield);
        if (lines.status() != statusOk) {
            throwFault(lines.status(), lines.readAll(this->options.attachDeadline, yield));
        }
        return DecodeStream(std::move(lines));
    } catch (const HttpError &error) {
        throw unreachable(error);
    }
}

PrefillAnswer EngineClient::prefill(const std::string &address, const PrefillCall &call, CallAbort &abort,
                                    const asio::yield_context &yield)
{
    const HttpResponse response = this->call(address, {"POST", "/v1/prefill", prefillBody(call)},
                                             {this->options.prefillDeadline, Reuse::Allowed, &abort}, yield);
    return parseReply(response, [](const Json &json) {
        PrefillAnswer answer;
        answer.kv = KvId(json.at("kv_id").get<std::string>());
        answer.computed = Tokens(json.at("tokens_read").get<std::int64_t>());
        answer.reused = Tokens(json.at("tokens_reused").get<std::int64_t>());
        answer.keep = milliseconds(json, "keep_ms");
        return answer;
    });
}

DecodeStream EngineClient::decode(const std::string &address, const DecodeCall &call, const asio::yield_context &yield)
{
    return this->open(address, {"POST", "/v1/decode", decodeBody(call)}, yield);
}

DecodeStream EngineClient::resume(const std::string &address, const StreamId &stream, Offset from, const HostId &entry,
                                  const asio::yield_context &yield)
{
    const std::string target = fmt::format("/v1/streams/{}?from={}&entry={}", percentEncode(stream.value()),
                                           from.value(), percentEncode(entry.value()));
    return this->open(address, {"GET", target}, yield);
}

// The cancellation names the entry that sends it. An entry that was frozen, or noticed late that its caller has
// disconnected, could otherwise cancel a stream that the caller has since resumed through another entry, and the answer
// would stop in the middle. If another entry reads the stream, the engine responds with 409 and this entry has nothing
// left to cancel.
void EngineClient::cancel(const std::string &address, const StreamId &stream, const HostId &entry,
                          const asio::yield_context &yield)
{
    const std::string target =
        fmt::format("/v1/streams/{}?entry={}", percentEncode(stream.value()), percentEncode(entry.value()));
    const HttpResponse response =
        this->call(address, {"DELETE", target}, {this->options.cancelDeadline, Reuse::Never}, yield);
    const bool isSettled =
        response.status == statusOk || response.status == statusNotFound || response.status == statusConflict;
    if (!isSettled) {
        throwFault(response.status, response.body);
    }
}

std::vector<RunningStream> EngineClient::list(const std::string &address, const asio::yield_context &yield)
{
    const HttpResponse response =
        this->call(address, {"GET", "/v1/streams"}, {this->options.reportDeadline, Reuse::Allowed}, yield);
    return parseReply(response, [](const Json &json) {
        std::vector<RunningStream> streams;
        for (const Json &stream : json.at("streams")) {
            streams.push_back(readStream(stream));
        }
        return streams;
    });
}

EngineLoad EngineClient::load(const std::string &address, const asio::yield_context &yield)
{
    return parseReply(this->call(address, {"GET", "/v1/load"}, {this->options.reportDeadline, Reuse::Allowed}, yield),
                      readLoad);
}

EngineCacheEvents EngineClient::cacheEvents(const std::string &address, std::int64_t after,
                                            const asio::yield_context &yield)
{
    return parseReply(this->call(address, {"GET", fmt::format("/v1/cache-events?after={}", after)},
                                 {this->options.reportDeadline, Reuse::Allowed}, yield),
                      readCacheEvents);
}

void EngineClient::order(const std::string &address, FencingNumber fencing, OrderKind kind, const std::string &value,
                         const asio::yield_context &yield)
{
    const Json body = {
        {"fencing", fencing.value()}, {"kind", kind == OrderKind::Role ? "role" : "model"}, {"value", value}};
    const HttpResponse response =
        this->call(address, {"POST", "/v1/orders", dump(body)}, {this->options.reportDeadline, Reuse::Never}, yield);
    parseReply(response, [](const Json &json) { return json.at("fencing").get<std::int64_t>(); });
}

} // namespace fescuesill
