// The I/O around WriteBatch: a timer for its window, one coroutine for each commit, one for each write that waits. A
// commit's faults map onto the ledger's events by one question: can it have taken effect?

#include "programs/entry/ledgertable.h"

#include "wire/clock.h"

namespace fescuesill
{

LedgerTable::LedgerTable(asio::io_context &context, PlatformClient &client)
    : io(context)
    , platform(client)
    , batch(WriteBatch::Options{})
    , timer(context)
{
}

LedgerTable::Result LedgerTable::write(const TableWrite &write, const asio::yield_context &yield)
{
    const WriteTicket ticket = ++this->lastTicket;
    if (!this->batch.add(ticket, write, steadyNow())) {
        return table::Refused{};
    }
    Waiter waiter(this->io);
    this->waiters[ticket] = &waiter;
    this->schedule();
    waiter.timer.expires_at(asio::steady_timer::time_point::max());
    while (!waiter.result) {
        boost::system::error_code ignored;
        waiter.timer.async_wait(yield[ignored]);
    }
    this->waiters.erase(ticket);
    return *waiter.result;
}

void LedgerTable::schedule()
{
    const auto due = this->batch.due();
    if (!due) {
        return;
    }
    // A write that is put back is due at Instant::min(), from which no time can be taken.
    const Instant now = steadyNow();
    this->timer.expires_after(*due > now ? *due - now : Duration(0));
    this->timer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            this->commitDue();
        }
    });
}

void LedgerTable::commitDue()
{
    while (auto due = this->batch.take(steadyNow())) {
        startCoroutine(this->io, [this, commit = std::move(*due)](const asio::yield_context &yield) {
            this->commit(commit, yield);
        });
    }
    this->schedule();
}

void LedgerTable::commit(const BatchCommit &commit, const asio::yield_context &yield)
{
    std::vector<RowWrite> writes;
    writes.reserve(commit.writes.size());
    for (const TableWrite &write : commit.writes) {
        writes.push_back(RowWrite::put(write.key, write.value, write.ifVersion));
    }
    try {
        this->finish(this->batch.onCommitted(commit.id, this->platform.commit(writes, yield)));
    } catch (const PlatformError &error) {
        if (const auto *conflict = std::get_if<Conflict>(&error.fault())) {
            const Row &row = conflict->current;
            const auto current = row.version == absent ? std::nullopt : std::optional(TableRow{row.value, row.version});
            this->finish(this->batch.onConflict(commit.id, conflict->index, current));
        } else if (error.mayHaveTakenEffect()) {
            this->finish(this->batch.onNoReply(commit.id));
        } else {
            this->finish(this->batch.onRefused(commit.id));
        }
    }
    this->commitDue();
}

void LedgerTable::finish(const std::vector<BatchResult> &results)
{
    for (const BatchResult &result : results) {
        const auto found = this->waiters.find(result.ticket);
        if (found != this->waiters.end()) {
            found->second->result = result.result;
            found->second->timer.cancel();
        }
    }
}

} // namespace fescuesill
