#pragma once

// What a run has to answer for: compares what callers were told with what endpoints did.
//
//     Verdict verdict(io, options, history.records(), yield);
//     verdict.faults();               // one line each; empty: nothing lost, doubled or broken
//     verdict.notes();                // worth knowing, no broken promise

#include "testing/loadtool/history.h"
#include "testing/loadtool/loadoptions.h"
#include "testing/standin/httpclient.h"

namespace fescuesill::standin
{

class Verdict
{
public:
    // Asks the endpoints and engines; waits for engines to free their memory.
    Verdict(asio::io_context &io, const LoadOptions &options, const std::vector<CallRecord> &records,
            const asio::yield_context &yield);

    const std::vector<std::string> &faults() const;
    const std::vector<std::string> &notes() const;

private:
    using Executions = std::map<std::string, std::vector<std::int64_t>>; // times by key

    Executions readExecutions();
    void judgeCall(const CallRecord &record);
    void judgeBooking(const CallRecord &record, const Executions &executions);
    void judgeNotRun(const CallRecord &record, const std::vector<std::int64_t> &times);
    void judgeEngine(const std::string &engine);

    asio::io_context &io;
    const LoadOptions &options;
    asio::yield_context yield;
    std::vector<std::string> found;
    std::vector<std::string> noted;
};

} // namespace fescuesill::standin
