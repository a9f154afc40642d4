#pragma once

// The life of one caller's request for a completion: place, read the prompt at one engine, write the answer at another,
// carry it to the caller, and tell the owner of the cell how it ended.
//
//     ModelCall call(services, view, *service, workspace, std::move(request), httpCall, reply);
//     call.run(yield);

#include "programs/entry/placing.h"
#include "programs/entry/promptread.h"
#include "programs/entry/streamids.h"
#include "programs/entry/streampump.h"

namespace fescuesill
{

class ModelCall
{
public:
    ModelCall(ShardServices &services, std::shared_ptr<const EntryView> view, const Service &service,
              const WorkspaceId &workspace, ModelRequest request, const RequestId &id, HttpReply &reply);
    ~ModelCall();
    ModelCall(const ModelCall &) = delete;
    ModelCall &operator=(const ModelCall &) = delete;

    void run(const asio::yield_context &yield);

private:
    // What is to be done next with the request.
    enum class Next {
        AskOwner, // the owner was told of a failure and says how to go on
        Decode,
        Ended,
    };

    void serve(const asio::yield_context &yield);
    std::optional<Placing::Answer> ask(const asio::yield_context &yield);
    Next prefill(const peer::Placed &placed, const asio::yield_context &yield);
    PromptRead::End read(const std::string &address, const asio::yield_context &yield);
    void awaitMemory(const peer::Placed &placed, const asio::yield_context &yield);
    Next decode(const asio::yield_context &yield);
    std::optional<DecodeStream> openDecode(const asio::yield_context &yield, std::optional<DecodeFault> &fault);
    Next failDecode(DecodeFault fault, std::optional<Duration> ran);
    // How long the engine had run the request when it ended, of which this takes note; empty if it still runs.
    std::optional<Duration> ranUntilEnd(const EngineId &engine, const std::string &address, Instant begun,
                                        const asio::yield_context &yield);
    // How long this entry refuses the request since it crashes engines; empty if it may be sent.
    std::optional<Duration> blockedFor();
    void refuseBlocked(Duration blockedFor, const asio::yield_context &yield);
    Next afterPump(PumpEnd end, const asio::yield_context &yield);
    void finishWhole(const asio::yield_context &yield);
    void finishMoved(const asio::yield_context &yield);
    void finishGone();
    void refuse(const Refusal &refusal, const asio::yield_context &yield);
    void cancelStream(peer::RequestOutcome outcome);
    void count(const char *outcome);
    void onGone();
    std::string tokenPrefix() const;
    bool isKvHeld() const;

    ShardServices &services;
    std::shared_ptr<const EntryView> view;
    const Service &service;
    const ServiceClass &serviceClass;
    WorkspaceId workspace;
    ModelRequest request;
    RequestId id;
    HttpReply &reply;
    Instant arrival;
    RequestTrait content; // the whole request
    Placing placing;
    AnswerWriter writer;
    PumpSink sink;

    std::string prefillAddress;
    EngineId decodeEngine;
    std::string decodeAddress;
    StreamId stream;
    KvId kv;
    Instant kvExpiry;
    Instant decodeBegun;
    int generations = 0;
    PromptRead *reading = nullptr;
    StreamPump *pump = nullptr;
    bool isGone = false;
    bool wasPlaced = false;
    bool hasReaderEnded = false; // under this request
    bool isRead = false; // the prompt was read and its result not used yet
};

} // namespace fescuesill
