// The decisions, in the order in which poll() makes them:
//
//   1. engines that are stalled or slow get no more work;
//   2. requests whose results expired on their prefill engine return to the queue;
//   3. results that are ready get free decode memory: most urgent first, then by expiry;
//   4. requests that can no longer meet their target are refused;
//   5. the head of the queue is placed while a prefill engine has room and decode memory is forecast for it;
//   6. requests beyond what can be served in time are refused, the last in order first;
//   7. a role change is proposed if one pool has been short for long.
//
// Memory is reserved before the prefill. With decode memory near full, a prompt would otherwise be prefilled, find no
// memory, and its result would expire after less than a second: at the peak that would waste the prefill of every tenth
// prompt and more. A request waits before its prefill, where waiting costs nothing, until its pieces are free or are
// forecast to become free by the end of the prefill plus a share of the time that the result is kept.
//
// Late binding. With memory short the decode engine is chosen only when the prefill has ended. Memory bound when the
// request is placed would be unused during prefill and transfer, a twelfth of the time that it is held. With the
// forecast, the next memory released on any engine is used, and one slow engine delays only its own requests.

#include "decide/cellstate.h"

#include <algorithm>
#include <cmath>

namespace fescuesill
{

// Results tried in one poll. They are in order of urgency; results after these would find no memory.
constexpr int maxReadyTried = 64;
// A result that expires or misses its target within this time shares its link: about a step and a transfer.
constexpr Duration deadlineMargin = 200ms;
constexpr Duration rateWindow = 1s; // time constant of the placing rate of a rank: some fifty requests
constexpr int maxPlacedPastHead = 20; // urgent requests: a lower rank gets at least one placing in twenty
constexpr int lowestRank = 1 << 20;

static double decayFactor(Duration age)
{
    return std::exp(-static_cast<double>(age.count()) / static_cast<double>(rateWindow.count()));
}

std::vector<Action> CellState::poll(Instant now)
{
    if (now >= this->lastRefresh + refreshInterval) {
        this->lastRefresh = now;
        this->checkStalls(now);
    }
    this->prefills.measureBusy(now);
    this->expireReady(now);
    this->startReady(now);
    this->refuseExpired(now);
    while (this->placeNext(now)) { }
    this->refuseExcess(now);
    if (this->options.shiftRoles) {
        this->shiftRoles(now);
    }
    this->lastPoll = now;
    return std::exchange(this->actions, {});
}

// A stalled engine reports nothing and is detected by the missing reports. Its requests are placed elsewhere. If it
// resumes and reports them done, they no longer belong to it and the report is ignored.
void CellState::checkStalls(Instant now)
{
    this->decodeOutliers.evaluate(now);
    for (const EngineSlot slot : this->decodeSlots) {
        this->refreshDecode(slot, now);
    }
    this->prefillOutliers.evaluate(now);
    for (const EngineSlot slot : this->prefillSlots) {
        this->refreshPrefill(slot, now);
        if (!this->prefills.overdue(slot, now)) {
            continue;
        }
        this->prefillOutliers.onStall(slot, now);
        this->refreshPrefill(slot, now);
        for (const std::uint64_t key : this->prefills.jobs(slot)) {
            this->requeue(*this->byKey[key], this->counters.wastedRedone, RefusalCode::EndpointFailed, now);
        }
    }
}

void CellState::expireReady(Instant now)
{
    std::vector<std::uint64_t> expired;
    for (const ReadyOrder &order : this->ready) {
        if (this->byKey[order.key]->keepUntil <= now) {
            expired.push_back(order.key);
        }
    }
    for (const std::uint64_t key : expired) {
        this->requeue(*this->byKey[key], this->counters.wastedExpired, RefusalCode::Overloaded, now);
    }
}

// One transfer at a time uses a link, as long as the others can wait: near the rate of a link, transfers that share it
// all end late, and each holds decode memory meanwhile. A transfer that would miss its target or expire shares the
// link. Urgent ones share it with any number of others: they are few, so they add little delay to the others.
bool CellState::linkAllows(const Record &record, Instant now) const
{
    const int moving = this->links.active(this->engines[record.prefill].link, now);
    // Interactive classes share the link immediately.
    const bool interactive = record.request.requestClass.firstToken <= maxInteractiveFirstToken;
    const bool nearDeadline = interactive || record.readyOrder.by - now < deadlineMargin;
    return moving == 0 || isUrgent(record) || (nearDeadline && moving < maxConcurrentTransfers);
}

void CellState::startReady(Instant now)
{
    std::vector<std::uint64_t> keys;
    for (const ReadyOrder &order : this->ready) {
        keys.push_back(order.key);
        if (keys.size() >= maxReadyTried) {
            break;
        }
    }
    // The first result that needs more pieces than any engine has free reserves the engine with the most free pieces.
    // Otherwise the results after it would take each single piece as it is released, and the large one would expire.
    EngineSlot reservedSlot = noEngine;
    for (const std::uint64_t key : keys) {
        Record &record = *this->byKey[key];
        ++this->counters.steps;
        if (!this->linkAllows(record, now)) {
            continue;
        }
        const EngineSlot slot = this->chooseDecode(record.pieces, isUrgent(record), now);
        if (slot == noEngine && reservedSlot == noEngine) {
            reservedSlot = this->mostFree(noEngine);
        }
        if (slot == noEngine || slot == reservedSlot) {
            continue;
        }
        this->leaveReady(record);
        this->holdDecode(record, slot, now);
        this->startDecoding(record, now);
        this->actions.emplace_back(StartDecode{record.request.request, this->table.name(slot)});
    }
}

void CellState::refuseExpired(Instant now)
{
    for (const QueueItem &item : this->queue.takeExpired(now)) {
        this->refuse(item.request, RefusalCode::Overloaded, "the target can no longer be met", now);
    }
}

// Refuses early. Under overload, requests would otherwise wait until the end of their patience and be refused then,
// although their callers could have tried elsewhere, and the queue would grow so long that every request in it is late.
void CellState::refuseExcess(Instant now)
{
    for (const auto &[rank, window] : this->windows) {
        Admission &admission = this->admissionOf(rank);
        while (admission.expectedWait(this->queue.backlogAt(rank)) > window) {
            const auto last = this->queue.takeLast(rank);
            if (!last) {
                break;
            }
            this->refuse(last->request, RefusalCode::Overloaded, "the queue is longer than this class waits", now);
        }
    }
}

// Updates the rate of pieces placed. Each placing decays with its age.
void CellState::recordPlaced(const Record &record, Instant now)
{
    PlacedRate &placed = this->placedRates[record.rank];
    placed.rate = placed.rate * decayFactor(now - placed.since)
        + static_cast<double>(record.pieces.value()) / static_cast<double>(rateWindow.count());
    placed.since = now;
}

// Pieces that more urgent requests, placed from now on, will take before a request of this rank is ready. Without this,
// in a cell filled by patient work, patient results wait for memory that interactive requests take and expire, or take
// the memory at the last moment and delay the interactive requests.
double CellState::urgentDemand(int rank, Duration until, Instant now) const
{
    double rate = 0;
    for (auto entry = this->placedRates.begin(); entry != this->placedRates.end() && entry->first < rank; ++entry) {
        rate += entry->second.rate * decayFactor(now - entry->second.since);
    }
    return rate * static_cast<double>(until.count());
}

// Pieces that will be free by then and are promised to no other request. An urgent request may take pieces promised to
// less urgent ones: otherwise, in a full cell, it would wait for results that it overtakes anyway. The forecast counts
// random releases, so its standard deviation is about the root of its mean; the class sets by how many standard
// deviations it is reduced.
double CellState::forecastFreePieces(const Record &record, Duration until, Instant now) const
{
    const double expected = this->memory.expectedReleases(until);
    const double caution = this->options.caution * record.request.requestClass.wasteWeight;
    const double safe = std::max(0.0, expected - caution * std::sqrt(expected));
    const double demand = this->urgentDemand(record.rank, until, now);
    const Pieces promised = isUrgent(record) ? this->promisedUrgent : this->promised;
    return static_cast<double>((this->memory.totalFree() - promised).value()) + safe - demand;
}

// Places urgent requests past a blocked head. With links or prefill engines near their rate, the head may be a patient
// request that is due for its share of the work, or one that is placed again. While it waits for suitable room it would
// delay urgent requests that could use other room, until they miss their target. The limit preserves the share: urgent
// work alone above the capacity would take all memory as it is released, so after this many urgent requests the head is
// the only candidate again.
bool CellState::placeNext(Instant now)
{
    const QueueItem *head = this->queue.head();
    if (head == nullptr || this->records.size() - this->queue.size() >= this->options.maxRunning) {
        return false;
    }
    if (this->tryPlace(*head, now)) {
        this->placedPastHead = 0;
        return true;
    }
    const QueueItem *urgent = this->queue.head(0);
    if (urgent == nullptr || urgent == head || this->placedPastHead >= maxPlacedPastHead
        || !this->tryPlace(*urgent, now)) {
        return false;
    }
    ++this->placedPastHead;
    return true;
}

bool CellState::tryPlace(const QueueItem &item, Instant now)
{
    Record &record = this->records.find(item.request)->second;
    const PrefillChoice choice = this->choosePrefill(record, now);
    if (choice.slot == noEngine) {
        return false;
    }
    const Pieces unpromised = this->memory.totalFree() - this->promised;
    const double early = this->options.earlyBindFreeShare * static_cast<double>(this->memory.total().value());
    EngineSlot decode = noEngine;
    if (static_cast<double>(unpromised.value()) >= early && choice.linkWait == Duration(0)) {
        decode = this->chooseDecode(record.pieces, isUrgent(record), now);
    }
    if (decode == noEngine) {
        const auto wait = std::chrono::duration_cast<Duration>(this->options.keep * this->options.keepShare);
        const double forecast =
            this->forecastFreePieces(record, choice.ahead + choice.prefill + choice.linkWait + wait, now);
        if (forecast < static_cast<double>(record.pieces.value())) {
            return false;
        }
    }
    this->queue.pop(item.rank);
    this->place(record, choice, decode, now);
    return true;
}

void CellState::place(Record &record, const PrefillChoice &choice, EngineSlot decode, Instant now)
{
    ++this->counters.placed;
    record.placedAt = now;
    this->recordPlaced(record, now);
    ++this->counters.decisions;
    this->admissionOf(record.rank).onPlaced(record.cost, this->queue.backlogAt(record.rank) > Duration(0), now);
    record.stage = Stage::Prefilling;
    record.prefill = choice.slot;
    record.matched = choice.matched;
    const Tokens known(static_cast<std::int64_t>(choice.matched) * this->options.prefixBlock.value());
    const Tokens context = this->contextOf(record);
    this->prefills.add(choice.slot, record.key, record.rank, this->prefillTime(std::max(Tokens(0), context - known)),
                       now);

    EngineState &engine = this->engines[choice.slot];
    engine.lastPlaced = now;
    const Instant end = now + choice.ahead + choice.prefill;
    this->reserveTransfer(record);
    const bool bound = decode != noEngine;
    if (bound) {
        this->holdDecode(record, decode, now);
    } else {
        this->promise(record);
        decode = this->mostFree(noEngine);
    }
    const EngineId decodeName = decode == noEngine ? EngineId() : this->table.name(decode);
    this->actions.emplace_back(
        Place{record.request.request, this->table.name(choice.slot), decodeName, bound, end + this->options.keep});
}

void CellState::shiftRoles(Instant now)
{
    RoleShift::View view;
    view.prefillBusy = this->prefills.busyShare();
    view.waiting = this->queue.size() > 0;
    view.prefillEngines = static_cast<int>(this->prefillSlots.size());
    view.decodeEngines = static_cast<int>(this->decodeSlots.size());
    const auto total = static_cast<double>(this->memory.total().value());
    view.decodeUse = total > 0 ? 1 - static_cast<double>(this->memory.totalFree().value()) / total : 0;
    const auto pool = this->roles.observe(view, now);
    if (!pool) {
        return;
    }
    // The engine of the other pool with the least work left.
    EngineSlot chosen = noEngine;
    if (*pool == Pool::Prefill) {
        chosen = this->mostFree(noEngine);
    } else {
        for (const EngineSlot slot : this->prefillSlots) {
            const bool less = chosen == noEngine
                || this->prefills.ahead(slot, lowestRank, now) < this->prefills.ahead(chosen, lowestRank, now);
            chosen = this->takesWork(slot) && less ? slot : chosen;
        }
    }
    if (chosen != noEngine) {
        this->engines[chosen].changing = true;
        this->refreshPools(now);
        this->actions.emplace_back(ChangeRole{this->table.name(chosen), *pool});
    }
}

} // namespace fescuesill
