#pragma once

// Decides when an engine should move to the other pool.
//
//     RoleShift shift(RoleShift::Options{});
//     if (const auto pool = shift.observe({prefillBusy, decodeUse, waiting, prefills, decodes}, now)) {
//         ... move one engine into *pool ...
//     }

#include "decide/cellmessages.h"

namespace fescuesill
{

class RoleShift
{
public:
    struct Options {
        // A pool whose use is above this while work waits is short of engines.
        double shortageUse = 0.92;
        // The use of the other pool must stay below this after it has lost one engine. Otherwise the engine would soon
        // be moved back.
        double maxDonorUse = 0.80;
        // How long the shortage must last. A burst is over before the engine is ready.
        Duration sustainedFor{10s};
        // Minimum time between two changes. A change drains the engine and loads it again, which takes several seconds
        // of its time: at one change a minute that is some 10% of one engine. The measurements also need time to settle
        // after a change.
        Duration minInterval{60s};
        int minPerPool = 1;
    };

    struct View {
        double prefillBusy = 0; // share of the prefill engines' time that is used
        double decodeUse = 0; // share of the decode memory that is held
        bool waiting = false; // requests wait to be placed
        int prefillEngines = 0;
        int decodeEngines = 0;
    };

    explicit RoleShift(const Options &options)
        : options(options)
    {
    }

    // The pool that should get one more engine, if any.
    std::optional<Pool> observe(const View &view, Instant now);

private:
    std::optional<Pool> shortPool(const View &view) const;

    Options options;
    std::optional<Pool> candidate;
    Instant candidateSince;
    std::optional<Instant> changed;
};

} // namespace fescuesill
