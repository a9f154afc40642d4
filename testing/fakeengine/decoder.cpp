// One timer drives all streams: each step gives one token to every running stream, and the time to the next step rises
// with their number. A stream's text is a function of its seed, so only a count of tokens is kept, and a reader that is
// behind, or comes back later, gets the missing lines in one write.
//
// Memory: a stream holds piecesFor(prompt + output so far). When a stream has to grow and nothing is free it waits
// without a token until another ends. When nobody else runs, the youngest of the waiting is given up, since waiting for
// one another would have no end.
//
// Each stream has one reader. A second one takes the stream over and the first one's connection is closed.

#include "testing/fakeengine/decoder.h"

#include "fescuesill/units.h"
#include "testing/fakeengine/answertext.h"
#include "testing/standin/httpclient.h"

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace fescuesill::standin
{

using nlohmann::json;

namespace
{

// Lines in one write to a reader that is behind: some 8 kB.
constexpr std::int64_t linesPerChunk = 256;
constexpr int hexadecimalBase = 16;

std::int64_t contextPieces(std::int64_t promptTokens, std::int64_t outputTokens)
{
    return piecesFor(Tokens(promptTokens + outputTokens)).value();
}

std::uint64_t parseSeed(const std::string &text)
{
    std::uint64_t seed = 0;
    std::from_chars(text.data(), text.data() + text.size(), seed, hexadecimalBase);
    return seed;
}

} // namespace

struct Decoder::Stream {
    Stream(asio::io_context &io, const json &body)
        : id(body.at("stream_id").get<std::string>())
        , request(body.value("request_id", ""))
        , entry(body.value("entry", ""))
        , promptTokens(body.at("prompt_tokens").get<std::int64_t>())
        , maxTokens(std::max<std::int64_t>(body.at("max_tokens").get<std::int64_t>(), 1))
        , waker(io)
    {
    }

    std::string id;
    std::string request;
    std::string entry;
    std::int64_t promptTokens;
    std::int64_t maxTokens;
    Waker waker;
    std::uint64_t seed = 0;
    std::int64_t pieces = 0;
    std::int64_t output = 0;
    std::uint64_t reader = 0; // number of the latest reader; older ones give way
    bool isAttached = false;
    bool isStalled = false; // waits for memory; with no pieces it was preempted
    SteadyTime readyAt; // after a preemption: when its context is read again
    bool isFinished = false;
    bool isGone = false; // cancelled
    SteadyTime idleSince = std::chrono::steady_clock::now();
};

Decoder::Decoder(asio::io_context &io, const EngineOptions &options, FaultScript &faults)
    : io(io)
    , options(options)
    , faults(faults)
    , stepTimer(io)
{
}

void Decoder::decode(Exchange &exchange)
{
    const json body = json::parse(exchange.request().body);
    if (this->find(body.at("stream_id").get<std::string>())) {
        exchange.reply(409, R"({"error":"stream_exists"})");
        return;
    }
    const StreamPointer stream = this->admit(body);
    if (!stream) {
        exchange.reply(503, R"({"error":"no_memory"})");
        return;
    }
    if (!this->import(stream, body.at("kv"), exchange) || stream->isGone) {
        this->cancel(stream->id);
        exchange.reply(410, R"({"error":"kv_gone"})");
        return;
    }
    this->start(stream);
    this->write(stream, 0, exchange);
}

void Decoder::resume(Exchange &exchange, const std::string &id)
{
    this->forgetOld();
    const StreamPointer stream = this->find(id);
    if (!stream) {
        exchange.reply(404, R"({"error":"no_stream"})");
        return;
    }
    stream->entry = exchange.request().parameter("entry", stream->entry);
    this->write(stream, std::max<std::int64_t>(exchange.request().number("from", 0), 0), exchange);
}

bool Decoder::isReadByOther(const std::string &id, const std::string &entry) const
{
    const auto found = this->streams.find(id);
    return found != this->streams.end() && !entry.empty() && found->second->entry != entry;
}

bool Decoder::cancel(const std::string &id)
{
    const StreamPointer stream = this->find(id);
    if (!stream) {
        return false;
    }
    this->release(*stream);
    stream->isGone = true;
    stream->waker.wake();
    this->streams.erase(id);
    this->finished.erase(id);
    return true;
}

void Decoder::wakeAll()
{
    for (const auto &[id, stream] : this->streams) {
        stream->waker.wake();
    }
}

json Decoder::list() const
{
    const auto now = std::chrono::steady_clock::now();
    json listed = json::array();
    for (const auto &[id, stream] : this->streams) {
        const auto idle = stream->isAttached ? SteadyTime::duration::zero() : now - stream->idleSince;
        listed.push_back({{"stream_id", id},
                          {"request_id", stream->request},
                          {"entry", stream->entry},
                          {"attached", stream->isAttached},
                          {"idle_ms", std::chrono::duration_cast<std::chrono::milliseconds>(idle).count()},
                          {"pieces", stream->pieces},
                          {"offset", stream->output}});
    }
    return {{"streams", listed}};
}

std::int64_t Decoder::piecesUsed() const
{
    return this->pieces;
}

std::size_t Decoder::running() const
{
    return this->writing.size();
}

double Decoder::tokensPerSecond() const
{
    const std::size_t running = std::max<std::size_t>(this->writing.size(), 1);
    return static_cast<double>(running) / std::chrono::duration<double>(this->stepTime(running)).count();
}

Decoder::StreamPointer Decoder::find(const std::string &id) const
{
    const auto live = this->streams.find(id);
    if (live != this->streams.end()) {
        return live->second;
    }
    const auto past = this->finished.find(id);
    return past == this->finished.end() ? nullptr : past->second;
}

Decoder::StreamPointer Decoder::admit(const json &body)
{
    this->forgetOld();
    auto stream = std::make_shared<Stream>(this->io, body);
    stream->pieces = contextPieces(stream->promptTokens, 1);
    const auto isPreempted = [](const StreamPointer &other) {
        return other->isStalled && other->pieces == 0;
    };
    const bool isWaitedFor = std::any_of(this->writing.begin(), this->writing.end(), isPreempted);
    if (isWaitedFor || this->pieces + stream->pieces > this->options.pieces) {
        return nullptr;
    }
    this->pieces += stream->pieces;
    stream->isAttached = true;
    this->streams[stream->id] = stream;
    return stream;
}

bool Decoder::import(const StreamPointer &stream, const json &from, Exchange &exchange)
{
    const ClientReply reply = fetch(this->io, from.at("address").get<std::string>(),
                                    {"GET", "/v1/kv/" + from.at("kv_id").get<std::string>()}, exchange.coroutine());
    if (reply.status != 200) {
        return false;
    }
    stream->seed = parseSeed(json::parse(reply.body).at("seed").get<std::string>());
    return true;
}

void Decoder::start(const StreamPointer &stream)
{
    if (stream->maxTokens == this->options.diesAtTokens) {
        std::_Exit(1);
    }
    this->writing.push_back(stream);
    stream->output = 1; // the import brings what the first token is made of
    if (stream->output >= stream->maxTokens) {
        this->finish(stream);
        this->writing.pop_back();
    }
    this->scheduleStep();
}

void Decoder::write(const StreamPointer &stream, std::int64_t from, Exchange &exchange)
{
    const std::uint64_t reader = ++stream->reader;
    stream->waker.wake();
    stream->isAttached = true;
    const std::int64_t cutAfter = this->faults.cutOfNewStream();
    const std::int64_t until = cutAfter < 0 ? stream->maxTokens : from + cutAfter;
    exchange.beginStream();
    std::int64_t next = from;
    while (exchange.isOpen() && !stream->isGone && stream->reader == reader) {
        if (this->faults.isSilent(exchange.connectionNumber())) {
            exchange.fallSilent();
            break;
        }
        if (!this->faults.isFrozen() && this->writePending(stream, next, until, exchange)) {
            if (stream->isFinished && next >= stream->output && exchange.isOpen()) {
                exchange.writeChunk(fmt::format(
                    "{{\"end\":true,\"length\":{},\"digest\":\"{}\",\"prompt_tokens\":{},\"output_tokens\":{}}}\n",
                    stream->output, answerDigest(stream->seed, stream->output), stream->promptTokens, stream->output));
                exchange.endStream();
                return;
            }
            continue;
        }
        if (cutAfter >= 0 && next >= until) {
            break;
        }
        stream->waker.wait(exchange.coroutine());
    }
    if (stream->reader == reader && !stream->isFinished) {
        stream->isAttached = false;
        stream->idleSince = std::chrono::steady_clock::now();
    }
    exchange.cut();
}

bool Decoder::writePending(const StreamPointer &stream, std::int64_t &next, std::int64_t until,
                           Exchange &exchange) const
{
    const std::int64_t end = std::min({stream->output, until, next + linesPerChunk});
    if (next >= end) {
        return stream->isFinished && next >= stream->output;
    }
    std::string lines;
    for (; next < end; ++next) {
        lines += fmt::format("{{\"offset\":{},\"text\":\"{}\"}}\n", next, fragmentText(stream->seed, next));
    }
    exchange.writeChunk(lines);
    return true;
}

void Decoder::scheduleStep()
{
    if (this->isStepping || this->writing.empty()) {
        return;
    }
    this->isStepping = true;
    const auto now = std::chrono::steady_clock::now();
    // From the time when the last step was due, so that a late timer does not slow the engine down.
    this->nextStep = std::max(this->nextStep + this->stepTime(this->writing.size()), now);
    this->stepTimer.expires_at(this->nextStep);
    this->stepTimer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            this->isStepping = false;
            this->step();
        }
    });
}

