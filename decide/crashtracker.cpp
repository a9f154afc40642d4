// A crash suspects every request that ran at the endpoint, and each of their traits. The trait that caused it is among
// the suspects of each further crash, while the others are not, or are answered elsewhere: one answer clears all parts
// of its request.
//
// Endpoints that end together, as with a lost rack, have another cause, however many requests with a part ran there. So
// for a part, a further crash counts only if its request was sent after the crash before it: only then can the part
// have caused both. Where many end, one fewer of these is enough. Copies of one whole request rarely run at several
// endpoints at once, unless their callers repeat it without waiting; then they end these together, so each crash counts
// for a whole request.
//
// Requests that share a trait mostly share others as well, such as the first part of the prompt, which all requests of
// their caller have. So requests are blocked only if they have all the traits that the suspected ones have in common.
// Callers who share some of these are served on, and their answers clear them. A crash that a larger set explains is
// not counted for smaller ones, such as the first part alone. But where several whole requests were repeated, each of
// which explains its own crashes, what they share is the simpler cause: these crashes count for a part as well. Of sets
// of one size, that one explains a crash whose requests were more often the last to be sent: an endpoint ends as it
// begins to answer. Of these, the one with more crashes. Fewer answers go before both.
//
// Whole requests have a bound of their own: once enough endpoints have ended under one, it is blocked whatever else may
// explain that, unless it is answered often and another one never. The answer to a trial forgives the crashes before
// it, but not the next one.

#include "decide/crashtracker.h"

#include <algorithm>

