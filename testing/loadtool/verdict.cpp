// Executions carry the steady clock's time, which is the same for all processes of one machine, so "not run" can be
// held against the moment at which it was said: an execution that took effect before it, with no earlier attempt of
// that call left open, breaks the promise, and so does any execution after the last word "not run".

#include "testing/loadtool/verdict.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace fescuesill::standin
{

using nlohmann::json;

namespace
{

constexpr int httpOk = 200;
constexpr std::chrono::milliseconds pollInterval(100);
constexpr std::int64_t settleMargin = 1000; // microseconds between an execution's own time stamp and its reply

} // namespace

Verdict::Verdict(asio::io_context &io, const LoadOptions &options, const std::vector<CallRecord> &records,
                 const asio::yield_context &yield)
    : io(io)
    , options(options)
    , yield(yield)
{
    for (const std::string &engine : options.engines) {
        this->judgeEngine(engine);
    }
    const Executions executions = this->readExecutions();
    for (const CallRecord &record : records) {
        this->judgeCall(record);
        if (record.kind == CallKind::Booking && !options.applications.empty()) {
            this->judgeBooking(record, executions);
        }
    }
}

const std::vector<std::string> &Verdict::faults() const
{
    return this->found;
}

const std::vector<std::string> &Verdict::notes() const
{
    return this->noted;
}

Verdict::Executions Verdict::readExecutions()
{
    Executions executions;
    for (const std::string &application : this->options.applications) {
        const ClientReply reply = fetch(this->io, application, {"GET", "/history"}, this->yield);
        if (reply.status != httpOk) {
            this->found.push_back("no execution log from " + application);
            continue;
        }
        const json history = json::parse(reply.body);
        for (const json &execution : history.at("executions")) {
            if (execution.at("method") != "GET") {
                executions[execution.at("key").get<std::string>()].push_back(
                    execution.at("time_us").get<std::int64_t>());
            }
        }
    }
    return executions;
}

void Verdict::judgeCall(const CallRecord &record)
{
    const std::string line = fmt::format("{} {} call {} key {}{}", outcomeName(record.outcome), kindName(record.kind),
                                         record.id, record.key, record.detail);
    if (record.outcome == Outcome::Lost || record.outcome == Outcome::Broken || record.outcome == Outcome::Wrong) {
        this->found.push_back(line);
    } else if (record.outcome == Outcome::Unknown) {
        this->noted.push_back(line);
    }
}

void Verdict::judgeBooking(const CallRecord &record, const Executions &executions)
{
    const auto ran = executions.find(record.key);
    const std::vector<std::int64_t> times = ran == executions.end() ? std::vector<std::int64_t>() : ran->second;
    if (times.size() > 1) {
        this->found.push_back(fmt::format("doubled booking {}: ran {} times", record.key, times.size()));
    }
    if (record.outcome == Outcome::Done && times.empty()) {
        this->found.push_back(fmt::format("lost booking {}: confirmed and never ran", record.key));
    }
    if (record.outcome == Outcome::Refused && !times.empty()) {
        this->found.push_back(fmt::format("booking {} was told not run and ran", record.key));
    }
    this->judgeNotRun(record, times);
}

void Verdict::judgeNotRun(const CallRecord &record, const std::vector<std::int64_t> &times)
{
    for (const Attempt &attempt : record.attempts) {
        if (attempt.run == "not_run") {
            const auto before = [&](std::int64_t time) {
                return time + settleMargin < attempt.end;
            };
            if (std::any_of(times.begin(), times.end(), before)) {
                this->found.push_back(
                    fmt::format("booking {} ran before attempt {} was told not run", record.key, attempt.number));
            }
        } else {
            // Its own outcome is open: an execution may be this attempt's, whatever a later one is told.
            return;
        }
    }
}

void Verdict::judgeEngine(const std::string &engine)
{
    const auto end = std::chrono::steady_clock::now() + this->options.settle;
    std::string held = "no reply";
    while (std::chrono::steady_clock::now() < end) {
        const ClientReply reply = fetch(this->io, engine, {"GET", "/v1/streams"}, this->yield);
        if (reply.status == httpOk) {
            const json listed = json::parse(reply.body);
            if (listed.at("streams").empty()) {
                return;
            }
            held = listed.dump();
        }
        asio::steady_timer timer(this->io, pollInterval);
        boost::system::error_code ignored;
        timer.async_wait(this->yield[ignored]);
    }
    this->found.push_back(fmt::format("engine {} still holds memory: {}", engine, held));
}

} // namespace fescuesill::standin
