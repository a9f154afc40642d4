#pragma once

// One call to a plain endpoint, handed on and its answer handed back.
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

private:
    // What became of one send.
    enum class SendResult {
        Answered,
        NeverSent,
        ReportedNotRun,
        Lost, // may have run
    };

    std::optional<EndpointRecord> choose(Instant now);
    SendResult send(const EndpointRecord &endpoint, const asio::yield_context &yield);
    // Takes a retry from the budget; or why there may be none.
    std::optional<NoRetry> claimRetry(SendResult sent);
    Duration tryLimit() const;
    void finish(SendResult last, const asio::yield_context &yield);
    void answer(const asio::yield_context &yield);
    void refuse(SendResult last, const asio::yield_context &yield);
    void logCallerGone() const;

    const ForwardedCall &call;
    CallAbort abort;
    std::vector<EndpointId> tried;
    int sends = 0; // of which at least a byte left
    bool mayHaveRun = false;
    // Of the last endpoint that answered; kept while another one is asked after an error.
    struct Answer {
        EndpointId endpoint;
        HttpResponse response;
        AnswerHead head;
    };
    std::optional<Answer> answered;
    std::string lastFault;
    NoRetry noRetry = NoRetry::None; // why the last fault was the end
};

} // namespace fescuesill
