#pragma once

// Forwards one generation: reserves a place at a decode engine, has a prefill engine process the prompt, and relays the
// events to the caller.
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
    explicit GenerationForward(const ForwardedCall &forwarded);

    void run(const asio::yield_context &yield);
    // Ends a call without the beginning of an answer, which is then answered: this host is about to be killed.
    void onGraceOver();
    // Whether an engine may have got a part of the call.
    bool hasSent() const
    {
        return this->sends > 0 || !this->prefillEngine.isEmpty();
    }

private:
    // The result of one attempt, from the placement to the end of the events.
    enum class Outcome {
        Whole, // answered, possibly with an error of the engine
        NoPlacement, // no engine had room in time, none can be reached from this host, or the request was blocked
        NotRun, // the engine reported that it did not run it, or nothing was sent
        Broken, // failed, and may have run
    };
    struct Place {
        EndpointRecord engine;
        ReservationId reservation;
        EngineId prefill; // chosen by the gate; empty if it chose none
    };
    struct Prefill {
        EndpointId engine;
        std::string address;
        KvId result;
    };

    Outcome tryOnce(const asio::yield_context &yield);
    std::optional<Place> reserve(const asio::yield_context &yield);
    // Whether the request has been blocked meanwhile, or has waited until this host can't finish it before it stops.
    bool mustNotSend();
    void reportCutShort(const EndpointRecord &engine, const asio::yield_context &yield);
    std::optional<Place> reserveAt(const EndpointRecord &engine, const asio::yield_context &yield);
    // Whether the engine states another start than its record, which then names that start.
    bool isOtherStart(EndpointRecord &engine, const asio::yield_context &yield);
    // Whether the reserved place may be used. Fixes the version of a stream that begins there.
    bool checkVersion(Place &place, const asio::yield_context &yield);
    std::optional<Prefill> prefill(const Place &place, const asio::yield_context &yield);
    std::optional<Prefill> prefillAt(const EndpointRecord &engine, const asio::yield_context &yield);
    Outcome generate(const Place &place, const std::optional<Prefill> &prefill, const asio::yield_context &yield);
    Outcome relay(LineStream &events, const EndpointRecord &engine, const asio::yield_context &yield);
    // Whether a body that has ended by its framing is a whole stream. Otherwise sets the last fault.
    bool hasEnded(const EndpointRecord &engine, std::int64_t eventsBefore, const asio::yield_context &yield);
    // The same for one that has ended with its connection.
    bool hasEngineOutlived(const EndpointRecord &engine, std::int64_t eventsBefore, const asio::yield_context &yield);
    Outcome forwardError(LineStream &answer, const AnswerHead &head, const asio::yield_context &yield);
    void reportLostResult(const Place &place);
    void release(const Place &place, const std::optional<Prefill> &prefill);
    void finish(Outcome ended, const asio::yield_context &yield);
    // Takes a retry from the budget and returns nothing, or returns why there is no retry.
    std::optional<NoRetry> claimRetry(Outcome ended);
    GenerationRequest placementRequest() const;
    // Those that rest, and those that may be of another version than their rows say.
    std::vector<EngineId> excludedEngines() const;
    PromptKey promptKey() const;
    void report(peer::PlacementEvent event);
    void reportUnused(const EndpointId &engine);
    Tokens outputTokens() const;
    const EngineTraits &traits() const;
    void checkCaller() const;
    void onFault(const HttpError &error);
    void recordEvents();
    // Gives back what was taken of the workspace's quota.
    void refund();
    void logEnd(const char *outcome) const;

    const ForwardedCall &call;
    CallAbort abort;
    bool isGraceOver = false;
    EventRelay events;
    std::optional<Duration> retryAfter;
    std::optional<CreditDecision> noCredit; // why the workspace's quota allows no call now
    std::optional<Duration> blockedFor; // the request, since such requests crash engines
    std::string lastFault;
    BodyFraming framing = BodyFraming::Length; // of the last response of a decode engine
    EndEvidence endEvidence = EndEvidence::None; // of that response
    bool isCutShort = false; // the engine ended the last answer before it was whole
    bool hasReaderEnded = false; // an engine ended while it read the prompt
    bool hasNoPath = false; // the last fault is that this host reaches no endpoint
    NoRetry noRetry = NoRetry::None; // why the last fault was not retried
    std::vector<EngineId> otherStarts; // engines that may have started again since their rows were written
    EngineId avoid; // the engine that failed during the last attempt
    EndpointId engine; // the decode engine of the current or last attempt
    SoftwareVersion version; // of that engine
    // The only version that may go on with a resumable stream; empty until a place is reserved.
    SoftwareVersion streamVersion;
    bool isVersionUnknown = false; // of the stream that begins at the reserved place
    std::int64_t eventsProduced = 0; // complete events received so far
    Instant sentAt; // of the last request to a decode engine
    std::optional<Instant> firstEventAt; // of the answer to it
    int sends = 0; // requests to decode engines of which at least one byte was sent
    bool mayHaveRun = false; // an attempt failed after it was sent
    bool isCharged = false; // to the workspace's quota
    bool hasRun = false; // an engine has answered
    bool isStarted = false; // the head of the response was sent to the caller
    bool isSelfPrefilled = false; // the decode engine runs the prefill itself, since no prefill engine could
    // For the log and the metrics.
    GenerationTimes times;
    Instant lastEventAt;
    EndpointId prefillEngine; // the last one that a prefill was sent to
};

} // namespace fescuesill
