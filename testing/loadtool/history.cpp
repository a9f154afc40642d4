// Records are kept whole: a run has some ten thousand calls. Percentiles are taken from the sorted values, nearest
// rank.

#include "testing/loadtool/history.h"

#include <algorithm>
#include <chrono>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace fescuesill::standin
{

using nlohmann::json;

namespace
{

double percentile(std::vector<std::int64_t> values, double share)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    const auto rank = static_cast<std::size_t>(share * static_cast<double>(values.size()));
    return static_cast<double>(values[std::min(rank, values.size() - 1)]) / 1000;
}

json attemptJson(const char *event, const CallRecord &record, const Attempt &attempt)
{
    return {{"event", event},
            {"call", record.id},
            {"class", kindName(record.kind)},
            {"workspace", record.workspace},
            {"key", record.key},
            {"attempt", attempt.number},
            {"entry", attempt.entry},
            {"resume", attempt.isResume}};
}

std::string summaryLine(CallKind kind, const std::vector<const CallRecord *> &records)
{
    std::map<Outcome, int> outcomes;
    std::vector<std::int64_t> first;
    std::vector<std::int64_t> token;
    int resumes = 0;
    std::size_t attempts = 0;
    for (const CallRecord *record : records) {
        ++outcomes[record->outcome];
        resumes += record->resumes;
        attempts += record->attempts.size();
        if (record->outcome == Outcome::Done) {
            first.push_back(record->firstToken);
            if (record->fragments > 1) {
                token.push_back(record->perToken);
            }
        }
    }
    return fmt::format("{:<11}{:>6}{:>7}{:>8}{:>8}{:>6}{:>7}{:>6}{:>9}{:>8}{:>9.1f}{:>9.1f}{:>9.1f}{:>9.1f}\n",
                       kindName(kind), records.size(), outcomes[Outcome::Done], outcomes[Outcome::Refused],
                       outcomes[Outcome::Unknown], outcomes[Outcome::Lost], outcomes[Outcome::Broken],
                       outcomes[Outcome::Wrong], attempts, resumes, percentile(first, 0.5), percentile(first, 0.95),
                       percentile(token, 0.5), percentile(token, 0.95));
}

} // namespace

std::int64_t steadyMicroseconds()
{
    const auto time = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::microseconds>(time).count();
}

const char *kindName(CallKind kind)
{
    switch (kind) {
    case CallKind::Completion:
        return "completion";
    case CallKind::Chat:
        return "chat";
    case CallKind::Booking:
        return "booking";
    case CallKind::Lookup:
        return "lookup";
    }
    return "?";
}

const char *outcomeName(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Done:
        return "done";
    case Outcome::Refused:
        return "refused";
    case Outcome::Unknown:
        return "unknown";
    case Outcome::Lost:
        return "lost";
    case Outcome::Broken:
        return "broken";
    case Outcome::Wrong:
        return "wrong";
    }
    return "?";
}

History::History(const std::string &file)
{
    if (!file.empty()) {
        this->out.open(file);
    }
}

void History::invoke(const CallRecord &record, const Attempt &attempt)
{
    json line = attemptJson("invoke", record, attempt);
    line["time_us"] = attempt.begin;
    this->out << line.dump() << '\n';
}

void History::reply(const CallRecord &record, const Attempt &attempt)
{
    json line = attemptJson("reply", record, attempt);
    line["time_us"] = attempt.end;
    line["status"] = attempt.status;
    line["code"] = attempt.code;
    line["run"] = attempt.run;
    this->out << line.dump() << '\n';
}

void History::close(const CallRecord &record)
{
    const json line{{"event", "outcome"},
                    {"call", record.id},
                    {"class", kindName(record.kind)},
                    {"workspace", record.workspace},
                    {"key", record.key},
                    {"outcome", outcomeName(record.outcome)},
                    {"attempts", record.attempts.size()},
                    {"resumes", record.resumes},
                    {"restarts", record.restarts},
                    {"fragments", record.fragments},
                    {"first_token_ms", static_cast<double>(record.firstToken) / 1000},
                    {"per_token_ms", static_cast<double>(record.perToken) / 1000},
                    {"detail", record.detail}};
    this->out << line.dump() << std::endl;
    this->closed.push_back(record);
}

void History::skip()
{
    ++this->skipped;
}

const std::vector<CallRecord> &History::records() const
{
    return this->closed;
}

std::string History::summary() const
{
    std::string text = fmt::format("{:<11}{:>6}{:>7}{:>8}{:>8}{:>6}{:>7}{:>6}{:>9}{:>8}{:>18}{:>18}\n", "class",
                                   "calls", "done", "refused", "unknown", "lost", "broken", "wrong", "attempts",
                                   "resumed", "first ms p50 p95", "token ms p50 p95");
    std::map<CallKind, std::vector<const CallRecord *>> byKind;
    for (const CallRecord &record : this->closed) {
        byKind[record.kind].push_back(&record);
    }
    for (const auto &[kind, records] : byKind) {
        text += summaryLine(kind, records);
    }
    return this->skipped == 0 ? text : text + fmt::format("{} calls not made: too many at once\n", this->skipped);
}

} // namespace fescuesill::standin
