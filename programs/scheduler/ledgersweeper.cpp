#include "programs/scheduler/ledgersweeper.h"

#include "wire/clock.h"
#include "wire/log.h"

#include <boost/asio/steady_timer.hpp>

// Each action of the core is one call. Waits are spread by a fifth, so that hosts which start together do not look for
// services together for ever.

namespace fescuesill
{
namespace
{

constexpr double spread = 0.2;

} // namespace

LedgerSweeper::LedgerSweeper(asio::io_context &context, PlatformClient &client, Options given)
    : io(context)
    , platform(client)
    , options(std::move(given))
    , sweep(this->options.self, this->options.sweep)
    , random(std::random_device()())
{
}

void LedgerSweeper::run(const asio::yield_context &yield)
{
    SweepAction action = this->sweep.start();
    for (;;) {
        const SweepEvent event = this->perform(action, yield);
        this->sweep.setHosts(this->options.hosts());
        action = this->sweep.on(event, sharedNow());
        this->publish();
    }
}

SweepEvent LedgerSweeper::perform(const SweepAction &action, const asio::yield_context &yield)
{
    if (const auto *wanted = std::get_if<sweep_action::Read>(&action)) {
        return this->read(*wanted, yield);
    }
    if (const auto *doomed = std::get_if<sweep_action::Delete>(&action)) {
        return this->remove(*doomed, yield);
    }
    return this->wait(std::get<sweep_action::Wait>(action).duration, yield);
}

SweepEvent LedgerSweeper::read(const sweep_action::Read &wanted, const asio::yield_context &yield)
{
    try {
        sweep_event::Rows found;
        for (Row &row : this->platform.rows(ledgerPrefix, wanted.after, wanted.limit, yield)) {
            found.rows.push_back({std::move(row.key), std::move(row.value), row.version});
        }
        return found;
    } catch (const PlatformError &error) {
        Log::debug("sweep_read_failed", {{"error", error.what()}});
        return sweep_event::ReadFailed{};
    }
}

SweepEvent LedgerSweeper::remove(const sweep_action::Delete &doomed, const asio::yield_context &yield)
{
    std::vector<RowWrite> writes;
    writes.reserve(doomed.rows.size());
    for (const sweep_action::Deletable &row : doomed.rows) {
        writes.push_back(RowWrite::remove(row.key, row.version));
    }
    try {
        this->platform.commit(writes, yield);
        return sweep_event::Deleted{};
    } catch (const PlatformError &error) {
        if (const auto *conflict = std::get_if<Conflict>(&error.fault())) {
            return sweep_event::Conflict{conflict->index};
        }
        Log::debug("sweep_delete_failed", {{"error", error.what()}});
        return sweep_event::DeleteFailed{};
    }
}

SweepEvent LedgerSweeper::wait(Duration duration, const asio::yield_context &yield)
{
    std::uniform_real_distribution<double> factor(1.0 - spread, 1.0 + spread);
    asio::steady_timer timer(this->io, std::chrono::duration_cast<Duration>(duration * factor(this->random)));
    boost::system::error_code ignored;
    timer.async_wait(yield[ignored]);
    return sweep_event::TimerExpired{};
}

LedgerSweep::Counts LedgerSweeper::counts() const
{
    const std::lock_guard<std::mutex> lock(this->countsMutex);
    return this->published;
}

void LedgerSweeper::publish()
{
    const LedgerSweep::Counts now = this->sweep.counts();
    this->report(now);
    const std::lock_guard<std::mutex> lock(this->countsMutex);
    this->published = now;
}

// Once a pass that found something.
void LedgerSweeper::report(const LedgerSweep::Counts &now)
{
    if (now.passes == this->reported.passes) {
        return;
    }
    const LedgerSweep::Counts before = std::exchange(this->reported, now);
    if (now.rows != before.rows) {
        Log::info("ledger_swept",
                  {{"rows", now.rows - before.rows},
                   {"deleted", now.deleted - before.deleted},
                   {"conflicts", now.conflicts - before.conflicts},
                   {"malformed", now.malformed - before.malformed},
                   {"reads", now.reads - before.reads}});
    }
}

} // namespace fescuesill
