#pragma once

// The cancelling of one stream at its engine, until the engine confirms that the memory is free.
//
//     Cancellation cancellation(options, now);
//     CancelStep step = cancellation.start();
//     while (step.kind == CancelStep::Delete) {
//         step = deleteStream(stream) ? cancellation.onConfirmed() : cancellation.onFailed(now);
//         if (step.kind == CancelStep::Wait) { sleep(step.wait); step = cancellation.onTimerExpired(); }
//     }
//
// DELETE with the own entry=HOST, answered with 200, 404 or 409 (another entry reads it by now), confirms.
// LeaveToOwner: the owner of the cell removes it by the engine's list.

#include "fescuesill/units.h"

namespace fescuesill
{

struct CancelStep {
    enum Kind {
        Delete,
        Wait,
        Confirmed,
        LeaveToOwner,
    };
    Kind kind = Delete;
    Duration wait{0};
};

class Cancellation
{
public:
    struct Options {
        Duration initialWait{50ms};
        // Doubling stops here: memory is scarce, and an engine back from a restart must hear soon.
        Duration maxWait{2s};
        // After this the owner of the cell has long seen the stream as an orphan; entries keep no endless list.
        Duration giveUpAfter{60s};
    };

    Cancellation(Options options, Instant now);

    CancelStep start() const;
    CancelStep onConfirmed();
    CancelStep onFailed(Instant now);
    CancelStep onTimerExpired() const;

private:
    Options options;
    Instant startedAt;
    Duration wait;
};

} // namespace fescuesill
