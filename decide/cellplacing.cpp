// The decisions, in the order in which poll makes them:
//
//   1. engines that are stalled or slow stop getting work;
//   2. results that have expired on their prefill engine go back to the queue;
//   3. results that are ready get the decode memory that is free: most urgent first, then by expiry;
//   4. requests that can no longer meet their target are refused;
//   5. the head of the queue is placed, as long as a prefill engine has room and its decode memory is foreseen;
//   6. what waits beyond what can be served in time is refused, the last of the order first;
//   7. a role change is proposed when one pool has been short for long.
//
// Reserve before reading. Load: decode memory near full. Harm prevented: a prompt is read, finds no place, its result
// expires after less than a second, and the read was wasted: at the peak that would be every tenth prompt and more. A
// request waits before its read, where waiting costs nothing, until its pieces are free or foreseen to come free by the
// end of the read plus a share of the time that the result is kept.
//
// Late binding. With memory short the decode engine is named only when the read has ended. Bound at once a place stands
// empty through read and transfer, a twelfth of its time; foreseen, the next place to come free on any engine is taken,
// and one slow engine holds up nothing but itself.

#include "decide/cellstate.h"

#include <algorithm>
#include <cmath>

namespace fescuesill
{

// Results looked at in one poll for a place. They are in the order of urgency; beyond these none would find one.
constexpr int mostReadyTried = 64;
constexpr Duration pressedTime = 200ms; // about a step and a transfer
constexpr Duration rateWindow = 1s; // of the rate at which a rank is placed: some fifty requests
constexpr int mostPassing = 20; // urgent requests: one in twenty is the least share of a lower rank
constexpr int noUrgency = 1 << 20;

static double fading(Duration age)
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

// A stalled engine tells nothing, so its silence is what shows. Its requests go elsewhere; when it wakes and reports
// them done, they are no longer its own and the report is ignored.
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

// One transfer at a time on a link, as long as the others can wait. Load: links near their rate. Harm prevented:
// transfers that share a link all end late, each holding decode memory meanwhile. One that would miss its target, or
// expire, shares. An urgent one shares with any number: they are few, so they add little to what the others wait.
bool CellState::linkAllows(const Record &record, Instant now) const
{
    const int moving = this->links.moving(this->engines[record.prefill].link, now);
    // A class in a hurry shares the link at once.
    const bool hurry = record.request.requestClass.firstToken <= hurried;
    const bool pressed = hurry || record.readyOrder.by - now < pressedTime;
    return moving == 0 || isUrgent(record) || (pressed && moving < mostMoving);
}

void CellState::startReady(Instant now)
{
    std::vector<std::uint64_t> keys;
    for (const ReadyOrder &order : this->ready) {
        keys.push_back(order.key);
        if (keys.size() >= mostReadyTried) {
            break;
        }
    }
    // The first that needs more pieces than any engine has free gets the engine with the most: were the next ones let
    // by, they would take each single piece as it comes free, and the large one would expire.
    EngineSlot kept = noEngine;
    for (const std::uint64_t key : keys) {
        Record &record = *this->byKey[key];
        ++this->counters.steps;
        if (!this->linkAllows(record, now)) {
            continue;
        }
        const EngineSlot slot = this->chooseDecode(record.pieces, isUrgent(record), now);
        if (slot == noEngine && kept == noEngine) {
            kept = this->mostFree(noEngine);
        }
        if (slot == noEngine || slot == kept) {
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

// Refuse early. Load: more work than the cell can do. Harm prevented: requests that wait out their patience and are
// refused at its end, when their callers could long have gone elsewhere, and a queue so long that all in it are late.
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

// Rate of pieces placed, each placing fading with the time since.
void CellState::notePlaced(const Record &record, Instant now)
{
    PlacedRate &placed = this->placedRates[record.rank];
    placed.rate = placed.rate * fading(now - placed.since)
        + static_cast<double>(record.pieces.value()) / static_cast<double>(rateWindow.count());
    placed.since = now;
}

// More urgent requests that are placed from now on will be ready before one of this rank and take the pieces first.
// Load: live work in a cell that patient work fills. Harm prevented: patient results wait for places that live ones
// take, and expire, or take them in their last moment, and the live ones are late.
double CellState::urgentDemand(int rank, Duration until, Instant now) const
{
    double rate = 0;
    for (auto entry = this->placedRates.begin(); entry != this->placedRates.end() && entry->first < rank; ++entry) {
        rate += entry->second.rate * fading(now - entry->second.since);
    }
    return rate * static_cast<double>(until.count());
}

// Pieces free by then that nobody has been promised. An urgent request takes those that less urgent ones were promised:
// else in a full cell it would wait for results that it will go before anyway. The forecast is a count of random
// releases, so its spread is about the root of its mean; the class says how many spreads are held back.
double CellState::foreseenPieces(const Record &record, Duration until, Instant now) const
{
    const double expected = this->memory.expectedReleases(until);
    const double caution = this->options.caution * record.request.requestClass.wasteWeight;
    const double safe = std::max(0.0, expected - caution * std::sqrt(expected));
    const double demand = this->urgentDemand(record.rank, until, now);
    const Pieces promised = isUrgent(record) ? this->promisedUrgent : this->promised;
    return static_cast<double>((this->memory.totalFree() - promised).value()) + safe - demand;
}

// Urgent past a blocked head. Load: links or prefill engines near their rate, a patient request at the head for its
// share of the work, or one that is placed again. Harm prevented: it waits for room that suits it and holds up urgent
// ones that other room would do for, until they miss their target. The limit keeps the share: urgent work alone above
// the capacity takes each place as it comes free, so after so many the head waits at the front again.
bool CellState::placeNext(Instant now)
{
    const QueueItem *head = this->queue.head();
    if (head == nullptr || this->records.size() - this->queue.size() >= this->options.maxRunning) {
        return false;
    }
    if (this->tryPlace(*head, now)) {
        this->passedHead = 0;
        return true;
    }
    const QueueItem *urgent = this->queue.head(0);
    if (urgent == nullptr || urgent == head || this->passedHead >= mostPassing || !this->tryPlace(*urgent, now)) {
        return false;
    }
    ++this->passedHead;
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
    const double early = this->options.bindEarly * static_cast<double>(this->memory.total().value());
    EngineSlot decode = noEngine;
    if (static_cast<double>(unpromised.value()) >= early && choice.linkWait == Duration(0)) {
        decode = this->chooseDecode(record.pieces, isUrgent(record), now);
    }
    if (decode == noEngine) {
        const auto wait = std::chrono::duration_cast<Duration>(this->options.keep * this->options.keepShare);
        const double foreseen = this->foreseenPieces(record, choice.ahead + choice.read + choice.linkWait + wait, now);
        if (foreseen < static_cast<double>(record.pieces.value())) {
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
    this->notePlaced(record, now);
    ++this->counters.decisions;
    this->admissionOf(record.rank).onPlaced(record.cost, this->queue.backlogAt(record.rank) > Duration(0), now);
    record.stage = Stage::Reading;
    record.prefill = choice.slot;
    record.matched = choice.matched;
    const Tokens known(static_cast<std::int64_t>(choice.matched) * this->options.prefixBlock.value());
    const Tokens context = this->contextOf(record);
    this->prefills.add(choice.slot, record.key, record.rank, this->readTime(std::max(Tokens(0), context - known)), now);

    EngineState &engine = this->engines[choice.slot];
    engine.lastPlaced = now;
    const Instant end = now + choice.ahead + choice.read;
    this->reserveMove(record);
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
    // The engine of the other pool with the least to finish.
    EngineSlot chosen = noEngine;
    if (*pool == Pool::Prefill) {
        chosen = this->mostFree(noEngine);
    } else {
        for (const EngineSlot slot : this->prefillSlots) {
            const bool less = chosen == noEngine
                || this->prefills.ahead(slot, noUrgency, now) < this->prefills.ahead(chosen, noUrgency, now);
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
