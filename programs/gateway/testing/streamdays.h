#pragma once

// Several hosts with their real decisions on the software versions of streams, on virtual time. Engines, callers, links
// and the store are simulated.
//
//     StreamDay day = StreamDay::drawn(seed);
//     const StreamDayResult result = play(day);
//     EXPECT_EQ(result.joined, 0) << day.text() << result.history;

#include "fescuesill/units.h"

#include <cstdint>
#include <string>
#include <vector>

namespace fescuesill
{

// Which versions join and leave, and what else happens on the day.
struct StreamDay {
    enum class Fault {
        Frozen, // a host stands still; its clocks go on
        Suspended, // the same, and its steady clock stands still too
        Cut, // a host is cut off from the other hosts
        StoreCut, // a host is cut off from the store
        StoreSlow, // for a host
        StoreAway, // for all hosts
        HistoryGone, // the store drops its history
        Killed, // a host
        AllKilled,
    };
    enum class Target {
        Leader,
        Deputy,
        Any,
    };
    struct PlannedFault {
        Fault fault = Fault::Frozen;
        Target target = Target::Any;
        Instant at;
        Duration lasting{0};
    };
    // Engines of a version join one after the other, and may leave again after a while.
    struct Release {
        std::string version;
        Instant at;
        int engines = 2;
        Duration gap{300ms};
        Duration serving{0}; // zero for the rest of the day
    };

    std::uint64_t seed = 0;
    int hosts = 3;
    bool isFirstStart = true;
    bool isStoreCompact = false; // of several changes of a row, its feed shows the last one
    // Whether hosts infer a version from any list, however old: what the days are to find.
    bool trustsOldLists = false;
    std::vector<Release> releases;
    std::vector<PlannedFault> faults;

    static StreamDay drawn(std::uint64_t seed);
    std::string text() const;
};

struct StreamDayResult {
    int begun = 0;
    int joined = 0; // streams that went on at another version than that which began them
    // Streams that were taken up at hosts in touch, while two engines of their version served, and how many went on.
    int takenUp = 0;
    int goneOn = 0;
    std::string history; // one line for each event
};

StreamDayResult play(const StreamDay &day);

} // namespace fescuesill
