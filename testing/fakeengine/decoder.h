#pragma once

// The writing side of a stand-in engine: streams in continuous batching, in memory of few pieces.
//
//     Decoder decoder(io, options, faults);
//     decoder.decode(exchange);                   // POST /v1/decode: writes until the end or until the connection
//     breaks decoder.resume(exchange, "s-9");            // GET /v1/streams/s-9?from=12&entry=athens-b
//     decoder.cancel("s-9");                      // frees the memory at once
//
// A stream whose connection broke goes on and holds its memory until it ends or is cancelled.

#include "testing/fakeengine/engineoptions.h"
#include "testing/fakeengine/faultscript.h"
#include "testing/standin/httpserver.h"

#include <deque>
#include <memory>
#include <unordered_map>
#include <vector>

namespace fescuesill::standin
{

class Decoder
{
public:
    Decoder(asio::io_context &io, const EngineOptions &options, FaultScript &faults);

    void decode(Exchange &exchange);
    void resume(Exchange &exchange, const std::string &id);
    // False where there is no such stream.
    bool cancel(const std::string &id);
    // Whether an entry other than this one was the last to read the stream; false where none is named.
    bool isReadByOther(const std::string &id, const std::string &entry) const;
    // Wakes the writers of all streams, so that they see a new script of faults.
    void wakeAll();

    nlohmann::json list() const;
    std::int64_t piecesUsed() const;
    std::size_t running() const;
    double tokensPerSecond() const;

private:
    struct Stream;
    using StreamPointer = std::shared_ptr<Stream>;

    StreamPointer find(const std::string &id) const;
    StreamPointer admit(const nlohmann::json &body);
    // Fetches the KV result; false when it is gone.
    bool import(const StreamPointer &stream, const nlohmann::json &from, Exchange &exchange);
    void start(const StreamPointer &stream);
    void write(const StreamPointer &stream, std::int64_t from, Exchange &exchange);
    bool writePending(const StreamPointer &stream, std::int64_t &next, std::int64_t until, Exchange &exchange) const;

    void scheduleStep();
    void step();
    bool grow(Stream &stream);
    void preemptYoungest();
    void release(Stream &stream);
    void finish(const StreamPointer &stream);
    void forgetOld();
    Microseconds stepTime(std::size_t running) const;

    asio::io_context &io;
    const EngineOptions &options;
    FaultScript &faults;
    std::unordered_map<std::string, StreamPointer> streams; // that hold memory
    std::unordered_map<std::string, StreamPointer> finished; // whose text can still be asked for
    std::deque<StreamPointer> finishedInOrder;
    std::vector<StreamPointer> writing; // those that get a token in each step
    std::int64_t pieces = 0;
    asio::steady_timer stepTimer;
    SteadyTime nextStep;
    bool isStepping = false;
};

} // namespace fescuesill::standin
