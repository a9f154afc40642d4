#pragma once

// The planned stop of one process.
//
//     Draining draining(options);
//     draining.start(now);                                   // SIGTERM or POST /drain
//     draining.onWork(DrainWork{requests, cells, duties});     // whenever it changes
//     draining.isReady(); draining.admits(now);               // /readyz; a new request
//     draining.moves(now);                                    // end movable streams with their resume token
//     draining.mayExit(now);

#include "fescuesill/errors.h"
#include "fescuesill/units.h"

#include <optional>

namespace fescuesill
{

// What is still to be done here.
struct DrainWork {
    int requests = 0; // in progress, streams included
    int cells = 0; // owned by this scheduler
    int duties = 0; // ledger rows to settle, cancellations not confirmed
};

enum class DrainPhase {
    Serving,
    Announcing, // not ready, still admits: the balancer has not noticed yet
    Finishing, // admits nothing, serves what runs
    Moving, // past the limit: streams are moved
    Finished,
};

class Draining
{
public:
    struct Options {
        // How long the balancer takes to see /readyz fail. Refusing sooner would refuse requests for no reason.
        Duration announce{3s};
        // After this, streams are handed to another entry by their resume token.
        Duration limit{60s};
    };

    explicit Draining(Options options);

    void start(Instant now);
    void onWork(DrainWork work);

    DrainPhase phase(Instant now) const;
    bool isReady() const;
    bool admits(Instant now) const;
    // Cells go to their next owner as soon as the stop begins.
    bool handsOverCells() const;
    bool moves(Instant now) const;
    bool mayExit(Instant now) const;

private:
    Options options;
    std::optional<Instant> started;
    DrainWork work;
};

// What a request is told that comes too late.
Refusal drainingRefusal();

} // namespace fescuesill
