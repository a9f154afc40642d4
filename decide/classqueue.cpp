// Three levels: rank, workspace, request.
//
// Ranks: the most urgent rank with work is served first. So that patient work does not starve while urgent work alone
// exceeds the capacity, each placed request credits every less urgent waiting rank with a share of its cost; a rank
// whose credit covers the cost of its head is served next. So in any interval a waiting rank gets at least that share
// of the work, less one request, and a more urgent one loses no more than that. Deadlines alone do not achieve this:
// patient work would be served only when already late.
//
// Workspaces: start-time fair queueing. Without it, a workspace that sends far more than the others would fill the
// queue and the requests of the others would miss their targets. Each workspace has a virtual time, the work placed for
// it; the smallest is served next. A workspace that was idle starts no earlier than the rank's virtual time, so it
// accumulates no credit.
//
// Requests of one workspace: ordered by arrival plus an offset that grows with the cost (see Options::shortFirst).
// Under overload one long prompt would otherwise take the capacity of several short ones, which would be refused.
//
// takeLast() removes the last request of the workspace whose work would be completed last: its virtual time and what it
// has waiting are the largest together. So a workspace that floods the queue displaces its own requests, also where
// each workspace has a single one waiting.

#include "decide/classqueue.h"

#include <algorithm>

namespace fescuesill
{

constexpr double meanWeight = 0.02; // weight of one request in the mean cost of its rank
// Maximum number of workspaces remembered while they have nothing waiting. Workspace names come from callers, so the
// table must be bounded. A workspace beyond the bound is treated as new, which costs fairness for a moment.
constexpr std::size_t maxAhead = 10000;

void ClassQueue::setBacklog(Rank &rank, const WorkspaceId &workspace, Flow &flow, Duration backlog)
{
    rank.byFinish.erase({flow.finish(), workspace});
    rank.backlog += backlog - flow.backlog;
    flow.backlog = backlog;
    rank.byFinish.insert({flow.finish(), workspace});
}

Duration ClassQueue::costOffset(Rank &rank, const QueueItem &item) const
{
    const auto cost = static_cast<double>(item.cost.count());
    rank.meanCost += rank.meanCost > 0 ? meanWeight * (cost - rank.meanCost) : cost;
    const double share = cost / std::max(1.0, cost + rank.meanCost);
    const auto window = static_cast<double>((item.latest - item.arrival).count());
    return Duration(static_cast<Duration::rep>(std::max(0.0, window) * share * this->options.shortFirst));
}

void ClassQueue::push(const QueueItem &item)
{
    if (this->items.count(item.request) != 0) {
        return;
    }
    Rank &rank = this->ranks[item.rank];
    const Position position{item.arrival + this->costOffset(rank, item), this->nextSequence++};
    this->items.emplace(item.request, Entry{item, position});
    const auto [found, added] = rank.flows.try_emplace(item.workspace);
    Flow &flow = found->second;
    if (added) {
        const auto ahead = rank.ahead.find(item.workspace);
        flow.served = ahead == rank.ahead.end() ? rank.virtualTime : std::max(rank.virtualTime, ahead->second);
        rank.byServed.insert({flow.served, item.workspace});
    }
    flow.waiting.emplace(position, item.request);
    this->setBacklog(rank, item.workspace, flow, flow.backlog + item.cost);
    this->byLatest.insert({item.latest, item.request});
}

void ClassQueue::removeEntry(Items::iterator entry)
{
    const QueueItem item = entry->second.item;
    Rank &rank = this->ranks[item.rank];
    const auto found = rank.flows.find(item.workspace);
    Flow &flow = found->second;
    flow.waiting.erase(entry->second.position);
    this->setBacklog(rank, item.workspace, flow, flow.backlog - item.cost);
    if (flow.waiting.empty()) {
        rank.byServed.erase({flow.served, item.workspace});
        rank.byFinish.erase({flow.finish(), item.workspace});
        if (flow.served > rank.virtualTime && rank.ahead.size() < maxAhead) {
            rank.ahead[item.workspace] = flow.served;
        }
        rank.flows.erase(found);
    }
    if (rank.flows.empty()) {
        rank.credit = Duration(0);
        rank.ahead.clear();
    }
    this->byLatest.erase({item.latest, item.request});
    this->items.erase(entry);
}

bool ClassQueue::remove(const RequestId &request)
{
    const auto found = this->items.find(request);
    if (found == this->items.end()) {
        return false;
    }
    this->removeEntry(found);
    return true;
}

const QueueItem *ClassQueue::headOf(const Rank &rank) const
{
    const Flow &flow = rank.flows.find(rank.byServed.begin()->second)->second;
    return &this->items.find(flow.waiting.begin()->second)->second.item;
}

int ClassQueue::rankToServe() const
{
    std::optional<int> chosen;
    for (const auto &[number, rank] : this->ranks) {
        if (rank.flows.empty()) {
            continue;
        }
        if (!chosen) {
            chosen = number;
        } else if (rank.credit >= this->headOf(rank)->cost) {
            return number;
        }
    }
    return chosen.value_or(0);
}

const QueueItem *ClassQueue::head() const
{
    if (this->items.empty()) {
        return nullptr;
    }
    return this->headOf(this->ranks.find(this->rankToServe())->second);
}

const QueueItem *ClassQueue::head(int rank) const
{
    const auto found = this->ranks.find(rank);
    return found == this->ranks.end() || found->second.flows.empty() ? nullptr : this->headOf(found->second);
}

void ClassQueue::pop()
{
    if (!this->items.empty()) {
        this->pop(this->rankToServe());
    }
}

void ClassQueue::pop(int served)
{
    if (this->head(served) == nullptr) {
        return;
    }
    Rank &rank = this->ranks[served];
    const QueueItem item = *this->headOf(rank);
    Flow &flow = rank.flows.find(item.workspace)->second;
    rank.virtualTime = flow.served;
    rank.byServed.erase({flow.served, item.workspace});
    rank.byFinish.erase({flow.finish(), item.workspace});
    flow.served += item.cost;
    rank.byServed.insert({flow.served, item.workspace});
    rank.byFinish.insert({flow.finish(), item.workspace});
    bool moreUrgentWaiting = false;
    for (auto &[number, other] : this->ranks) {
        if (number == served) {
            // Served on its credit while a more urgent rank waited.
            other.credit = moreUrgentWaiting ? other.credit - item.cost : other.credit;
        } else if (number > served && !other.flows.empty()) {
            other.credit += std::chrono::duration_cast<Duration>(item.cost * this->options.lowRankShare);
        }
        moreUrgentWaiting = moreUrgentWaiting || !other.flows.empty();
    }
    this->removeEntry(this->items.find(item.request));
}

std::vector<QueueItem> ClassQueue::takeExpired(Instant now)
{
    std::vector<QueueItem> expired;
    while (!this->byLatest.empty() && this->byLatest.begin()->first < now) {
        const auto found = this->items.find(this->byLatest.begin()->second);
        expired.push_back(found->second.item);
        this->removeEntry(found);
    }
    return expired;
}

const QueueItem *ClassQueue::last(int rank) const
{
    const auto found = this->ranks.find(rank);
    if (found == this->ranks.end() || found->second.flows.empty()) {
        return nullptr;
    }
    const Flow &flow = found->second.flows.find(found->second.byFinish.rbegin()->second)->second;
    return &this->items.find(flow.waiting.rbegin()->second)->second.item;
}

std::optional<QueueItem> ClassQueue::takeLast(int rank)
{
    const QueueItem *found = this->last(rank);
    if (found == nullptr) {
        return std::nullopt;
    }
    QueueItem item = *found;
    this->removeEntry(this->items.find(item.request));
    return item;
}

Duration ClassQueue::backlog(int rank) const
{
    Duration sum{0};
    for (auto entry = this->ranks.begin(); entry != this->ranks.end() && entry->first <= rank; ++entry) {
        sum += entry->second.backlog;
    }
    return sum;
}

Duration ClassQueue::backlogAt(int rank) const
{
    const auto found = this->ranks.find(rank);
    return found == this->ranks.end() ? Duration(0) : found->second.backlog;
}

std::optional<int> ClassQueue::lastRank() const
{
    for (auto entry = this->ranks.rbegin(); entry != this->ranks.rend(); ++entry) {
        if (!entry->second.flows.empty()) {
            return entry->first;
        }
    }
    return std::nullopt;
}

std::vector<int> ClassQueue::waitingRanks() const
{
    std::vector<int> waiting;
    for (const auto &[number, rank] : this->ranks) {
        if (!rank.flows.empty()) {
            waiting.push_back(number);
        }
    }
    return waiting;
}

std::optional<Instant> ClassQueue::nextExpiry() const
{
    if (this->byLatest.empty()) {
        return std::nullopt;
    }
    return this->byLatest.begin()->first;
}

} // namespace fescuesill
