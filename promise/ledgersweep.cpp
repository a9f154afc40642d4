#include "promise/ledgersweep.h"

#include "promise/cellowner.h"

#include <algorithm>
#include <xxhash.h>

// Parts. The table lists rows in key order, starting after a given key. Keys begin with the service, so a part consists
// of the rows of one service. The services are found in the table itself, by reading one row after "call/", one after
// the end of its service, and so on. This also covers rows of services that were removed from the declaration. A part
// is assigned to a host by the rendezvous hash of its service over the live hosts.
//   Rejected: parts by workspace. Each host would search for 1,300 parts; with 340 hosts about 700 reads a second.
//   Rejected: every host reads all rows and selects its own by their hash. This takes 340 times the reads.
//   Rejected: an index of rows by expiry. A second row for each booking costs writes, which are scarce.
//
// Rate. The fleet has one fixed rate whatever its size. A host that sweeps k of n parts uses k/n of it. One full part
// beside empty ones is therefore swept at 1/n of the rate.
//
// Safety. A row is deleted only at the version at which it was read and found settled and expired. Any later change
// raises the version, so the commit conflicts and deletes nothing. It is therefore safe for two hosts to sweep the same
// part, for a host to have an outdated view of the fleet, or to be frozen between read and delete. A delete whose reply
// was lost is not resolved; the next pass sees the remaining rows. This requires that the table never assigns the same
// version to one key twice, even across a delete (docs/ARCHITECTURE.md).
//
// Clocks. The expiry of a row is set by its entry's clock and compared with the sweeper's clock; clockMargin covers the
// difference.
//
// A page may be larger than the client accepts (answers of 64 KB each), which would stop the sweep at that key. So a
// failed read is retried with half the rows, down to one.

