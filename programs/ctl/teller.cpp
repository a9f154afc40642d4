// One scheduler that takes the version is enough: it is an urgent fact of membership, and whoever hears of it fetches
// the text from there (docs/design/promises.md). Without an answer nothing is lost either, as every host reads the
// table once it can; so a failure here is a word to the operator and no failure of the command.

#include "teller.h"

#include "promise/configpush.h"
#include "wire/platformclient.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>

namespace fescuesill::ctl
{

namespace
{

std::vector<PlatformHost> hostsToTell(Session &session)
{
    std::vector<PlatformHost> all;
    try {
        all = session.hosts();
    } catch (const std::exception &) {
        return {}; // the change itself will say what the platform does not do
    }
    std::map<DataCentreId, int> told;
    std::vector<PlatformHost> chosen;
    for (PlatformHost &host : all) {
        const bool isUsable = host.state != HostState::Leaving && !host.schedulerAdmin.empty();
        if (isUsable && told[host.dataCentre]++ < Teller::schedulersToTell) {
            chosen.push_back(std::move(host));
        }
    }
    return chosen;
}

} // namespace

Teller::Teller(Session &asked, std::optional<KeyRing> operators)
    : session(asked)
    , keys(std::move(operators))
    , hosts(hostsToTell(asked))
{
}

void Teller::tell(const ConfigRecord &record) const
{
    const std::string body = encode(record);
    const std::string target = configPushTarget(body);
    std::vector<Question> questions;
    for (const PlatformHost &host : this->hosts) {
        questions.push_back(
            proven({host.schedulerAdmin, "POST", target, {}, body}, this->keys, host.host, "scheduler"));
    }
    const std::vector<Answer> answers = this->session.ask(questions);
    const auto isTaken = [](const Answer &answer) {
        return answer.status / 100 == 2;
    };
    if (std::any_of(answers.begin(), answers.end(), isTaken)) {
        return;
    }
    std::string reason = "no live scheduler is in the platform's list";
    if (!answers.empty()) {
        const Answer &first = answers.front();
        reason = first.status == 0 ? first.error : first.body.substr(0, first.body.find('\n'));
    }
    fmt::print(stderr, "no scheduler took the version from here, hosts read it from the table: {}\n", reason);
}

} // namespace fescuesill::ctl