void Decoder::step()
{
    if (!this->faults.isFrozen()) {
        bool isAllStalled = true;
        for (const StreamPointer &stream : this->writing) {
            if (stream->isGone) {
                continue;
            }
            const bool hasGrown = this->grow(*stream);
            isAllStalled = isAllStalled && stream->isStalled;
            if (!hasGrown) {
                continue;
            }
            ++stream->output;
            if (stream->output >= stream->maxTokens) {
                this->finish(stream);
            }
            stream->waker.wake();
        }
        if (isAllStalled) {
            this->preemptYoungest();
        }
        const auto isOver = [](const StreamPointer &stream) {
            return stream->isGone || stream->isFinished;
        };
        this->writing.erase(std::remove_if(this->writing.begin(), this->writing.end(), isOver), this->writing.end());
    }
    this->scheduleStep();
}

bool Decoder::grow(Stream &stream)
{
    const auto now = std::chrono::steady_clock::now();
    const std::int64_t more = contextPieces(stream.promptTokens, stream.output + 1) - stream.pieces;
    stream.isStalled = more > 0 && this->pieces + more > this->options.pieces;
    if (!stream.isStalled && more > 0) {
        if (stream.pieces == 0) {
            stream.readyAt =
                now + this->options.scaled(this->options.promptToken * (stream.promptTokens + stream.output));
        }
        stream.pieces += more;
        this->pieces += more;
    }
    return !stream.isStalled && stream.readyAt <= now;
}