namespace fescuesill
{
namespace
{

// The character after '/', so that "call/SERVICE" + endOfService sorts after every row of the service.
constexpr char endOfService = '0';

std::string serviceOf(const std::string &key)
{
    const std::size_t begin = std::string(ledgerPrefix).size();
    return key.substr(begin, key.find('/', begin) - begin);
}

} // namespace

LedgerSweep::LedgerSweep(HostId self, Options options)
    : self(std::move(self))
    , options(options)
    , limit(options.page)
{
}

void LedgerSweep::setHosts(std::vector<HostId> live)
{
    this->hosts = std::move(live);
}

LedgerSweep::Counts LedgerSweep::counts() const
{
    return this->totals;
}

SweepAction LedgerSweep::start()
{
    return this->waitForNextPass();
}

SweepAction LedgerSweep::on(const SweepEvent &event, Instant now)
{
    if (std::holds_alternative<sweep_event::ReadFailed>(event)) {
        return this->onReadFailed();
    }
    if (const auto *rows = std::get_if<sweep_event::Rows>(&event)) {
        return this->state == State::FindingServices ? this->onServiceFound(*rows) : this->onPage(*rows, now);
    }
    if (const auto *conflict = std::get_if<sweep_event::Conflict>(&event)) {
        return this->onConflict(conflict->index);
    }
    if (std::holds_alternative<sweep_event::DeleteFailed>(event)) {
        this->deletable.clear();
        return this->wait(State::BeforeRead, this->options.failurePause);
    }
    if (std::holds_alternative<sweep_event::Deleted>(event)) {
        this->totals.deleted += this->deletable.size();
        this->deletable.clear();
        return this->afterPage();
    }
    switch (this->state) {
    case State::BetweenPasses:
        this->services.clear();
        this->cursor.clear();
        return this->findServices();
    case State::FindingServices:
        return this->findServices();
    case State::BeforeDelete:
        return this->sendDelete();
    default:
        return this->nextRead();
    }
}

SweepAction LedgerSweep::waitForNextPass()
{
    return this->wait(State::BetweenPasses, this->options.passPause);
}

SweepAction LedgerSweep::findServices()
{
    if (this->hosts.empty()) {
        return this->waitForNextPass();
    }
    this->state = State::FindingServices;
    return this->read(this->cursor, 1);
}

SweepAction LedgerSweep::onServiceFound(const sweep_event::Rows &found)
{
    if (found.rows.empty()) {
        return this->beginParts();
    }
    const std::string service = serviceOf(found.rows.front().key);
    this->services.push_back(service);
    this->cursor = ledgerPrefix + service + endOfService;
    return this->wait(State::FindingServices, this->options.findPause);
}

SweepAction LedgerSweep::beginParts()
{
    this->currentPart = 0;
    this->cursor.clear();
    this->deletable.clear();
    this->isPartComplete = false;
    return this->wait(State::BeforeRead, this->pace(this->options.readsPerSecond));
}

SweepAction LedgerSweep::wait(State next, Duration duration)
{
    this->state = next;
    return sweep_action::Wait{duration};
}

// Reads the next page of the current part, or the first page of the next part that is still assigned to this host.
SweepAction LedgerSweep::nextRead()
{
    while (this->currentPart < this->services.size()
           && (this->isPartComplete || !this->isOwnPart(this->services[this->currentPart]))) {
        ++this->currentPart;
        this->isPartComplete = false;
        this->cursor.clear();
        this->deletable.clear();
    }
    if (this->currentPart == this->services.size()) {
        ++this->totals.passes;
        return this->waitForNextPass();
    }
    const std::string first = ledgerPrefix + this->services[this->currentPart] + '/';
    this->state = State::Reading;
    return this->read(this->cursor.empty() ? first : this->cursor, this->limit);
}

SweepAction LedgerSweep::read(const std::string &after, std::size_t rows)
{
    ++this->totals.reads;
    return sweep_action::Read{after, rows};
}

SweepAction LedgerSweep::onReadFailed()
{
    const State next = this->state == State::FindingServices ? State::FindingServices : State::BeforeRead;
    this->limit = std::max<std::size_t>(1, this->limit / 2);
    return this->wait(next, this->options.failurePause);
}

SweepAction LedgerSweep::onPage(const sweep_event::Rows &page, Instant now)
{
    this->isPartComplete = page.rows.size() < this->limit;
    for (const SweepRow &row : page.rows) {
        if (serviceOf(row.key) != this->services[this->currentPart]) {
            this->isPartComplete = true;
            break;
        }
        this->cursor = row.key;
        this->examine(row, now);
    }
    this->limit = std::min(this->options.page, this->limit * 2);
    const bool isFull = this->deletable.size() + this->options.page > this->options.rowsPerDelete;
    if (isFull || (this->isPartComplete && !this->deletable.empty())) {
        this->batchConflicts = 0;
        return this->wait(State::BeforeDelete, this->pace(this->options.deletesPerSecond));
    }
    return this->afterPage();
}

void LedgerSweep::examine(const SweepRow &row, Instant now)
{
    ++this->totals.rows;
    const auto record = decodeLedgerRecord(row.value);
    if (!record) {
        ++this->totals.malformed;
    } else if (mayDelete(*record, now, this->options.clockMargin)) {
        this->deletable.push_back({row.key, row.version});
    }
}

SweepAction LedgerSweep::afterPage()
{
    return this->wait(State::BeforeRead, this->pace(this->options.readsPerSecond));
}

// The part may have been reassigned to another host during the wait. Deleting would still be safe, but two hosts would
// use the rate of one.
SweepAction LedgerSweep::sendDelete()
{
    if (!this->isOwnPart(this->services[this->currentPart])) {
        return this->nextRead();
    }
    this->state = State::Deleting;
    return sweep_action::Delete{this->deletable};
}

SweepAction LedgerSweep::onConflict(std::size_t index)
{
    ++this->totals.conflicts;
    if (++this->batchConflicts >= this->options.conflictsPerBatch || index >= this->deletable.size()) {
        this->deletable.clear();
    } else {
        this->deletable.erase(this->deletable.begin() + static_cast<std::ptrdiff_t>(index));
    }
    if (this->deletable.empty()) {
        return this->afterPage();
    }
    return this->wait(State::BeforeDelete, this->pace(this->options.deletesPerSecond));
}

bool LedgerSweep::isOwnPart(const std::string &service) const
{
    return heaviestHost(XXH64(service.data(), service.size(), 0), this->hosts) == this->self;
}

Duration LedgerSweep::pace(double fleetRate) const
{
    const auto mine = std::count_if(this->services.begin(), this->services.end(),
                                    [this](const std::string &service) { return this->isOwnPart(service); });
    const double share = static_cast<double>(std::max<std::ptrdiff_t>(mine, 1))
        / static_cast<double>(std::max<std::size_t>(this->services.size(), 1));
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / (fleetRate * share)));
}

} // namespace fescuesill
