// Failure: a caller goes while its answer is written, and the engine cannot be asked to stop just then. It shows as
// engine memory held for nobody, up to a full engine. The cancellation therefore belongs to no request: it goes on
// until the engine has confirmed, and after its limit the owner of the cell removes the stream as an orphan. The number
// under way is bounded by the streams that were open, since each stream is cancelled once.

#include "programs/entry/canceller.h"

#include "promise/cancellation.h"
#include "wire/clock.h"
#include "wire/log.h"

#include <boost/asio/steady_timer.hpp>

namespace fescuesill
{

Canceller::Canceller(ShardServices &shared)
    : services(shared)
{
}

void Canceller::cancel(CancelTask task)
{
    startCoroutine(this->services.io, [this, task = std::move(task)](const asio::yield_context &yield) {
        const EntryState::Duty duty(this->services.state);
        this->services.metrics.cancellations(1);
        this->run(task, yield);
        this->services.metrics.cancellations(-1);
    });
}

void Canceller::run(const CancelTask &task, const asio::yield_context &yield)
{
    Cancellation cancellation({}, steadyNow());
    CancelStep step = cancellation.start();
    asio::steady_timer timer(this->services.io);
    while (step.kind == CancelStep::Delete || step.kind == CancelStep::Wait) {
        if (step.kind == CancelStep::Wait) {
            boost::system::error_code ignored;
            timer.expires_after(step.wait);
            timer.async_wait(yield[ignored]);
            step = cancellation.onTimerExpired();
            continue;
        }
        try {
            this->services.engines.cancel(task.address, task.stream, this->services.settings.host, yield);
            step = cancellation.onConfirmed();
        } catch (const EngineError &) {
            step = cancellation.onFailed(steadyNow());
        }
    }
    if (step.kind == CancelStep::Confirmed) {
        task.confirmed();
        return;
    }
    this->services.metrics.onCancelLeft();
    Log::warning("cancellation_left", {{"stream", task.stream.value()}, {"engine", task.address}});
}

} // namespace fescuesill
