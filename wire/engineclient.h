#pragma once

// Client for model engines, used from the coroutines of one io_context.
//
//     EngineClient engines(io, EngineClient::Options{});
//     const PrefillAnswer kv = engines.prefill("127.0.0.1:8201", prefillCall, yield);
//     DecodeStream stream = engines.decode("127.0.0.1:8202", decodeCall, yield);
//     std::vector<DecodeLine> lines;
//     while (stream.read(lines, 1s, yield)) { ... std::visit(...) each ... }
//     engines.cancel("127.0.0.1:8202", decodeCall.stream, decodeCall.entry, yield);
//
// Every call throws EngineError on failure.

#include "decide/cellmessages.h"
#include "fescuesill/ids.h"
#include "wire/httpclient.h"

#include <optional>
#include <tl/expected.hpp>
#include <variant>

namespace fescuesill
{

// 503: the engine's queue accepts no more prompts at the moment.
struct QueueFull {
};
// 503: no memory for the decode. The prefill result is still kept.
struct NoMemory {
};
// 410: the prefill result has expired, or was lost with its engine.
struct KvGone {
};
// 404: the engine has no such stream.
struct NoStream {
};
// 409: the engine has seen a higher fencing number.
struct StaleFencing {
    FencingNumber seen;
};
// No response. If the call is known not to have been sent, it does not run on the engine.
struct Unreachable {
    HttpFault fault = HttpFault::Connect;
    bool isKnownNotSent = false;
    std::string text;
};
// A response that the engine contract does not define.
struct BadEngineReply {
    std::string text;
};

using EngineFault = std::variant<QueueFull, NoMemory, KvGone, NoStream, StaleFencing, Unreachable, BadEngineReply>;

class EngineError : public std::runtime_error
{
public:
    explicit EngineError(EngineFault fault);

    const EngineFault &fault() const;

private:
    EngineFault cause;
};

struct PrefillCall {
    RequestId request;
    std::string prompt;
    Tokens promptTokens;
    std::vector<std::uint64_t> prefix;
    int priority = 0;
};

struct PrefillAnswer {
    KvId kv;
    Tokens computed;
    Tokens reused;
    Duration keep{0};
};

struct DecodeCall {
    StreamId stream;
    RequestId request;
    HostId entry;
    std::string kvAddress;
    KvId kv;
    Tokens promptTokens;
    Tokens maxTokens;
    int priority = 0;
};

struct DecodeFragment {
    Offset offset;
    std::string json; // the text as a JSON string with its quotes, as it is relayed to the caller
    std::string text;
};

struct DecodeEnd {
    Offset length;
    std::string digest;
    Tokens prompt;
    Tokens output;
};

using DecodeLine = std::variant<DecodeFragment, DecodeEnd>;

struct DecodeLineError {
    std::string text;
};

tl::expected<DecodeLine, DecodeLineError> parseDecodeLine(std::string_view line);

// The lines of one generation, read as they arrive.
class DecodeStream
{
public:
    explicit DecodeStream(LineStream lines);

    // Waits for at least one line and returns all that have arrived. Returns false if the connection has ended.
    bool read(std::vector<DecodeLine> &lines, Duration limit, const asio::yield_context &yield);
    // Closes the connection. A pending read ends with Unreachable.
    void close();

private:
    LineStream stream;
    std::string text;
};

struct RunningStream {
    StreamId stream;
    RequestId request;
    HostId entry;
    bool isAttached = false;
    Duration idle{0};
    Pieces pieces;
    Offset offset;
};

struct EngineLoad {
    std::string role;
    Pieces piecesTotal;
    Pieces piecesUsed;
    int running = 0;
    Tokens queued;
    double tokensPerSecond = 0;
    Duration age{0};
    std::string instance;
};

// Converts the load to the form that the decision code uses.
LoadReport loadReport(const EngineLoad &load);

struct EngineCacheEvent {
    std::int64_t sequence = 0;
    bool isAdded = true;
    std::uint64_t prefix = 0;
};

struct EngineCacheEvents {
    std::vector<EngineCacheEvent> events;
    std::int64_t next = 0;
};

enum class OrderKind {
    Role,
    Model,
};

class EngineClient
{
public:
    struct Options {
        HttpClient::Options http = replyLimits();
        Duration prefillDeadline{20s}; // 9,000 tokens take under 1 s; the rest is time in the engine's queue
        Duration attachDeadline{2s}; // to the header of a stream's response; includes the KV transfer
        Duration cancelDeadline{1s};
        Duration reportDeadline{1s};

        // Of what the engine contract defines, lists of cache events are the longest, with some 60 bytes for each.
        static HttpClient::Options replyLimits()
        {
            HttpClient::Options limits;
            limits.bodyLimit = Bytes(2 << 20);
            limits.bufferedLimit = Bytes(4 << 20);
            limits.lineLimit = Bytes(128 << 10);
            return limits;
        }
    };

    EngineClient(asio::io_context &io, const Options &options);

    // An aborted call throws Unreachable, and the engine stops the prefill.
    PrefillAnswer prefill(const std::string &address, const PrefillCall &call, CallAbort &abort,
                          const asio::yield_context &yield);
    DecodeStream decode(const std::string &address, const DecodeCall &call, const asio::yield_context &yield);
    // Always uses a new connection, because a stream may be resumed after a device on the way has dropped the state of
    // the existing connections.
    DecodeStream resume(const std::string &address, const StreamId &stream, Offset from, const HostId &entry,
                        const asio::yield_context &yield);
    // Returns once the engine has confirmed that the memory is free, or that an entry other than `entry` is reading
    // the stream.
    void cancel(const std::string &address, const StreamId &stream, const HostId &entry,
                const asio::yield_context &yield);
    std::vector<RunningStream> list(const std::string &address, const asio::yield_context &yield);
    EngineLoad load(const std::string &address, const asio::yield_context &yield);
    EngineCacheEvents cacheEvents(const std::string &address, std::int64_t after, const asio::yield_context &yield);
    // Whether the engine's process accepts connections; nothing is sent.
    Liveness probe(const std::string &address, const asio::yield_context &yield)
    {
        return this->client.probe(address, yield);
    }
    void order(const std::string &address, FencingNumber fencing, OrderKind kind, const std::string &value,
               const asio::yield_context &yield);

private:
    HttpResponse call(const std::string &address, const HttpRequest &request, const CallOptions &limits,
                      const asio::yield_context &yield);
    DecodeStream open(const std::string &address, const HttpRequest &request, const asio::yield_context &yield);

    Options options;
    HttpClient client;
};

} // namespace fescuesill
