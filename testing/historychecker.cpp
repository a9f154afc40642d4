#include "testing/historychecker.h"

#include <algorithm>
#include <fmt/format.h>
#include <functional>
#include <map>

// Each promise is a check of its own over the whole history, written as directly as it can be said; none shares an
// assumption with the code that it judges. The checks run in the order of the brief's list, so "first" is the first
// promise, at its first event.
//
// "Not run" is judged twice: nothing was executed for that very request, ever; and nothing had been executed under its
// key when the caller was told, also not for an earlier request, since the caller would take the key's work for undone.

namespace fescuesill
{
namespace
{

using Found = std::optional<std::vector<HistoryEvent>>;

template<typename T>
const T *as(const HistoryEvent &event)
{
    return std::get_if<T>(&event.fact);
}

// Calls visit(event, fact) for each fact of the type until it returns something.
template<typename T, typename Visit>
Found firstOf(const History &history, Visit visit)
{
    for (const HistoryEvent &event : history.events) {
        if (const T *fact = as<T>(event)) {
            if (Found found = visit(event, *fact)) {
                return found;
            }
        }
    }
    return std::nullopt;
}

std::optional<HistoryEvent> freedEvent(const History &history, const history::MemoryTaken &taken)
{
    for (const HistoryEvent &event : history.events) {
        const auto *freed = as<history::MemoryFreed>(event);
        if (freed != nullptr && freed->engine == taken.engine && freed->stream == taken.stream) {
            return event;
        }
    }
    return std::nullopt;
}

Found findHeldMemory(const History &history, const HistoryChecker::Options &options)
{
    return firstOf<history::MemoryTaken>(history, [&](const HistoryEvent &takenAt, const auto &taken) -> Found {
        return firstOf<history::Gone>(history, [&](const HistoryEvent &goneAt, const auto &gone) -> Found {
            if (gone.request != taken.request) {
                return std::nullopt;
            }
            const Instant limit = std::max(goneAt.at, takenAt.at) + options.memoryFreed;
            const auto freed = freedEvent(history, taken);
            if (freed ? freed->at <= limit : history.events.back().at <= limit) {
                return std::nullopt;
            }
            return freed ? std::vector{takenAt, goneAt, *freed} : std::vector{takenAt, goneAt};
        });
    });
}

Found findSecondAnswer(const History &history, const HistoryChecker::Options &)
{
    std::map<RequestId, HistoryEvent> ended;
    const auto visit = [&](const HistoryEvent &event, const RequestId &request) -> Found {
        const auto [first, inserted] = ended.emplace(request, event);
        return inserted ? Found() : std::vector{first->second, event};
    };
    for (const HistoryEvent &event : history.events) {
        Found found;
        if (const auto *answered = as<history::Answered>(event)) {
            found = visit(event, answered->request);
        } else if (const auto *refused = as<history::Refused>(event)) {
            found = visit(event, refused->request);
        }
        if (found) {
            return found;
        }
    }
    return std::nullopt;
}

// What was really produced for the request: by an engine, or by the endpoint under the request's key.
std::vector<HistoryEvent> productsFor(const History &history, const RequestId &request)
{
    std::string key;
    for (const HistoryEvent &event : history.events) {
        const auto *sent = as<history::Sent>(event);
        if (sent != nullptr && sent->request == request) {
            key = sent->key;
        }
    }
    std::vector<HistoryEvent> products;
    for (const HistoryEvent &event : history.events) {
        const auto *wrote = as<history::Wrote>(event);
        const auto *executed = as<history::Executed>(event);
        const bool forRequest = (wrote != nullptr && wrote->request == request)
            || (executed != nullptr && (executed->request == request || (!key.empty() && executed->key == key)));
        if (forRequest) {
            products.push_back(event);
        }
    }
    return products;
}

std::string productText(const HistoryEvent &event)
{
    const auto *wrote = as<history::Wrote>(event);
    return wrote != nullptr ? wrote->text : as<history::Executed>(event)->result;
}

Found findWrongAnswer(const History &history, const HistoryChecker::Options &)
{
    return firstOf<history::Answered>(history, [&](const HistoryEvent &event, const auto &answered) -> Found {
        std::vector<HistoryEvent> events = productsFor(history, answered.request);
        const bool own = std::any_of(events.begin(), events.end(),
                                     [&](const HistoryEvent &made) { return productText(made) == answered.text; });
        events.push_back(event);
        return own ? Found() : events;
    });
}

std::string keyOf(const History &history, const RequestId &request)
{
    for (const HistoryEvent &event : history.events) {
        const auto *sent = as<history::Sent>(event);
        if (sent != nullptr && sent->request == request) {
            return sent->key;
        }
    }
    return {};
}

Found findRunInSpite(const History &history, const HistoryChecker::Options &)
{
    return firstOf<history::Refused>(history, [&](const HistoryEvent &told, const auto &refused) -> Found {
        if (refused.run != RunState::NotRun) {
            return std::nullopt;
        }
        const std::string key = keyOf(history, refused.request);
        return firstOf<history::Executed>(history, [&](const HistoryEvent &ran, const auto &executed) -> Found {
            const bool itself = executed.request == refused.request;
            const bool earlier = !key.empty() && executed.key == key && ran.at <= told.at;
            return itself || earlier ? Found(std::vector{told, ran}) : Found();
        });
    });
}

Found findSecondRun(const History &history, const HistoryChecker::Options &)
{
    std::map<std::string, HistoryEvent> ran;
    return firstOf<history::Executed>(history, [&](const HistoryEvent &event, const auto &executed) -> Found {
        if (executed.key.empty()) {
            return std::nullopt;
        }
        const auto [first, inserted] = ran.emplace(executed.key, event);
        return inserted ? Found() : Found(std::vector{first->second, event});
    });
}

Found findWorkForLeaving(const History &history, const HistoryChecker::Options &options)
{
    return firstOf<history::Leaving>(history, [&](const HistoryEvent &left, const auto &leaving) -> Found {
        return firstOf<history::WorkSent>(history, [&](const HistoryEvent &sent, const auto &work) -> Found {
            const bool late = work.endpoint == leaving.endpoint && sent.at > left.at + options.leavingSeen;
            return late ? Found(std::vector{left, sent}) : Found();
        });
    });
}

Found findCutByStop(const History &history, const HistoryChecker::Options &)
{
    return firstOf<history::StopBegan>(history, [&](const HistoryEvent &stopped, const auto &stop) -> Found {
        return firstOf<history::Cut>(history, [&](const HistoryEvent &event, const auto &cut) -> Found {
            const bool byStop = cut.host == stop.host && event.at >= stopped.at;
            return byStop ? Found(std::vector{stopped, event}) : Found();
        });
    });
}

Found findOldConfiguration(const History &history, const HistoryChecker::Options &options)
{
    std::map<HostId, HistoryEvent> lastTaken;
    std::map<ConfigVersion, HistoryEvent> accepted;
    for (const HistoryEvent &event : history.events) {
        if (const auto *change = as<history::ConfigAccepted>(event)) {
            const auto [first, inserted] = accepted.emplace(change->version, event);
            const auto *known = as<history::ConfigAccepted>(first->second);
            if (!inserted && known->changeId != change->changeId) {
                return std::vector{first->second, event};
            }
            continue;
        }
        const auto *work = as<history::WorkTaken>(event);
        if (work == nullptr) {
            continue;
        }
        const auto [last, first] = lastTaken.emplace(work->host, event);
        if (!first && as<history::WorkTaken>(last->second)->version > work->version) {
            return std::vector{last->second, event};
        }
        last->second = event;
        for (const auto &[version, change] : accepted) {
            if (version > work->version && event.at > change.at + options.configInForce) {
                return std::vector{change, event};
            }
        }
    }
    return std::nullopt;
}

struct PromiseCheck {
    Promise promise;
    std::function<Found(const History &, const HistoryChecker::Options &)> find;
};

const std::vector<PromiseCheck> &allChecks()
{
    static const std::vector<PromiseCheck> checks{
        {Promise::NoMemoryHeldForTheGone, findHeldMemory},
        {Promise::NotAnsweredTwice, findSecondAnswer},
        {Promise::OwnWholeAnswer, findWrongAnswer},
        {Promise::NotRunMeansNotRun, findRunInSpite},
        {Promise::AtMostOnce, findSecondRun},
        {Promise::NothingNewForTheLeaving, findWorkForLeaving},
        {Promise::PlannedStopCutsNothing, findCutByStop},
        {Promise::ConfigurationInForceAndKept, findOldConfiguration},
    };
    return checks;
}

struct LineOfFact {
    std::string operator()(const history::Sent &f) const
    {
        return fmt::format("caller sent {} key '{}'", f.request.value(), f.key);
    }
    std::string operator()(const history::Answered &f) const
    {
        return fmt::format("caller of {} got '{}'", f.request.value(), f.text);
    }
    std::string operator()(const history::Refused &f) const
    {
        return fmt::format("caller of {} was told {}", f.request.value(), runStateName(f.run));
    }
    std::string operator()(const history::Cut &f) const
    {
        return fmt::format("caller of {} was cut off by {}", f.request.value(), f.host.value());
    }
    std::string operator()(const history::Gone &f) const
    {
        return fmt::format("caller of {} went away", f.request.value());
    }
    std::string operator()(const history::Executed &f) const
    {
        return fmt::format("endpoint ran key '{}' for {}: '{}'", f.key, f.request.value(), f.result);
    }
    std::string operator()(const history::Wrote &f) const
    {
        return fmt::format("engine wrote '{}' for {}", f.text, f.request.value());
    }
    std::string operator()(const history::MemoryTaken &f) const
    {
        return fmt::format("{} took memory for stream {} of {}", f.engine.value(), f.stream.value(), f.request.value());
    }
    std::string operator()(const history::MemoryFreed &f) const
    {
        return fmt::format("{} freed the memory of stream {}", f.engine.value(), f.stream.value());
    }
    std::string operator()(const history::Leaving &f) const
    {
        return fmt::format("{} was declared leaving", f.endpoint.value());
    }
    std::string operator()(const history::WorkSent &f) const
    {
        return fmt::format("{} was sent {}", f.endpoint.value(), f.request.value());
    }
    std::string operator()(const history::StopBegan &f) const
    {
        return fmt::format("planned stop of {} began", f.host.value());
    }
    std::string operator()(const history::ConfigAccepted &f) const
    {
        return fmt::format("version {} was accepted as change {}", f.version.value(), f.changeId);
    }
    std::string operator()(const history::WorkTaken &f) const
    {
        return fmt::format("{} took work under version {}", f.host.value(), f.version.value());
    }
};

} // namespace

std::string lineOf(const HistoryEvent &event)
{
    return fmt::format("{:>12} us  {}", event.at.time_since_epoch().count(), std::visit(LineOfFact{}, event.fact));
}

std::string promiseName(Promise promise)
{
    switch (promise) {
    case Promise::NoMemoryHeldForTheGone:
        return "no engine memory stays held by a request whose caller has gone";
    case Promise::NotAnsweredTwice:
        return "no request is answered twice";
    case Promise::OwnWholeAnswer:
        return "every caller receives the whole answer to its own request";
    case Promise::NotRunMeansNotRun:
        return "when a caller is told a request was not run, it was not run";
    case Promise::AtMostOnce:
        return "a booking, allotment or deposit runs at most once";
    case Promise::NothingNewForTheLeaving:
        return "an endpoint that is leaving receives no new work after a few seconds";
    case Promise::PlannedStopCutsNothing:
        return "a planned stop cuts off no request in progress";
    case Promise::ConfigurationInForceAndKept:
        return "an accepted configuration is in force everywhere within seconds and never reverts";
    }
    return "";
}

std::string Violation::text() const
{
    std::string text = "broken: " + promiseName(this->promise);
    for (const HistoryEvent &event : this->events) {
        text += "\n  " + lineOf(event);
    }
    return text;
}

HistoryChecker::HistoryChecker(Options options)
    : options(options)
{
}

std::optional<Violation> HistoryChecker::check(const History &history) const
{
    for (const PromiseCheck &check : allChecks()) {
        if (Found found = check.find(history, this->options)) {
            return Violation{check.promise, std::move(*found)};
        }
    }
    return std::nullopt;
}

} // namespace fescuesill
