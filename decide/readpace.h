#pragma once

// When the prefill engines of a pool can take one more prompt without reading it too late.
//
//     ReadPace pace(ReadPace::Options{});
//     pace.setPool(6, 18.0);                     // six engines, 18 microseconds a token each
//     if (pace.mayStart(now)) { pace.onStarted(Tokens(5200), now); }
//     else { ... ask again at pace.nextStart() ... }
//
// Load: all hosts start again at once, or a burst arrives with a third of the prefill engines down, and a hundred
// prompts are handed over within some milliseconds. Harm prevented: they queue in front of the prefill engines for over
// a second, each holding decode memory; the last are given up half read and read once more by decode engines, whose
// running answers stall meanwhile.

#include "fescuesill/units.h"

#include <cstddef>
#include <optional>

namespace fescuesill
{

class ReadPace
{
public:
    struct Options {
        // Reads that may wait in front of a prefill engine, as time. With the read of a long prompt, some 100 ms, it
        // stays within the quarter of a second that placing keeps for a read; and engines never run dry between two
        // decisions, which are some milliseconds apart.
        Duration longestQueue{150ms};
        // Time of one token at one engine until a read was measured.
        double unmeasuredUs = 20;
    };

    explicit ReadPace(const Options &given)
        : options(given)
    {
    }

    // How many engines read, and the microseconds that one needs for a token; unmeasured where empty. No engine: each
    // prompt is read where its answer is written, and nothing is held back here.
    void setPool(std::size_t engines, std::optional<double> perTokenUs);
    bool mayStart(Instant now) const;
    // The first instant at which it may.
    Instant nextStart() const;
    void onStarted(Tokens prompt, Instant now);

private:
    Options options;
    std::size_t engines = 0;
    double perTokenUs = 0;
    Instant busyUntil; // all engines together, each with its share
};

} // namespace fescuesill