namespace fescuesill
{
namespace
{

// A request that has the property has both, and a crash at a writer shows the first only.
RequestTraits withoutCovered(RequestTraits traits)
{
    const auto isCovered = [all = traits](const RequestTrait &trait) {
        return trait.isWhenRead() && std::binary_search(all.begin(), all.end(), trait.base());
    };
    traits.erase(std::remove_if(traits.begin(), traits.end(), isCovered), traits.end());
    return traits;
}

} // namespace

bool CrashTracker::isKnown(const CrashedRun &run, const RequestTraits &traits) const
{
    const auto crash = this->crashes.find(run.endpoint);
    return crash != this->crashes.end()
        && std::any_of(crash->second.runs.begin(), crash->second.runs.end(),
                       [&](RunNumber number) { return this->runOf(number).traits == traits; });
}

void CrashTracker::onCrash(const CrashedRun &run, const RequestTraits &given)
{
    RequestTraits traits = given;
    std::sort(traits.begin(), traits.end());
    traits.erase(std::unique(traits.begin(), traits.end()), traits.end());
    if (this->isKnown(run, traits)) {
        return;
    }
    if (this->runs.size() >= this->options.maxRuns) {
        this->forgetFirst();
    }
    const RunNumber number = this->firstRun + this->runs.size();
    const SuspectedRun &added = this->runs.emplace_back(SuspectedRun{run, std::move(traits)});
    Crash &crash = this->crashes[run.endpoint];
    crash.runs.push_back(number);
    crash.lastBegun = std::max(crash.lastBegun, run.begun);
    for (const RequestTrait &trait : added.traits) {
        this->suspect(trait, number);
    }
}

void CrashTracker::suspect(const RequestTrait &trait, RunNumber number)
{
    const CrashedRun &run = this->runOf(number).run;
    RunNumbers &numbers = this->suspects[trait.value()];
    const auto same = std::find_if(numbers.begin(), numbers.end(), [this, &run](RunNumber other) {
        return this->runOf(other).run.endpoint == run.endpoint;
    });
    if (same != numbers.end()) {
        if (this->runOf(*same).run.begun >= run.begun) {
            return;
        }
        numbers.erase(same);
    }
    numbers.push_back(number);
    if (numbers.size() > this->options.maxCrashesOfTrait) {
        numbers.erase(numbers.begin());
    }
    if (static_cast<int>(numbers.size()) >= this->crashesToBlock(trait)) {
        this->frequent.insert(trait);
    }
}

void CrashTracker::dropSuspect(const RequestTrait &trait)
{
    this->suspects.erase(trait.value());
    this->answers.erase(trait.value());
    this->frequent.erase(trait);
}

void CrashTracker::forgetFirst()
{
    for (const RequestTrait &trait : this->runs.front().traits) {
        const auto found = this->suspects.find(trait.value());
        if (found == this->suspects.end()) {
            continue; // only the last run of each start of an endpoint is there
        }
        RunNumbers &numbers = found->second;
        if (numbers.front() == this->firstRun) {
            numbers.erase(numbers.begin());
        }
        if (numbers.empty()) {
            this->dropSuspect(trait);
        }
    }
    const auto crash = this->crashes.find(this->runs.front().run.endpoint);
    crash->second.runs.erase(crash->second.runs.begin());
    if (crash->second.runs.empty()) {
        this->crashes.erase(crash);
    }
    this->runs.pop_front();
    ++this->firstRun;
}

void CrashTracker::expire(Instant now)
{
    while (!this->runs.empty() && now - this->runs.front().run.ended > this->options.memory) {
        this->forgetFirst();
    }
}

RequestTraits CrashTracker::onServed(const RequestTraits &traits, Instant begun)
{
    RequestTraits cleared;
    std::copy_if(traits.begin(), traits.end(), std::back_inserter(cleared), [this, begun](const RequestTrait &trait) {
        return !trait.isWholeRequest() || this->isClearedByAnswer(trait, begun);
    });
    this->forget(cleared);
    return cleared;
}

bool CrashTracker::isClearedByAnswer(const RequestTrait &trait, Instant begun)
{
    const RunNumbers &numbers = this->runsWith(trait);
    if (numbers.empty()) {
        return true;
    }
    Answers &given = this->answers[trait.value()];
    ++given.count;
    const bool isLater = std::all_of(numbers.begin(), numbers.end(),
                                     [this, begun](RunNumber number) { return begun > this->runOf(number).run.ended; });
    if (isLater && this->isSuspect(trait, numbers)) {
        given.forgivenBefore = this->firstRun + this->runs.size();
    }
    return given.count >= this->options.answersToForget * this->countOf(trait, numbers);
}

void CrashTracker::forget(const RequestTraits &traits)
{
    for (const RequestTrait &trait : traits) {
        if (this->suspects.count(trait.value()) == 0) {
            continue;
        }
        this->dropSuspect(trait);
        for (SuspectedRun &run : this->runs) {
            run.traits.erase(std::remove(run.traits.begin(), run.traits.end(), trait), run.traits.end());
        }
    }
}

int CrashTracker::longestSeries(const RunNumbers &numbers) const
{
    std::vector<CrashedRun> ordered;
    ordered.reserve(numbers.size());
    for (const RunNumber number : numbers) {
        ordered.push_back(this->runOf(number).run);
    }
    std::sort(ordered.begin(), ordered.end(),
              [](const CrashedRun &a, const CrashedRun &b) { return a.ended < b.ended; });
    int count = 0;
    Instant lastEnd = Instant::min();
    for (const CrashedRun &run : ordered) {
        if (run.begun > lastEnd) {
            ++count;
            lastEnd = run.ended;
        }
    }
    return count;
}

int CrashTracker::countOf(const RequestTrait &trait, const RunNumbers &numbers) const
{
    const int all = static_cast<int>(numbers.size());
    if (trait.isWholeRequest()) {
        return all;
    }
    return this->longestSeries(numbers) + (all >= this->options.overlappingPartCrashes ? 1 : 0);
}

std::set<EndpointStart> CrashTracker::endpointsOf(const RunNumbers &numbers) const
{
    std::set<EndpointStart> endpoints;
    for (const RunNumber number : numbers) {
        endpoints.insert(this->runOf(number).run.endpoint);
    }
    return endpoints;
}

int CrashTracker::crashesToBlock(const RequestTrait &trait) const
{
    return trait.isWholeRequest() ? this->options.requestCrashes : this->options.partCrashes;
}

bool CrashTracker::isSuspect(const RequestTrait &trait, const RunNumbers &numbers) const
{
    const Answers given = this->answersTo(trait);
    const int crashes = this->countOf(trait, numbers);
    const bool isForgiven = numbers.back() < given.forgivenBefore;
    return !isForgiven && crashes >= this->crashesToBlock(trait)
        && given.count < this->options.answersOfCrash * crashes;
}

CrashTracker::Answers CrashTracker::answersTo(const RequestTrait &trait) const
{
    const auto given = this->answers.find(trait.value());
    return given == this->answers.end() ? Answers{} : given->second;
}

RequestTraits CrashTracker::inCommon(const RunNumbers &numbers) const
{
    RequestTraits common = this->runOf(numbers.front()).traits;
    for (const RunNumber number : numbers) {
        const RequestTraits &others = this->runOf(number).traits;
        RequestTraits both;
        std::set_intersection(common.begin(), common.end(), others.begin(), others.end(), std::back_inserter(both));
        common = std::move(both);
    }
    return withoutCovered(std::move(common));
}

const CrashTracker::RunNumbers &CrashTracker::runsWith(const RequestTrait &trait) const
{
    static const RunNumbers none;
    const auto suspect = this->suspects.find(trait.value());
    return suspect == this->suspects.end() ? none : suspect->second;
}

int CrashTracker::crashesUnder(const RequestTraits &traits) const
{
    int most = 0;
    for (const RequestTrait &trait : traits) {
        if (trait.isWholeRequest()) {
            most = std::max(most, this->countOf(trait, this->runsWith(trait)));
        }
    }
    return most;
}

RequestTraits CrashTracker::watchedOf(const RequestTraits &traits) const
{
    const int fewest = this->options.watchedCrashes;
    RequestTraits found;
    for (const RequestTrait &trait : traits) {
        const RunNumbers &numbers = this->runsWith(trait);
        // Most traits have one run, which need not be examined.
        if (static_cast<int>(numbers.size()) >= fewest && this->countOf(trait, numbers) >= fewest) {
            found.push_back(trait);
        }
    }
    return found;
}

int CrashTracker::lastSent(const RunNumbers &numbers) const
{
    return static_cast<int>(std::count_if(numbers.begin(), numbers.end(), [this](RunNumber number) {
        const CrashedRun &run = this->runOf(number).run;
        return run.begun == this->crashes.at(run.endpoint).lastBegun;
    }));
}

std::set<EndpointStart> CrashTracker::crashesOf(const RequestTraits &traits) const
{
    std::set<EndpointStart> found;
    for (const SuspectedRun &run : this->runs) {
        if (std::includes(run.traits.begin(), run.traits.end(), traits.begin(), traits.end())) {
            found.insert(run.run.endpoint);
        }
    }
    return found;
}

std::vector<SuspectedRun> CrashTracker::known(std::size_t maxTraits) const
{
    std::vector<SuspectedRun> watched;
    std::vector<SuspectedRun> others;
    for (auto run = this->runs.rbegin(); run != this->runs.rend(); ++run) {
        RequestTraits traits = this->watchedOf(run->traits);
        const bool isWatched = !traits.empty();
        for (const RequestTrait &trait : run->traits) {
            if (trait.isWholeRequest() && std::find(traits.begin(), traits.end(), trait) == traits.end()) {
                traits.push_back(trait);
            }
        }
        if (!traits.empty()) {
            (isWatched ? watched : others).push_back({run->run, std::move(traits)});
        }
    }
    watched.insert(watched.end(), others.begin(), others.end());
    std::size_t count = 0;
    const auto end = std::find_if(watched.begin(), watched.end(), [&](const SuspectedRun &run) {
        count += run.traits.size();
        return count > maxTraits;
    });
    watched.erase(end, watched.end());
    std::reverse(watched.begin(), watched.end()); // in the order of the reports, but for the two groups
    return watched;
}

bool CrashTracker::isProven(const RequestTraits &traits) const
{
    return std::any_of(traits.begin(), traits.end(), [this](const RequestTrait &trait) {
        const RunNumbers &numbers = this->runsWith(trait);
        const int crashes = static_cast<int>(numbers.size());
        if (!trait.isWholeRequest() || crashes < this->options.requestCrashes
            || this->answersTo(trait).count >= crashes) {
            return false;
        }
        return std::any_of(numbers.begin(), numbers.end(), [this, &numbers](RunNumber later) {
            const auto before = std::count_if(numbers.begin(), numbers.end(), [this, later](RunNumber other) {
                return this->runOf(other).run.ended < this->runOf(later).run.begun;
            });
            return before >= this->options.watchedCrashes;
        });
    });
}

// The request that ended the endpoint was one of the last to be sent, so its parts are added first.
RequestTraits CrashTracker::extended(RequestTraits parts, const std::set<EndpointStart> &crashes) const
{
    std::map<RequestTrait, std::set<EndpointStart>> lastSentWith;
    for (const SuspectedRun &run : this->runs) {
        if (crashes.count(run.run.endpoint) > 0 && run.run.begun == this->crashes.at(run.run.endpoint).lastBegun) {
            for (const RequestTrait &trait : run.traits) {
                lastSentWith[trait].insert(run.run.endpoint);
            }
        }
    }
    std::vector<std::pair<std::size_t, RequestTrait>> ranked;
    for (const auto &[trait, endpoints] : lastSentWith) {
        if (!trait.isWholeRequest() && endpoints.size() > 1) {
            ranked.emplace_back(endpoints.size(), trait);
        }
    }
    std::sort(ranked.rbegin(), ranked.rend());
    for (const auto &[count, trait] : ranked) {
        if (std::binary_search(parts.begin(), parts.end(), trait)) {
            continue;
        }
        RequestTraits more = parts;
        more.insert(std::upper_bound(more.begin(), more.end(), trait), trait);
        const std::set<EndpointStart> explained = this->crashesOf(more);
        if (std::includes(explained.begin(), explained.end(), crashes.begin(), crashes.end())) {
            parts = std::move(more);
        }
    }
    return withoutCovered(std::move(parts));
}

std::vector<RequestTraits> CrashTracker::blocked() const
{
    struct Candidate {
        RequestTrait trait;
        const RunNumbers *runs;
        std::size_t common; // number of traits
        int answers;
        int lastSent;
        int crashes;
    };
    std::vector<Candidate> candidates;
    for (const RequestTrait &trait : this->frequent) {
        const RunNumbers &numbers = this->suspects.at(trait.value());
        if (this->isSuspect(trait, numbers)) {
            candidates.push_back({trait, &numbers, this->inCommon(numbers).size(), this->answersTo(trait).count,
                                  this->lastSent(numbers), static_cast<int>(numbers.size())});
        }
    }
    const auto rankOf = [](const Candidate &candidate) {
        return std::make_tuple(candidate.common, -candidate.answers, candidate.lastSent, candidate.crashes);
    };
    std::stable_sort(candidates.begin(), candidates.end(),
                     [rankOf](const Candidate &a, const Candidate &b) { return rankOf(a) > rankOf(b); });
    std::vector<RequestTraits> found;
    std::map<EndpointStart, Candidate> explainedBy; // the first set that explains each crash
    for (const Candidate &candidate : candidates) {
        RunNumbers left;
        int unanswered = 0; // crashes that a request explains which was never answered
        std::map<RequestTrait, RunNumbers> ofRequests; // the runs that a whole request explains
        for (const RunNumber number : *candidate.runs) {
            const auto explained = explainedBy.find(this->runOf(number).run.endpoint);
            if (explained == explainedBy.end() || rankOf(explained->second) <= rankOf(candidate)) {
                left.push_back(number);
                continue;
            }
            const bool isByRequest = explained->second.trait.isWholeRequest();
            unanswered += isByRequest && explained->second.answers == 0 ? 1 : 0;
            if (isByRequest && !candidate.trait.isWholeRequest()) {
                ofRequests[explained->second.trait.base()].push_back(number);
            }
        }
        if (ofRequests.size() > 1) {
            for (const auto &[request, numbers] : ofRequests) {
                left.insert(left.end(), numbers.begin(), numbers.end());
            }
        }
        const bool isWhole = candidate.trait.isWholeRequest();
        const bool isAnswered = candidate.answers >= this->options.answersOfExplainedCrash * candidate.crashes;
        const bool isExplained = isWhole ? isAnswered && candidate.crashes - unanswered < this->options.requestCrashes
                                         : this->countOf(candidate.trait, left) < this->options.partCrashes;
        if (isExplained) {
            continue;
        }
        RequestTraits common = this->inCommon(isWhole ? *candidate.runs : left);
        if (!isWhole) {
            common = this->extended(std::move(common), this->endpointsOf(left));
        }
        for (const EndpointStart &crash : this->crashesOf(common)) {
            explainedBy.try_emplace(crash, candidate);
        }
        if (isWhole) {
            common = {candidate.trait};
        }
        if (std::find(found.begin(), found.end(), common) == found.end()) {
            found.push_back(common);
        }
    }
    return found;
}

} // namespace fescuesill
