#pragma once

// Plain calls of many hosts to a few endpoints in virtual time, with four ways to choose and delay the calls.
//
//     PlainLoad load(PlainLoad::Way::SlotQueue, seed);
//     load.run();
//     load.onTime(); // calls answered within the target, of load.calls()

#include "decide/endpointpicker.h"
#include "decide/slotqueue.h"
#include "testing/bench/eventqueue.h"

#include <array>
#include <deque>
#include <random>

namespace fescuesill
{

class PlainLoad
{
public:
    enum class Way {
        EachHostAlone, // sends each call at once to the endpoint that its EndpointPicker chooses
        FixedShares, // each host keeps one call in flight for each endpoint, the smallest share of a host
        LeaderRates, // a leader that knows the capacity sets a rate for each host by its demand each 250 ms
        SlotQueue, // 3 ms away from each host
    };

    PlainLoad(Way way, std::uint64_t seed);

    void run();
    int calls() const
    {
        return this->offered;
    }
    int onTime() const
    {
        return this->answeredInTime;
    }
    int turnedAway() const
    {
        return this->rejected;
    }

private:
    static constexpr std::size_t hostCount = 80;
    static constexpr std::size_t endpointCount = 3;

    struct Call {
        std::size_t host = 0;
        Instant arrived;
        std::array<bool, endpointCount> isTried{};
        bool hasReturned = false;
        SlotTicket ticket = 0; // 0: sent without a slot
        std::size_t endpoint = 0;
        Instant sent;
    };
    struct Endpoint {
        EndpointId id;
        bool isPresent = true;
        int busy = 0;
        std::deque<std::size_t> queue;
        Duration debt{0}; // slot time spent on arrivals
        Instant slowUntil;
    };
    struct Host {
        EndpointPicker picker;
        std::array<int, endpointCount> inFlight{};
        std::deque<std::size_t> waiting{};
        double rate = 0;
        double permits = 0;
        Instant refilled{};
        int demand = 0;
    };

    void arrive();
    void slowPhase(std::size_t endpoint);
    void setRates();
    void choose(std::size_t call);
    void askSlot(std::size_t call, const EndpointId &best);
    void pollSlots();
    void serveWaiting(std::size_t host);
    bool takePermit(Host &host, std::size_t endpoint);
    void send(std::size_t call, std::size_t endpoint);
    void reach(std::size_t call);
    void startNext(std::size_t endpoint);
    void answer(std::size_t call, bool wasServed);
    void refuse(std::size_t call, Duration retryAfter);
    std::vector<EndpointCandidate> candidates(const Call &call) const;
    std::size_t indexOf(const EndpointId &id) const;

    Way way;
    std::mt19937_64 random;
    bench::EventQueue events;
    std::array<Endpoint, endpointCount> endpoints;
    std::vector<Host> hosts;
    std::vector<Call> all;
    std::vector<double> weights;
    SlotQueue slots;
    std::set<EndpointId> limitedAtHosts;
    std::unordered_map<SlotTicket, std::size_t> callOfTicket;
    SlotTicket lastTicket = 0;
    std::optional<Instant> wake;
    int offered = 0;
    int answeredInTime = 0;
    int rejected = 0;
};

} // namespace fescuesill
