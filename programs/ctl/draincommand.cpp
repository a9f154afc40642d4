// drain: asks both processes of a host to stop as planned. The request may be repeated without harm.

#include "commands.h"
#include "fleet.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>

namespace fescuesill::ctl
{

namespace
{

constexpr Duration pollPause = 500ms;
// A stream may run for minutes before it is moved.
constexpr Duration defaultLimit = 15min;
constexpr int unauthorized = 401;

bool anyAnswers(Session &session, const std::vector<Question> &questions)
{
    const std::vector<Answer> answers = session.ask(questions);
    return std::any_of(answers.begin(), answers.end(), [](const Answer &answer) { return answer.status != 0; });
}

ExitCode waitUntilGone(Session &session, std::vector<Question> questions, Duration limit)
{
    for (Question &question : questions) {
        question.method = "GET";
        question.target = "/healthz";
    }
    const auto end = std::chrono::steady_clock::now() + limit;
    while (anyAnswers(session, questions)) {
        if (std::chrono::steady_clock::now() >= end) {
            throw CommandError(ExitCode::Failed, "still draining at the limit");
        }
        session.pause(pollPause);
    }
    fmt::print("both processes have ended\n");
    return ExitCode::Ok;
}

std::string refusalOf(const Answer &answer)
{
    if (answer.status != unauthorized) {
        return fmt::format("{} {}", answer.status, answer.error);
    }
    return answer.body.substr(0, answer.body.find('\n')) + "; see --operator-key";
}

} // namespace

ExitCode runDrain(const CommandLine &line)
{
    Session session(platformAddress(line));
    const HostId wanted(line.operands().front());
    const std::vector<PlatformHost> hosts = session.hosts();
    const auto host =
        std::find_if(hosts.begin(), hosts.end(), [&](const PlatformHost &item) { return item.host == wanted; });
    if (host == hosts.end()) {
        throw CommandError(ExitCode::BadInput, fmt::format("no host '{}' in the platform's list", wanted.value()));
    }
    const std::optional<KeyRing> keys = operatorKeys(line);
    const std::vector<Question> questions{proven({host->entryAdmin, "POST", "/drain"}, keys, wanted, "entry"),
                                          proven({host->schedulerAdmin, "POST", "/drain"}, keys, wanted, "scheduler")};
    const std::vector<Answer> answers = session.ask(questions);
    bool begun = true;
    for (std::size_t i = 0; i < questions.size(); ++i) {
        const bool accepted = answers[i].status / 100 == 2;
        begun = begun && accepted;
        fmt::print("{} {}: {}\n", wanted.value(), i == 0 ? "entry" : "scheduler",
                   accepted ? "draining" : "NOT draining: " + refusalOf(answers[i]));
    }
    if (!begun) {
        return ExitCode::Failed;
    }
    return line.has("wait") ? waitUntilGone(session, questions, line.duration("limit", defaultLimit)) : ExitCode::Ok;
}

} // namespace fescuesill::ctl
