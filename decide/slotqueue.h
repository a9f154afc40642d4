#pragma once

// Caps the calls in flight to overloaded endpoints from all hosts together, and queues the calls that wait for a slot.
//
//     SlotQueue queue(SlotQueue::Options{});
//     queue.setSlots(endpoint, 6);
//     queue.onOverload(endpoint, now);                       // three within 500 ms limit the endpoint
//     queue.request({ticket, {endpoint}, rank, onTimeUntil, usefulUntil}, now);
//     for (const SlotAction &action : queue.poll(now)) { ... notify the hosts ... }
//     queue.onEnded(ticket, true, 15ms, now);                // once per SlotGranted
//     wakeAt(queue.nextWake(now));
//
// Each request is answered by one SlotGranted or SlotDenied, unless it is cancelled first. Call poll() after each
// command and at nextWake().

#include "fescuesill/ids.h"
#include "fescuesill/units.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

namespace fescuesill
{

using SlotTicket = std::uint64_t; // chosen by the caller of SlotQueue, unique among waiting and granted requests

struct SlotRequest {
    SlotTicket ticket = 0;
    std::vector<EndpointId> candidates; // not tried yet by this call, best first
    int rank = 0; // lower goes first
    Instant onTimeUntil; // an answer that begins later misses the target
    Instant usefulUntil; // the caller has left after this
};
struct SlotGranted {
    SlotTicket ticket = 0;
    EndpointId endpoint;
};
struct SlotDenied {
    SlotTicket ticket = 0;
    Duration retryAfter{0};
};
struct SlotLimitChanged {
    EndpointId endpoint;
    bool isLimited = false;
};
using SlotAction = std::variant<SlotGranted, SlotDenied, SlotLimitChanged>;

class SlotQueue
{
public:
    struct Options {
        // An endpoint becomes limited after this many overloads within the window.
        std::size_t overloads = 3;
        Duration overloadWindow{500ms};
        // A limit is lowered at most once in this time: the calls sent before it was last lowered are turned away
        // within it.
        Duration lowerInterval{200ms};
        // A limit below its maximum grows by one in this time.
        Duration growInterval{1s};
        // An endpoint stops being limited when nothing has waited, been denied or been turned away for this time.
        Duration quietTime{2s};
        // A grant that is not reported as ended releases its slot after this time, so a lost host holds no slots.
        Duration grantLife{2s};
        Duration minRetryAfter{50ms};
        Duration maxRetryAfter{1s};
        // Time of a call in a slot until it is measured.
        Duration assumedTime{15ms};
        // Time constant of the measured completion rate, counted while the limit is reached.
        Duration rateWindow{1s};
        // Weight of one call in the mean time that calls take and in its mean deviation.
        double timeWeight = 0.05;
        // A call is expected to take the mean time and this many mean deviations. Under overload each call waits nearly
        // as long as it may, so with the mean alone half of the answers are late.
        double timeDeviations = 3;
        // Slots of one endpoint; larger values are rejected.
        int maxSlots = 100'000;
        std::size_t maxEndpoints = 4096;
        std::size_t maxWaiting = 1024;
        // Further candidates of a request are ignored.
        std::size_t maxCandidates = 256;
        // Calls in flight, with those to endpoints that are not limited.
        std::size_t maxGranted = 16384;
    };

    explicit SlotQueue(const Options &options);

    // Returns false, and changes nothing, if the number is out of range or the table is full.
    bool setSlots(const EndpointId &endpoint, int slots);
    // Drops an endpoint that left. The requests that wait for it alone are denied.
    void forget(const EndpointId &endpoint);

    // The endpoint turned a call away or reset its connection.
    void onOverload(const EndpointId &endpoint, Instant now);
    void request(const SlotRequest &request, Instant now);
    // Releases the slot. `wasServed`: the endpoint answered the call, in the time `took`.
    void onEnded(SlotTicket ticket, bool wasServed, Duration took, Instant now);
    // The caller left while its request waited, or its host was lost. Releases the slot of a granted request.
    void cancel(SlotTicket ticket, Instant now);

    // The actions since the last call.
    std::vector<SlotAction> poll(Instant now);
    std::optional<Instant> nextWake(Instant now) const;

    bool isLimited(const EndpointId &endpoint) const;
    std::vector<EndpointId> limited() const;
    // The calls that may be in flight; empty if the endpoint is not limited.
    std::optional<int> limitOf(const EndpointId &endpoint) const;
    // Granted calls that have not ended.
    int inFlight(const EndpointId &endpoint) const;
    std::size_t inFlight() const
    {
        return this->grants.size();
    }
    // Requests that wait for this endpoint, some of them also for others.
    std::size_t waiting(const EndpointId &endpoint) const;
    std::size_t waiting() const
    {
        return this->waits.size();
    }

private:
    // The order in which requests are granted.
    struct Position {
        int rank = 0;
        Instant usefulUntil;
        std::uint64_t sequence = 0;

        friend bool operator<(const Position &a, const Position &b)
        {
            return std::tie(a.rank, a.usefulUntil, a.sequence) < std::tie(b.rank, b.usefulUntil, b.sequence);
        }
    };
    struct Wait {
        SlotTicket ticket = 0;
        std::vector<EndpointId> candidates;
        Instant latest; // denied after this
    };
    // Calls served and time, while the limit was reached. Both decay at the same rate.
    struct CompletionRate {
        double served = 0;
        double busyUs = 0;
        Instant measured;

        // Counts the time since the last call. `isBusy`: the limit was reached meanwhile.
        void advance(bool isBusy, Duration window, Instant now);
    };
    struct Endpoint {
        int slots = 1;
        int limit = 0; // 0: not limited
        int inFlight = 0;
        std::deque<Instant> overloads; // the last ones, at most Options::overloads
        Instant lowered;
        Instant grown;
        Instant needed; // something last waited, was denied or was turned away
        std::set<Position> waiting;
        CompletionRate rate;
        std::optional<double> meanUs; // time of a served call, with its wait at the endpoint
        double deviationUs = 0;
    };
    struct Grant {
        EndpointId endpoint;
        Instant expires;
    };

    bool hasRoom(const Endpoint &endpoint) const;
    void measure(Endpoint &endpoint, Instant now) const;
    double ratePerUs(const Endpoint &endpoint, Instant now) const;
    void grow(Endpoint &endpoint, Instant now) const;
    std::vector<EndpointId> knownCandidates(const SlotRequest &request) const;
    double expectedWaitUs(const Position &position, const Wait &wait, Instant now) const;
    Duration expectedTime(const std::vector<EndpointId> &candidates) const;
    double excessUs(const Position &position, Instant now) const;
    Duration retryAfter(double excess) const;
    void grant(SlotTicket ticket, const EndpointId &id, Instant now);
    void grantWaiting(Instant now);
    void deny(Position position, Duration retryAfter, Instant now);
    void denyExpired(Instant now);
    Wait removeWait(const Position &position, Instant now);
    void release(SlotTicket ticket, Instant now);
    void endLimits(Instant now);

    Options options;
    std::unordered_map<EndpointId, Endpoint> endpoints;
    std::set<EndpointId> limitedOnes;
    std::map<Position, Wait> waits;
    std::unordered_map<SlotTicket, Position> positions; // of the waiting requests
    std::set<std::pair<Instant, SlotTicket>> byLatest;
    std::unordered_map<SlotTicket, Grant> grants;
    std::set<std::pair<Instant, SlotTicket>> byExpiry;
    std::vector<SlotAction> actions;
    std::uint64_t nextSequence = 0;
};

} // namespace fescuesill
