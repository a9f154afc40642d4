#pragma once

// Cancels one stream at its engine, retrying until the engine confirms that its memory is free.
//
//     Cancellation cancellation(options, now);
//     CancelStep step = cancellation.start();
//     while (step.kind == CancelStep::Delete) {
//         step = deleteStream(stream) ? cancellation.onConfirmed() : cancellation.onFailed(now);
//         if (step.kind == CancelStep::Wait) { sleep(step.wait); step = cancellation.onTimerExpired(); }
//     }
//
// A DELETE with this host's entry=HOST is confirmed by 200, 404 or 409 (another entry reads the stream by now).
// LeaveToOwner: the owner of the cell removes the stream, using the engine's list of streams.

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
        // Upper bound of the exponential backoff: memory is scarce, and an engine that has restarted must receive the
        // cancellation soon.
        Duration maxWait{2s};
        // By then the owner of the cell has detected the stream as an orphan. Bounds the list that an entry keeps.
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
