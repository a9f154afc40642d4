// A crash suspects every request that ran at the endpoint. The one that caused it is among the suspects of each further
// crash, while the others are not, or are answered elsewhere: one answer clears all traits of its request.
//
// Endpoints that end together, as with a lost rack, have another cause, however many requests ran there. So a further
// crash counts only if its request was sent after the crash before it: only then can the request have been the cause of
// both.

#include "decide/crashtracker.h"

#include <algorithm>

namespace fescuesill
{
namespace
{

bool endsEarlier(const CrashedRun &a, const CrashedRun &b)
{
    return a.ended < b.ended;
}

// The most runs of which each began after the one before had ended.
int longestSeries(const std::vector<CrashedRun> &runs)
{
    int count = 0;
    Instant lastEnd = Instant::min();
    for (const CrashedRun &run : runs) {
        if (run.begun > lastEnd) {
            ++count;
            lastEnd = run.ended;
        }
    }
    return count;
}

} // namespace

void CrashTracker::onCrash(const CrashedRun &run, const RequestTraits &traits)
{
    for (const RequestTrait &trait : traits) {
        if (this->suspects.size() >= this->options.maxTraits && this->suspects.count(trait.value()) == 0) {
            this->makeRoom();
        }
        Suspect &suspect = this->suspects[trait.value()];
        suspect.runs.insert(std::upper_bound(suspect.runs.begin(), suspect.runs.end(), run, endsEarlier), run);
        if (suspect.runs.size() > this->options.maxRuns) {
            suspect.runs.erase(suspect.runs.begin());
        }
        suspect.crashes = std::max(suspect.crashes, longestSeries(suspect.runs));
    }
}

// Forgets the half without a recent crash, so that this happens rarely.
void CrashTracker::makeRoom()
{
    std::vector<Instant> ends;
    ends.reserve(this->suspects.size());
    for (const auto &[trait, suspect] : this->suspects) {
        ends.push_back(suspect.runs.back().ended);
    }
    const auto middle = ends.begin() + static_cast<std::ptrdiff_t>(ends.size() / 2);
    std::nth_element(ends.begin(), middle, ends.end());
    for (auto suspect = this->suspects.begin(); suspect != this->suspects.end();) {
        const bool isOld = suspect->second.runs.back().ended <= *middle;
        suspect = isOld ? this->suspects.erase(suspect) : std::next(suspect);
    }
}

void CrashTracker::onServed(const RequestTraits &traits)
{
    for (const RequestTrait &trait : traits) {
        this->suspects.erase(trait.value());
    }
}

void CrashTracker::expire(Instant now)
{
    for (auto suspect = this->suspects.begin(); suspect != this->suspects.end();) {
        const bool isOver = now - suspect->second.runs.back().ended > this->options.memory;
        suspect = isOver ? this->suspects.erase(suspect) : std::next(suspect);
    }
}

RequestTraits CrashTracker::watchedOf(const RequestTraits &traits) const
{
    RequestTraits found;
    for (const RequestTrait &trait : traits) {
        const auto suspect = this->suspects.find(trait.value());
        if (suspect != this->suspects.end() && suspect->second.crashes >= this->options.watchedCrashes) {
            found.push_back(trait);
        }
    }
    return found;
}

std::vector<RequestTraits> CrashTracker::blocked() const
{
    std::vector<RequestTraits> found;
    for (const auto &[trait, suspect] : this->suspects) {
        if (suspect.crashes >= this->options.requestCrashes) {
            found.push_back({RequestTrait(trait)});
        }
    }
    std::sort(found.begin(), found.end());
    return found;
}

} // namespace fescuesill
