#pragma once

// Membership of a whole fleet in one process and virtual time; messages arrive one tick later.
//
//     Fleet fleet(340, 48, 5s);
//     fleet.run(20 * 600);
//     const Lateness late = fleet.lateness(60s);

#include "promise/membership.h"

#include <memory>

namespace fescuesill
{

constexpr Duration fleetTick = 50ms;

class Fleet
{
public:
    // Each cell publishes a summary once in `period`, in turn.
    Fleet(int size, int cells, Duration period);

    void run(int ticks);
    // Seconds until a fact of one host is known to all; -1 where a minute is not enough.
    double spread(const std::string &name, bool isUrgent);

    // Seconds from the publishing of a summary until a host has it or a newer one; those that are still not there when
    // the measurement ends count with the time until then.
    struct Lateness {
        std::vector<double> seconds; // sorted
        double missing = 0; // share still not there at the end
        double at(double share) const;
    };
    Lateness lateness(Duration length);

    std::int64_t bytes = 0;
    std::int64_t messages = 0;

private:
    struct Waiting {
        int cell = 0;
        std::uint64_t version = 0;
        int publishedAt = 0; // in ticks
        std::vector<bool> has; // by host
    };

    Membership &at(const HostId &host);
    void take(std::vector<ProbeMessage> fresh, std::vector<ProbeMessage> &out);
    void publishCells();
    void look(std::vector<Waiting> &waiting, Lateness &lateness);

    std::vector<std::unique_ptr<Membership>> hosts;
    std::vector<ProbeMessage> flying;
    int cells;
    int periodTicks;
    Instant now{1000s};
    int ticks = 0;
    std::vector<std::uint64_t> versions; // last published, by cell
};

} // namespace fescuesill
