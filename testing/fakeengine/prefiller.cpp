// Each call waits in its own coroutine until its prompt is the first of the queue and nothing is being read, then takes
// the reading for the time its new tokens cost. A result is an entry with an expiry time, looked at when used.
//
// A prompt whose connection was closed is dropped before its next chunk, and its place goes to the next.
//
// The link is a time until which it is taken: transfers go one after the other, which gives the same total as sharing
// the rate and needs no bookkeeping. A result that expires while its transfer waits is gone, as it would be in an
// engine; one whose transfer has begun is sent whole.

#include "testing/fakeengine/prefiller.h"

#include "fescuesill/units.h"
#include "testing/fakeengine/answertext.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace fescuesill::standin
{

using nlohmann::json;

namespace
{

constexpr std::int64_t chunkTokens = 512; // read between two looks at the connection

} // namespace

struct Prefiller::Prompt {
    Prompt(asio::io_context &io, const json &body, std::int64_t arrival)
        : waker(io)
        , arrival(arrival)
        , priority(body.value("priority", std::int64_t{0}))
        , tokens(body.at("prompt_tokens").get<std::int64_t>())
        , seed(answerSeed(body.at("prompt").get<std::string>()))
        , prefix(body.value("prefix", std::vector<std::string>()))
    {
    }

    Waker waker;
    std::int64_t arrival;
    std::int64_t priority; // a lower number goes first
    std::int64_t tokens;
    std::uint64_t seed;
    std::vector<std::string> prefix;
};

bool Prefiller::Sooner::operator()(const std::shared_ptr<Prompt> &a, const std::shared_ptr<Prompt> &b) const
{
    return std::tie(a->priority, a->arrival) < std::tie(b->priority, b->arrival);
}

Prefiller::Prefiller(asio::io_context &io, const EngineOptions &options, FaultScript &faults)
    : io(io)
    , options(options)
    , faults(faults)
    , cache(options)
    , instance(static_cast<std::uint32_t>(getpid()))
{
}

void Prefiller::prefill(Exchange &exchange)
{
    if (this->waiting.size() >= this->options.promptQueue) {
        exchange.reply(503, R"({"error":"queue_full"})");
        return;
    }
    const auto prompt = std::make_shared<Prompt>(this->io, json::parse(exchange.request().body), ++this->prompts);
    this->awaitTurn(prompt, exchange);

    const auto begin = std::chrono::steady_clock::now();
    const std::int64_t reused = this->cache.read(prompt->prefix, prompt->tokens, begin);
    const std::int64_t read = prompt->tokens - reused;
    if (!this->read(read, exchange)) {
        this->finish(prompt);
        exchange.cut();
        return;
    }
    const auto keep = this->options.scaled(this->options.keep);
    const std::string id = fmt::format("kv-{}-{}", this->instance, prompt->arrival);
    this->results[id] = {prompt->seed, prompt->tokens, std::chrono::steady_clock::now() + keep};
    this->finish(prompt);
    exchange.reply(200,
                   json{{"kv_id", id},
                        {"tokens_read", read},
                        {"tokens_reused", reused},
                        {"keep_ms", std::chrono::duration_cast<std::chrono::milliseconds>(keep).count()}}
                       .dump());
}

bool Prefiller::read(std::int64_t tokens, Exchange &exchange)
{
    while (tokens > 0 && !exchange.isAbandoned()) {
        const std::int64_t chunk = std::min(tokens, chunkTokens);
        const auto time =
            std::chrono::duration_cast<Microseconds>(this->options.promptToken * chunk * this->faults.slowFactor());
        exchange.sleep(this->options.scaled(time));
        tokens -= chunk;
    }
    return !exchange.isAbandoned();
}

void Prefiller::exportKv(Exchange &exchange, const std::string &id)
{
    auto now = std::chrono::steady_clock::now();
    this->dropExpired(now);
    auto found = this->results.find(id);
    if (found == this->results.end() || this->faults.losesKv()) {
        exchange.reply(404, R"({"error":"kv_gone"})");
        return;
    }
    const KvResult result = found->second;
    const auto begin = std::max(now, this->linkFree);
    if (begin >= result.expires) {
        exchange.reply(404, R"({"error":"kv_gone"})");
        return;
    }
    const auto time =
        std::chrono::duration_cast<Microseconds>(this->options.linkToken * result.tokens * this->faults.slowFactor());
    this->linkFree = begin + this->options.scaled(time);
    exchange.sleep(std::chrono::duration_cast<Microseconds>(this->linkFree - now));
    exchange.reply(200, json{{"kv_id", id}, {"seed", hexadecimal(result.seed)}, {"tokens", result.tokens}}.dump());
}

json Prefiller::cacheEvents(std::int64_t after) const
{
    return this->cache.events(after, std::chrono::steady_clock::now());
}

std::int64_t Prefiller::piecesHeld()
{
    this->dropExpired(std::chrono::steady_clock::now());
    std::int64_t pieces = 0;
    for (const auto &[id, result] : this->results) {
        pieces += piecesFor(Tokens(result.tokens)).value();
    }
    return pieces;
}

std::int64_t Prefiller::queuedTokens() const
{
    std::int64_t tokens = this->inWork ? this->inWork->tokens : 0;
    for (const auto &prompt : this->waiting) {
        tokens += prompt->tokens;
    }
    return tokens;
}

std::size_t Prefiller::promptsInWork() const
{
    return this->waiting.size() + (this->inWork ? 1 : 0);
}

void Prefiller::awaitTurn(const std::shared_ptr<Prompt> &prompt, Exchange &exchange)
{
    this->waiting.insert(prompt);
    while (this->inWork || *this->waiting.begin() != prompt) {
        prompt->waker.wait(exchange.coroutine());
    }
    this->waiting.erase(prompt);
    this->inWork = prompt;
}

void Prefiller::finish(const std::shared_ptr<Prompt> &prompt)
{
    if (this->inWork == prompt) {
        this->inWork = nullptr;
    }
    if (!this->waiting.empty()) {
        (*this->waiting.begin())->waker.wake();
    }
}

void Prefiller::dropExpired(SteadyTime now)
{
    for (auto result = this->results.begin(); result != this->results.end();) {
        result = result->second.expires <= now ? this->results.erase(result) : std::next(result);
    }
}

} // namespace fescuesill::standin
