#pragma once

// The graceful shutdown of one process.
//
//     Draining draining(options);
//     draining.start(now);                                   // SIGTERM or POST /drain
//     draining.onWork(DrainWork{requests, cells, duties});     // whenever the counts change
//     draining.isReady(); draining.admits(now);               // /readyz; a new request
//     draining.sends(now, deadline);                          // each time a request is to go to an endpoint
//     draining.isOver(now);                                   // answer what is unanswered before the process is killed
//     draining.moves(now);                                    // end movable streams with their resume token
//     draining.mayExit(now);

#include "fescuesill/errors.h"
#include "fescuesill/units.h"

#include <optional>

namespace fescuesill
{

// The work that this process still has to finish.
struct DrainWork {
    int requests = 0; // in progress, streams included
    int cells = 0; // owned by this scheduler
    int duties = 0; // ledger rows to settle, cancellations not confirmed
};

enum class DrainPhase {
    Serving,
    Announcing, // reports not ready, still admits: the load balancer has not noticed yet
    Finishing, // admits no new requests, completes the running ones
    Moving, // past the limit: streams are moved to other entries
    Finished,
};

class Draining
{
public:
    struct Options {
        // How long the load balancer takes to see /readyz fail. Refusing earlier would turn requests away needlessly.
        Duration announce{3s};
        // After this, streams are moved to other entries with their resume tokens. A process that its supervisor kills
        // is killed then.
        Duration limit{60s};
        // Before the limit, to answer what has no answer yet.
        Duration lastAnswers{500ms};
    };

    explicit Draining(Options options);

    void start(Instant now);
    void onWork(DrainWork work);

    DrainPhase phase(Instant now) const;
    bool isReady() const;
    bool admits(Instant now) const;
    // Whether a request that was admitted may be sent to an endpoint now. `deadline`: when its caller has an answer at
    // the latest.
    bool sends(Instant now, Instant deadline) const;
    // Whether the process is about to be killed.
    bool isOver(Instant now) const;
    // Cells are transferred to their next owner as soon as the shutdown begins.
    bool handsOverCells() const;
    bool moves(Instant now) const;
    bool mayExit(Instant now) const;

private:
    Options options;
    std::optional<Instant> started;
    DrainWork work;
};

// The refusal for a request that arrives after admission has ended.
Refusal drainingRefusal();

} // namespace fescuesill
