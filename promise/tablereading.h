#pragma once

// Whether this host reads the configuration row itself now, or may rely on reads of others of which it hears.
//
//     TableReading reading(options);
//     reading.onRead(now);                              // our own read succeeded; onFailed(now): it did not
//     probe.tableReadAge = reading.age(now);            // on every probe that is sent
//     reading.onPeerReadAge(*probe.tableReadAge, now);        // on every probe that comes, after its facts were taken
//     if (reading.isDue(situation, now)) { ... read the table ... }
//     const bool reads = isTableReader(self, liveHostsOfItsDataCentre, options.readers);

#include "fescuesill/ids.h"
#include "fescuesill/units.h"

#include <optional>
#include <vector>

namespace fescuesill
{

// Whether the host is one of the few of its data centre that read for all. The order of the hosts does not matter.
bool isTableReader(const HostId &self, const std::vector<HostId> &hosts, std::size_t readers);

class TableReading
{
public:
    struct Options {
        // In each data centre. One may be dead and not yet found so, and one cut off from the table.
        std::size_t readers = 3;
        // A host that has heard of no read younger than this reads itself. With its own pause of at most 1.2 s it
        // bounds how late a change is seen when every reader fails at once, below the six seconds of the promise.
        Duration staleAfter{3s};
        // After a read that failed, where others are to read: a table that refuses must not hear from everybody at
        // once.
        Duration failurePause{4s};
    };
    struct Situation {
        bool isReader = true;
        bool isServing = false; // not learning, not cut off
        bool hearsMajority = false; // most of the last probes were answered
        bool isBehind = false; // a higher version than the one in force is known of
    };

    explicit TableReading(Options options);

    void onRead(Instant now);
    void onFailed(Instant now);
    // A peer knows of a read that is this old. Its facts were taken first, so whatever that read found is known here.
    void onPeerReadAge(Duration age, Instant now);

    bool isDue(const Situation &situation, Instant now) const;
    // Of the youngest read known of; none where there is none that helps anybody.
    std::optional<Duration> age(Instant now) const;

private:
    Options options;
    std::optional<Instant> newestRead; // when the youngest read known of was made
    std::optional<Instant> lastFailed; // our own, none since it succeeded
};

} // namespace fescuesill
