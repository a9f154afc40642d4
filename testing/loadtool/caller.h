#pragma once

// One caller's behaviour from its call to what it is left with: which entry it asks, what it does when told to come
// back, when a connection breaks, and how it tells that the answer is its own and whole.
//
//     Caller caller(io, options, balancer, history, yield, isPatient);
//     caller.run(record);            // fills in outcome and attempts

#include "testing/loadtool/balancer.h"
#include "testing/loadtool/eventstream.h"
#include "testing/loadtool/history.h"
#include "testing/loadtool/loadoptions.h"

#include <nlohmann/json_fwd.hpp>

namespace fescuesill::standin
{

class Caller
{
public:
    // What all callers of a run share.
    struct Surroundings {
        asio::io_context &io;
        const LoadOptions &options;
        Balancer &balancer;
        History &history;
    };

    // A patient caller honours Retry-After, the others come back at once.
    Caller(const Surroundings &surroundings, bool isPatient, const asio::yield_context &yield);

    void run(CallRecord &record);

private:
    // How one attempt ended.
    enum class Step {
        Whole,
        Cut, // the connection broke or fell silent
        ComeBack, // refused for now
        Final, // refused for good
    };

    void runModel(CallRecord &record);
    void runPlain(CallRecord &record);
    ClientCall modelCall(const CallRecord &record) const;
    ClientCall plainCall(const CallRecord &record) const;
    Step attemptModel(CallRecord &record, Attempt &attempt);
    Step readEvents(EventStream &stream, CallRecord &record, Attempt &attempt);
    Step readAnswer(EventStream &stream, CallRecord &record, Attempt &attempt);
    bool takeEvent(const ServerEvent &event, CallRecord &record, Attempt &attempt);
    Step readRefusal(const std::string &body, Attempt &attempt) const;
    void judgeModel(CallRecord &record, Step last) const;
    Step attemptPlain(CallRecord &record, Attempt &attempt);
    void judgePlain(CallRecord &record, Step last) const;
    void noteFragment(CallRecord &record, const std::string &more);
    Attempt beginAttempt(CallRecord &record, bool isResume);
    void endAttempt(CallRecord &record, Attempt &attempt);
    void pause(std::chrono::milliseconds time);

    const Surroundings &around;
    bool isPatient;
    asio::yield_context yield;

    std::string entry; // asked last
    std::string text; // of the answer up to now
    std::string lastEventId;
    std::int64_t lastFragmentTime = 0;
    std::chrono::milliseconds retryAfter{0};
    bool mayHaveRun = false; // some attempt's outcome is not known
    bool isDone = false; // the stream said that it is complete
};

} // namespace fescuesill::standin
