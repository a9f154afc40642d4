#pragma once

// When an engine should move to the other pool.
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
        // A pool this busy with work waiting is short.
        double shortUse = 0.92;
        // The other pool must stay below this after it has given one engine away, or the engine would soon be moved
        // back.
        double spareUse = 0.80;
        // How long it must last. A burst is over before the engine is ready.
        Duration sustained{10s};
        // Between two changes. A change empties the engine and loads it again, several seconds of its time: at one a
        // minute that costs some 10% of one engine, and the view after a change needs time to settle.
        Duration pause{60s};
        int leastPerPool = 1;
    };

    struct View {
        double prefillBusy = 0; // share of the prefill engines' time that is used
        double decodeUse = 0; // share of the decode memory that is held
        bool waiting = false; // requests wait for a place
        int prefillEngines = 0;
        int decodeEngines = 0;
    };

    explicit RoleShift(const Options &options)
        : options(options)
    {
    }

    // The pool that should get one more engine.
    std::optional<Pool> observe(const View &view, Instant now);

private:
    std::optional<Pool> shortPool(const View &view) const;

    Options options;
    std::optional<Pool> wanted;
    Instant wantedSince;
    std::optional<Instant> changed;
};

} // namespace fescuesill
