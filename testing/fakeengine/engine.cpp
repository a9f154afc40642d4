// Routes first to the calls for tests, which work under every fault, then through the faults, then to the engine's
// parts.
//
// The load report is a snapshot that is renewed only when it is older than the lag, as an engine's own metrics page is.

#include "testing/fakeengine/engine.h"

#include <fmt/format.h>
#include <unistd.h>

namespace fescuesill::standin
{

using nlohmann::json;

namespace
{

constexpr std::string_view streamRoute = "/v1/streams/";
constexpr std::string_view kvRoute = "/v1/kv/";

bool beginsWith(const std::string &text, std::string_view start)
{
    return text.compare(0, start.size(), start) == 0;
}

} // namespace

Engine::Engine(asio::io_context &io, const EngineOptions &given, bool isApplication)
    : options(given)
    , isApplication(isApplication)
    , faults(given.seed)
    , prefiller(io, this->options, this->faults)
    , decoder(io, this->options, this->faults)
    , application(this->options, this->faults)
    , instance(fmt::format("{}-{}", getpid(), std::chrono::system_clock::now().time_since_epoch().count()))
{
}

void Engine::handle(Exchange &exchange)
{
    this->latestConnection = std::max(this->latestConnection, exchange.connectionNumber());
    try {
        if (this->handleControl(exchange)) {
            return;
        }
        if (this->faults.isFrozen() || this->faults.isSilent(exchange.connectionNumber())) {
            exchange.fallSilent();
        } else if (this->faults.refuses()) {
            exchange.reply(503, R"({"error":"refused"})");
        } else if (this->isApplication) {
            this->application.handle(exchange);
        } else {
            this->handleModelCall(exchange);
        }
    } catch (const json::exception &error) {
        exchange.reply(400, json{{"error", error.what()}}.dump());
    }
}

bool Engine::handleControl(Exchange &exchange)
{
    const HttpRequest &request = exchange.request();
    if (request.path == "/faults" && request.method == "POST") {
        this->faults.replace(json::parse(request.body), this->latestConnection);
        this->decoder.wakeAll();
        exchange.reply(200, "{}");
    } else if (request.path == "/history") {
        exchange.reply(200, this->application.history().dump());
    } else if (request.path == "/orders") {
        exchange.reply(200, json{{"orders", this->orders}}.dump());
    } else if (request.path == "/healthz") {
        exchange.reply(200, "{}");
    } else {
        return false;
    }
    return true;
}

void Engine::handleModelCall(Exchange &exchange)
{
    const HttpRequest &request = exchange.request();
    const bool isPost = request.method == "POST";
    if (isPost && request.path == "/v1/prefill" && this->options.role == "prefill") {
        this->prefiller.prefill(exchange);
    } else if (isPost && request.path == "/v1/decode" && this->options.role == "decode") {
        this->decoder.decode(exchange);
    } else if (beginsWith(request.path, streamRoute)) {
        this->handleStream(exchange);
    } else if (request.path == "/v1/streams") {
        exchange.reply(200, this->decoder.list().dump());
    } else if (beginsWith(request.path, kvRoute)) {
        this->prefiller.exportKv(exchange, request.path.substr(kvRoute.size()));
    } else if (request.path == "/v1/load") {
        exchange.reply(200, this->loadReport());
    } else if (request.path == "/v1/cache-events") {
        exchange.reply(200, this->prefiller.cacheEvents(request.number("after", 0)).dump());
    } else if (isPost && request.path == "/v1/orders") {
        this->order(exchange);
    } else {
        exchange.reply(isPost ? 503 : 404, isPost ? R"({"error":"wrong_role"})" : R"({"error":"no_such_call"})");
    }
}

void Engine::handleStream(Exchange &exchange)
{
    const std::string id = exchange.request().path.substr(streamRoute.size());
    if (exchange.request().method != "DELETE") {
        this->decoder.resume(exchange, id);
    } else if (this->decoder.isReadByOther(id, exchange.request().parameter("entry", ""))) {
        exchange.reply(409, R"({"error":"other_reader"})");
    } else if (this->decoder.cancel(id)) {
        exchange.reply(200, R"({"state":"cancelled"})");
    } else {
        exchange.reply(404, R"({"error":"no_stream"})");
    }
}

void Engine::order(Exchange &exchange)
{
    const json body = json::parse(exchange.request().body);
    const auto number = body.at("fencing").get<std::int64_t>();
    if (this->options.checksFencing && number < this->fencing) {
        exchange.reply(409, json{{"error", "stale_fencing"}, {"seen", this->fencing}}.dump());
        return;
    }
    this->fencing = std::max(this->fencing, number);
    if (body.at("kind") == "role") {
        this->options.role = body.at("value").get<std::string>();
    } else {
        this->options.model = body.at("value").get<std::string>();
    }
    this->orders.push_back(body);
    exchange.reply(200, json{{"fencing", number}}.dump());
}

std::string Engine::loadReport()
{
    const auto now = std::chrono::steady_clock::now();
    const bool isPrefill = this->options.role == "prefill";
    if (this->report.is_null() || now - this->reportTime > this->options.scaled(this->options.loadLag)) {
        const double promptRate =
            1 / std::chrono::duration<double>(this->options.scaled(this->options.promptToken)).count();
        this->report = {{"role", this->options.role},
                        {"model", this->options.model},
                        {"pieces_total", this->options.pieces},
                        {"pieces_used", this->decoder.piecesUsed() + this->prefiller.piecesHeld()},
                        {"running", isPrefill ? this->prefiller.promptsInWork() : this->decoder.running()},
                        {"queued_tokens", this->prefiller.queuedTokens()},
                        {"tokens_per_second", isPrefill ? promptRate : this->decoder.tokensPerSecond()},
                        {"instance", this->instance}};
        this->reportTime = now;
    }
    json current = this->report;
    current["age_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(now - this->reportTime).count();
    return current.dump();
}

} // namespace fescuesill::standin
