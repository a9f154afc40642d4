#pragma once

// One generation: a place reserved at a decode engine, the prompt read by a prefill engine, the events handed on.
//
//     GenerationForward(call).run(yield);

#include "platform/enginedialect.h"
#include "programs/gateway/forwarding.h"
#include "promise/eventrelay.h"

namespace fescuesill
{

class GenerationForward
{
public:
    explicit GenerationForward(const ForwardedCall &forwarded)
        : call(forwarded)
    {
    }

    void run(const asio::yield_context &yield);

private:
    // What became of one try, from the place to the end of the events.
    enum class Ended {
        Whole, // answered, also with an error of the engine's
        NoPlace, // nobody had room in time
        NotRun, // the engine said so, or nothing was sent
        Broken, // may have run
    };
    struct Place {
        EndpointRecord engine;
        ReservationId reservation;
        EngineId prefill; // named by the leader; none where empty
    };
    struct Prefill {
        std::string address;
        KvId result;
    };

    Ended tryOnce(const asio::yield_context &yield);
    std::optional<Place> reserve(const asio::yield_context &yield);
    std::optional<Place> reserveAt(const EndpointRecord &engine, const asio::yield_context &yield);
    std::optional<Prefill> prefill(const Place &place, const asio::yield_context &yield);
    std::optional<Prefill> prefillAt(const EndpointRecord &engine, const asio::yield_context &yield);
    Ended generate(const Place &place, const std::optional<Prefill> &prefill, const asio::yield_context &yield);
    Ended relay(LineStream &events, const asio::yield_context &yield);
    Ended handOnError(LineStream &answer, const AnswerHead &head, const asio::yield_context &yield);
    void noteLostResult(const Place &place);
    void release(const Place &place, const std::optional<Prefill> &prefill);
    void finish(Ended ended, const asio::yield_context &yield);
    // Takes a retry from the budget; or why there may be none.
    std::optional<NoRetry> claimRetry(Ended ended);
    GenerationAsk ask() const;
    PromptKey promptKey() const;
    void report(peer::PlacementEvent event);
    Tokens made() const;
    const EngineTraits &traits() const;
    void checkCaller() const;
    void noteEvents();
    void logEnd(const char *outcome) const;

    const ForwardedCall &call;
    CallAbort abort;
    EventRelay events;
    std::optional<Duration> retryAfter;
    std::string lastFault;
    NoRetry noRetry = NoRetry::None; // why the last fault was the end
    EngineId avoid; // the engine that broke off
    EndpointId engine; // that is or was asked last
    std::int64_t eventsMade = 0; // by the engine asked last
    int sends = 0; // to decode engines, of which at least a byte left
    bool isStarted = false; // the caller has the head of the answer
    bool readsItself = false; // the decode engine reads the prompt: no prefill engine could
    // From the arrival, for the log.
    GenerationTimes times;
    Instant lastEventAt;
    EndpointId prefillEngine; // the prefill engine asked last
};

} // namespace fescuesill
