#include "fleet.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace fescuesill::ctl
{

namespace
{

using Json = nlohmann::json;

std::string textAt(const Json &json, const char *name)
{
    const auto found = json.find(name);
    return found != json.end() && found->is_string() ? found->get<std::string>() : std::string();
}

bool flagAt(const Json &json, const char *name)
{
    const auto found = json.find(name);
    return found != json.end() && found->is_boolean() && found->get<bool>();
}

std::string stateOf(const Json &json)
{
    std::string state = textAt(json, "state");
    if (!state.empty()) {
        return state;
    }
    if (flagAt(json, "draining")) {
        return "draining";
    }
    return flagAt(json, "serving") ? "serving" : "not serving";
}

Json listAt(const Json &json, const char *name)
{
    const auto found = json.find(name);
    return found != json.end() && found->is_array() ? *found : Json::array();
}

} // namespace

std::string ProcessView::name() const
{
    return fmt::format("{} {} ({})", this->host.value(), this->kind,
                       this->address.empty() ? "no address" : this->address);
}

std::vector<ProcessView> askFleet(Session &session, const std::string &target)
{
    std::vector<ProcessView> processes;
    for (const PlatformHost &host : session.hosts()) {
        const bool leaving = host.state == HostState::Leaving;
        processes.push_back({host.host, host.dataCentre, "entry", host.entryAdmin, leaving, {}});
        processes.push_back({host.host, host.dataCentre, "scheduler", host.schedulerAdmin, leaving, {}});
    }
    std::vector<Question> questions;
    questions.reserve(processes.size());
    for (const ProcessView &process : processes) {
        questions.push_back({process.address, "GET", target});
    }
    const std::vector<Answer> answers = session.ask(questions);
    for (std::size_t i = 0; i < processes.size(); ++i) {
        processes[i].answer = answers[i];
    }
    return processes;
}

std::optional<ProcessStatus> readStatus(const ProcessView &process)
{
    const Json json = Json::parse(process.answer.body, nullptr, false);
    if (!process.answered() || !json.is_object()) {
        return std::nullopt;
    }
    ProcessStatus status;
    const auto version = json.find("version");
    if (version != json.end() && version->is_number_integer()) {
        status.version = version->get<std::int64_t>();
    }
    status.state = stateOf(json);
    for (const Json &cell : listAt(json, "cells")) {
        status.cells.push_back({textAt(cell, "model"), textAt(cell, "data_centre"), textAt(cell, "owner")});
    }
    for (const Json &mode : listAt(json, "degraded")) {
        // A process that does not keep the time gives the bare name.
        const bool bare = mode.is_string();
        status.degraded.push_back({bare ? mode.get<std::string>() : textAt(mode, "mode"), textAt(mode, "since")});
    }
    return status;
}

} // namespace fescuesill::ctl
