#pragma once

// Decides whether this host reads the configuration row itself or relies on recent reads by other hosts.
//
//     TableReading reading(options);
//     reading.onRead(now);                              // this host read successfully; otherwise onFailed(now)
//     probe.tableReadAge = reading.age(now);            // on every probe that is sent
//     reading.onPeerReadAge(*probe.tableReadAge, now);        // on every probe received, after its facts were applied
//     if (reading.isDue(situation, now)) { ... read the table ... }
//     const bool reads = isTableReader(self, liveHostsOfItsDataCentre, options.readers);

#include "fescuesill/ids.h"
#include "fescuesill/units.h"

#include <optional>
#include <vector>

namespace fescuesill
{

// Whether the host is one of the few of its data centre that read the table for all. The order of the hosts is
// irrelevant.
bool isTableReader(const HostId &self, const std::vector<HostId> &hosts, std::size_t readers);

class TableReading
{
public:
    struct Options {
        // In each data centre. Tolerates one reader whose death is not yet detected and one cut off from the table.
        std::size_t readers = 3;
        // A host that knows of no read more recent than this reads itself. Together with its pause of at most 1.2 s
        // between reads, this bounds the delay of a change when all readers fail at once, below the guaranteed six
        // seconds.
        Duration staleAfter{3s};
        // Pause of a host that is not a reader after its own read failed, so that not all hosts call an overloaded
        // table at once.
        Duration failurePause{4s};
    };
    struct Situation {
        bool isReader = true;
        bool isServing = false; // neither learning nor cut off
        bool reachesMajority = false; // the majority of the last probes were answered
        bool isBehind = false; // a higher version than the one in force is known
    };

    explicit TableReading(Options options);

    void onRead(Instant now);
    void onFailed(Instant now);
    // A peer knows of a read of this age. Its facts must be applied first, so that the result of that read is known
    // here.
    void onPeerReadAge(Duration age, Instant now);

    bool isDue(const Situation &situation, Instant now) const;
    // The age of the most recent read known; none if it is older than staleAfter.
    std::optional<Duration> age(Instant now) const;

private:
    Options options;
    std::optional<Instant> newestRead; // time of the most recent read known
    std::optional<Instant> lastFailed; // of this host; reset by a successful read
};

} // namespace fescuesill
