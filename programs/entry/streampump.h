#pragma once

// Carries one generation from its engine to its caller until it is whole, or cannot go on.
//
//     StreamPump pump(services, source, sink);
//     reply.onCallerGone([&] { pump.abandon(); });
//     switch (pump.run(yield)) { case PumpEnd::Whole: ... case PumpEnd::EngineLost: ... }

#include "programs/entry/answerwriter.h"
#include "programs/entry/deliveredtext.h"
#include "programs/entry/shardservices.h"
#include "promise/streamprogress.h"
#include "wire/httpserver.h"

namespace fescuesill
{

enum class PumpEnd {
    Whole, // and written to its end
    CallerGone,
    EngineLost, // and nothing says that this stream can be read on
    Corrupt, // not the text that the engine says it wrote, or not the one that the caller has the start of
    Moved, // planned stop: the caller reads on elsewhere
};

// One generation at one engine.
struct PumpSource {
    std::string address;
    StreamId stream;
    std::string tokenPrefix; // of the resume tokens; empty: none can be made now
};

// The caller's side; lives as long as the request, over several generations.
struct PumpSink {
    HttpReply &reply;
    const AnswerWriter &writer;
    bool isStream = true;
    Tokens maxTokens;
    Offset callerHas; // before this request began: a resumed stream
    DeliveredText delivered = {};
    std::string text = {}; // the whole answer, where it is not streamed
    DecodeEnd end = {};
    std::optional<Instant> firstAt = {};
    Instant lastAt = {};
    bool isStarted = false;
    // Tells the owner of the cell; may be empty.
    std::function<void(Tokens)> onOutput = {};
};

class StreamPump
{
public:
    StreamPump(ShardServices &services, PumpSource source, PumpSink &sink);

    // From an open decode, or (none) by resuming.
    PumpEnd run(std::optional<DecodeStream> opened, const asio::yield_context &yield);
    // The caller has gone; from a handler of the same thread.
    void abandon();

private:
    enum class Step {
        Continue,
        Broken,
        Whole,
        Corrupt,
    };

    PumpEnd readAll(const asio::yield_context &yield);
    bool reattach(const asio::yield_context &yield);
    bool tryResume(const asio::yield_context &yield);
    Step readSome(const asio::yield_context &yield);
    Step take(const DecodeFragment &fragment);
    Step take(const DecodeEnd &end);
    void flush(const asio::yield_context &yield);
    std::string eventId(Offset offset) const;

    ShardServices &services;
    PumpSource source;
    PumpSink &sink;
    StreamProgress progress;
    std::optional<DecodeStream> stream;
    std::vector<DecodeLine> lines;
    std::string out;
    Instant reportedAt;
    int connectFailures = 0;
    bool isGone = false;
};

} // namespace fescuesill