void Decoder::preemptYoungest()
{
    const auto isWaiting = [](const StreamPointer &stream) {
        return stream->isStalled && stream->pieces > 0;
    };
    const auto youngest = std::find_if(this->writing.rbegin(), this->writing.rend(), isWaiting);
    if (youngest != this->writing.rend()) {
        this->release(**youngest);
    }
}

void Decoder::release(Stream &stream)
{
    this->pieces -= stream.pieces;
    stream.pieces = 0;
}

void Decoder::finish(const StreamPointer &stream)
{
    this->release(*stream);
    stream->isFinished = true;
    stream->idleSince = std::chrono::steady_clock::now();
    this->streams.erase(stream->id);
    this->finished[stream->id] = stream;
    this->finishedInOrder.push_back(stream);
}

void Decoder::forgetOld()
{
    const auto limit = std::chrono::steady_clock::now() - this->options.scaled(this->options.resumeGrace);
    while (!this->finishedInOrder.empty() && this->finishedInOrder.front()->idleSince < limit) {
        this->finished.erase(this->finishedInOrder.front()->id);
        this->finishedInOrder.pop_front();
    }
}

Microseconds Decoder::stepTime(std::size_t running) const
{
    const double factor =
        1 + this->options.stepSlope * static_cast<double>(running - std::min<std::size_t>(running, 1));
    const auto time =
        std::chrono::duration_cast<Microseconds>(this->options.decodeStep * factor * this->faults.slowFactor());
    return this->options.scaled(time);
}

} // namespace fescuesill::standin
