#pragma once

// The requests that wait for prefill, in the order in which they are to be placed.
//
//     ClassQueue queue(ClassQueue::Options{});
//     queue.push({request, workspace, rank, cost, arrival, latest});
//     while (const QueueItem *item = queue.head()) { ... queue.pop(); }
//     for (const QueueItem &item : queue.takeExpired(now)) { ... refuse ... }
//     while (queue.backlog(rank) > limit) { ... refuse queue.takeLast(rank) ... }

#include "fescuesill/ids.h"
#include "fescuesill/units.h"

#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace fescuesill
{

struct QueueItem {
    RequestId request;
    WorkspaceId workspace;
    int rank = 0; // lower goes first
    Duration cost{0}; // share of the cell's time that the request takes
    Instant arrival;
    Instant latest; // if placed later, the request misses its target
};

class ClassQueue
{
public:
    struct Options {
        // Share of the placed work that each less urgent rank gets while more urgent ones have work waiting. Even with
        // urgent work alone at twice the capacity, patient work still completes, and urgent work loses at most this
        // share.
        double lowRankShare = 0.05;
        // Within a workspace a request is ordered by its arrival plus up to this share of the time that it may wait:
        // none for a cheap request, half of the share for one of mean cost, nearly all of it for an expensive one. 0 is
        // first come, first served. Under overload this completes more requests, since the expensive ones are refused
        // first; below 1, age still brings each request to the front.
        double shortFirst = 0.9;
    };

    explicit ClassQueue(const Options &options)
        : options(options)
    {
    }

    void push(const QueueItem &item);
    bool remove(const RequestId &request);
    // The next request to place; null when nothing waits.
    const QueueItem *head() const;
    // The next request of one rank; null when none of it waits.
    const QueueItem *head(int rank) const;
    void pop();
    // Removes the head of one rank.
    void pop(int rank);
    // Removes the requests whose latest start has passed.
    std::vector<QueueItem> takeExpired(Instant now);
    // Removes the last request of a rank, from the workspace that would be served last.
    std::optional<QueueItem> takeLast(int rank);
    // The request that takeLast() would remove; null when none of the rank waits.
    const QueueItem *last(int rank) const;

    std::size_t size() const
    {
        return this->items.size();
    }
    // Work waiting at this rank and at more urgent ones.
    Duration backlog(int rank) const;
    // Work waiting at this rank alone.
    Duration backlogAt(int rank) const;
    std::optional<int> lastRank() const;
    std::vector<int> waitingRanks() const;
    std::optional<Instant> nextExpiry() const;

private:
    // Position within a workspace: by key, then by order of arrival.
    struct Position {
        Instant key;
        std::uint64_t sequence = 0;

        friend bool operator<(const Position &a, const Position &b)
        {
            return a.key != b.key ? a.key < b.key : a.sequence < b.sequence;
        }
    };
    struct Flow {
        std::map<Position, RequestId> waiting;
        Duration served{0}; // virtual time: work placed; never behind that of the rank
        Duration backlog{0};

        Duration finish() const
        {
            return this->served + this->backlog;
        }
    };
    struct Rank {
        std::map<WorkspaceId, Flow> flows; // only those with work waiting
        std::set<std::pair<Duration, WorkspaceId>> byServed;
        std::set<std::pair<Duration, WorkspaceId>> byFinish; // virtual time after all that waits
        // Virtual times of workspaces that have nothing waiting and are ahead of the rank's virtual time, so that a
        // workspace that sends its requests one by one gets no more than one that sends them together. Cleared when the
        // rank becomes empty.
        std::map<WorkspaceId, Duration> ahead;
        Duration virtualTime{0};
        Duration backlog{0};
        double meanCost = 0; // microseconds, of the requests pushed
        Duration credit{0}; // work due to this rank because more urgent ones were placed
    };
    struct Entry {
        QueueItem item;
        Position position;
    };
    using Items = std::unordered_map<RequestId, Entry>;

    Duration costOffset(Rank &rank, const QueueItem &item) const;
    void removeEntry(Items::iterator entry);
    const QueueItem *headOf(const Rank &rank) const;
    int rankToServe() const;
    void setBacklog(Rank &rank, const WorkspaceId &workspace, Flow &flow, Duration backlog);

    Options options;
    Items items;
    std::map<int, Rank> ranks;
    std::set<std::pair<Instant, RequestId>> byLatest;
    std::uint64_t nextSequence = 0;
};

} // namespace fescuesill
