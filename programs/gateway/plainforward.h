#pragma once

// Forwards one call to a plain endpoint and returns its response to the caller.
//
//     PlainForward(call).run(yield);

#include "programs/gateway/forwarding.h"

namespace fescuesill
{

class PlainForward
{
public:
    explicit PlainForward(const ForwardedCall &forwarded)
        : call(forwarded)
    {
    }

    void run(const asio::yield_context &yield);
    // Ends the call, which is then answered if it has no answer yet: this host is about to be killed.
    void onGraceOver()
    {
        this->isGraceOver = true;
        this->abort.abort();
    }
    // Whether an endpoint may have got the call.
    bool hasSent() const
    {
        return this->sends > 0;
    }

private:
    // The result of one send.
    enum class SendResult {
        Answered,
        NeverSent,
        NoPath, // nothing was sent: this host reaches no endpoint
        ReportedNotRun,
        Lost, // failed, and may have run
    };

    // Also takes a permit for the call if the endpoint states a limit.
    std::optional<EndpointRecord> choose(const asio::yield_context &yield);
    // Replaces the choice by the endpoint that has a slot for the call if the choice is limited. Returns false if none
    // has.
    bool takeSlot(EndpointId &chosen, const std::vector<EndpointCandidate> &candidates,
                  const asio::yield_context &yield);
    SendResult send(const EndpointRecord &endpoint, const asio::yield_context &yield);
    void reportCutShort(const EndpointRecord &endpoint, Instant begun, const asio::yield_context &yield);
    // Whether the endpoint lives on after an answer that has ended with its connection.
    bool hasOutlived(const EndpointRecord &endpoint, Instant begun, const asio::yield_context &yield);
    // Takes a retry from the budget and returns nothing, or returns why there is no retry.
    std::optional<NoRetry> claimRetry(SendResult sent);
    bool hasCallerGone() const
    {
        return this->abort.isAborted() && !this->isGraceOver;
    }
    // The endpoints that the call was not sent to.
    std::vector<EndpointCandidate> untried() const;
    Duration tryLimit() const;
    void finish(SendResult last, const asio::yield_context &yield);
    void answer(const asio::yield_context &yield);
    void refuse(SendResult last, const asio::yield_context &yield);
    void logCallerGone() const;

    const ForwardedCall &call;
    CallAbort abort;
    bool isGraceOver = false;
    std::vector<EndpointId> tried;
    std::optional<Duration> limitedFor; // until one of the endpoints that were passed over may take a call
    SlotClaim slot; // of the endpoint that the call is sent to
    std::optional<Duration> slotDeniedFor;
    int sends = 0; // of which at least one byte was sent
    bool mayHaveRun = false;
    // The response of the last endpoint that answered; an error response is kept while another endpoint is tried.
    struct Answer {
        EndpointId endpoint;
        HttpResponse response;
        AnswerHead head;
    };
    std::optional<Answer> answered;
    std::string lastFault;
    NoRetry noRetry = NoRetry::None; // why the last fault was not retried
};

} // namespace fescuesill
