// The requests of a cell. Every request is a Record in one Stage. The functions here move a record from one stage to
// the next and keep the tables that belong to a stage consistent with it:
//
//     Waiting     in the queue
//     Prefilling  a job of a prefill engine; its pieces are promised, or held if it was bound when placed
//     Ready       in `ready`; its pieces are promised
//     Decoding    its pieces are held on one engine
//
// Prefill work of a record that has to start again is counted as wasted by its cause, once, when the record leaves the
// stage.

#include "decide/cellstate.h"

#include <algorithm>
#include <cmath>

namespace fescuesill
{

constexpr double outputWeight = 0.05; // weight of one answer in the output length of its class
constexpr double outputMargin = 2.0; // mean deviations above the mean that are reserved: some 95% of answers fit
constexpr double delayMargin = 1.0; // mean deviations added to the mean delay to the first token
// about the length of a burst: an older delay no longer predicts the present one
constexpr double delayDecayMicros = 2e6;
constexpr double assumedTransferTokens = 2000; // weight of the configured rate, as one transfer of this length
constexpr int requeuedRank = -1; // a request that is placed again: most of its cost is already paid
constexpr int unmeetableRankOffset = 1000;

CellState::CellState(const CellScheduler::Options &options)
    : options(options)
    , queue(options.queue)
    , memory(options.memory)
    , prefills(options.prefill)
    , prefillOutliers(options.outliers)
    , decodeOutliers(options.outliers)
    , prefixes(options.prefixes)
    , roles(options.roles)
    , retries(options.retries)
    , transferMicros(static_cast<double>(options.transferPerToken.count()))
    , transferredMicros(assumedTransferTokens * static_cast<double>(options.transferPerToken.count()))
    , transferredTokens(assumedTransferTokens)
    , stepMicros(static_cast<double>(options.decodeStep.count()))
{
}

CellState::Record *CellState::find(const RequestId &request)
{
    const auto found = this->records.find(request);
    return found == this->records.end() ? nullptr : &found->second;
}

// The delay is updated only by requests that are placed. If it grew longer than the target leaves, every request would
// be refused, none would be placed and the delay would never be corrected. So it decays while it is not updated.
double CellState::Delay::expected(Instant now) const
{
    const double kept = std::exp(-static_cast<double>((now - this->updated).count()) / delayDecayMicros);
    return std::max(0.0, this->mean + delayMargin * this->spread) * kept;
}

Duration CellState::prefillTime(Tokens tokens) const
{
    return this->options.prefillBase + this->options.prefillPerToken * tokens.value();
}

Tokens CellState::contextOf(const Record &record) const
{
    return record.request.prompt + record.output;
}

CellState::OutputLength CellState::outputLength(const PlaceRequest &request) const
{
    const auto found = this->outputs.find(request.requestClass.name);
    if (found != this->outputs.end()) {
        return found->second;
    }
    const auto mean = static_cast<double>(this->options.outputLength.value());
    return OutputLength{mean, mean / 2};
}

void CellState::learnOutput(const PlaceRequest &request, Tokens output)
{
    OutputLength length = this->outputLength(request);
    const double error = static_cast<double>(output.value()) - length.mean;
    length.mean += outputWeight * error;
    length.spread += outputWeight * (std::abs(error) - length.spread);
    this->outputs[request.requestClass.name] = length;
}

// The memory of a request grows with its output. On a full engine, an answer that finds no piece for its next token
// stalls and misses its per-token target. So what nearly all answers of the class need is held from the start; it is
// rarely one piece more than the prompt takes.
Pieces CellState::piecesOf(const Record &record) const
{
    const OutputLength length = this->outputLength(record.request);
    const auto likely = static_cast<std::int64_t>(length.mean + outputMargin * length.spread);
    const Tokens output(std::min(likely, record.request.maxOutput.value()));
    const Pieces need = piecesFor(record.request.prompt + std::max(output, record.output + Tokens(1)));
    const Pieces largest = this->memory.largest();
    return largest > Pieces(0) ? std::min(need, largest) : need;
}

// The share of the cell's time that a request takes, of the prefill engines and of the decode memory.
Duration CellState::costOf(const Record &record) const
{
    const auto prefillCount = static_cast<Duration::rep>(std::max<std::size_t>(1, this->prefillSlots.size()));
    const Duration prefill = this->prefillTime(this->contextOf(record)) / prefillCount;
    const double hold = this->outputLength(record.request).mean * this->stepMicros;
    const double share = static_cast<double>(record.pieces.value())
        / static_cast<double>(std::max<std::int64_t>(1, this->memory.total().value()));
    return prefill + Duration(static_cast<Duration::rep>(hold * share));
}

// The longest part of the prompt that some engine's cache holds. Judged by its whole length, an interactive prompt of
// 3,000 tokens behind a preamble that all engines hold would count as unable to meet its target, although half of it is
// not computed again.
Tokens CellState::expectedReuse(const PlaceRequest &request)
{
    this->counters.steps += this->prefixes.match(request.prefix, this->matches);
    std::size_t longest = 0;
    for (const PrefixIndex::Match &match : this->matches) {
        longest = std::max(longest, match.blocks);
    }
    const Tokens held(static_cast<std::int64_t>(longest) * this->options.prefixBlock.value());
    return std::min(held, std::max(Tokens(0), request.prompt - Tokens(1)));
}

// Time from the start of the prefill to the first token, without any waiting.
Duration CellState::serviceTime(const Record &record) const
{
    const double transfer = this->transferMicros * static_cast<double>(record.request.prompt.value());
    const double step = stepsToFirstToken * this->stepMicros;
    return this->prefillTime(record.request.prompt - record.reused)
        + Duration(static_cast<Duration::rep>(transfer + step));
}

void CellState::submit(const PlaceRequest &request, Instant now)
{
    if (this->records.count(request.request) != 0) {
        return;
    }
    ++this->counters.submitted;
    if (this->records.size() >= this->options.maxRunning + this->options.maxWaiting) {
        this->refuse(request.request, RefusalCode::Overloaded, "the cell holds as many requests as it can", now);
        return;
    }
    Record &record = this->records[request.request];
    record.key = this->nextKey++;
    record.request = request;
    this->byKey[record.key] = &record;
    this->enqueue(record, request.requestClass.rank, now);
    while (this->queue.size() > this->options.maxWaiting) {
        const auto last = this->queue.takeLast(*this->queue.lastRank());
        this->refuse(last->request, RefusalCode::Overloaded, "the queue is full", now);
    }
}

void CellState::enqueue(Record &record, int rank, Instant now)
{
    const RequestClass &requestClass = record.request.requestClass;
    record.stage = Stage::Waiting;
    record.reused = this->expectedReuse(record.request);
    record.pieces = this->piecesOf(record);
    record.cost = this->costOf(record);
    record.rank = rank;
    const Delay &delay = isUrgent(record) ? this->urgentDelay : this->interactiveDelay;
    const double extra = delay.expected(now);
    const Duration nominal = this->serviceTime(record);
    const Duration service = nominal + Duration(static_cast<Duration::rep>(extra));
    if (record.answered) {
        record.latest = now + requestClass.patience;
    } else if (nominal > requestClass.firstToken) {
        // No cell could meet this target, so a retry would be refused as well, and placing by rank would delay other
        // requests. It is served after all others, within its patience.
        record.latest = record.request.arrival + requestClass.patience;
        record.rank = rank == requeuedRank ? rank : rank + unmeetableRankOffset;
    } else {
        record.latest = record.request.arrival + std::min(requestClass.patience, requestClass.firstToken - service);
    }
    this->windows[record.rank] = std::max(Duration(1), record.latest - now);
    this->queue.push({record.request.request, record.request.workspace, record.rank, record.cost,
                      record.request.arrival, record.latest});
}

void CellState::leavePrefill(Record &record, Instant now)
{
    this->prefills.remove(record.prefill, record.key, now);
    if (record.decode == noEngine) {
        this->releasePromise(record);
    }
    this->endTransfer(record);
}

bool CellState::isUrgent(const Record &record)
{
    return record.request.requestClass.rank == 0;
}

void CellState::promise(const Record &record)
{
    this->promised += record.pieces;
    this->promisedUrgent += isUrgent(record) ? record.pieces : Pieces(0);
}

void CellState::releasePromise(const Record &record)
{
    this->promised -= record.pieces;
    this->promisedUrgent -= isUrgent(record) ? record.pieces : Pieces(0);
}

void CellState::makeReady(Record &record)
{
    record.stage = Stage::Ready;
    this->promise(record);
    const RequestClass &requestClass = record.request.requestClass;
    const Instant target = record.request.arrival + requestClass.firstToken - record.transfer;
    const bool late = record.answered || target > record.keepUntil;
    const int order = requestClass.firstToken > maxInteractiveFirstToken ? 2 : 1;
    record.readyOrder = {isUrgent(record) ? 0 : order, late ? record.keepUntil : target, record.key};
    this->ready.insert(record.readyOrder);
}

void CellState::startDecoding(Record &record, Instant now)
{
    record.stage = Stage::Decoding;
    record.decodeStarted = true;
    record.decodeSince = now;
    this->beginTransfer(record, now);
    EngineState &engine = this->engines[record.decode];
    engine.progressAt = engine.decoding == 0 ? now : engine.progressAt;
    ++engine.decoding;
}

void CellState::leaveReady(Record &record)
{
    this->ready.erase(record.readyOrder);
    this->releasePromise(record);
}

void CellState::holdDecode(Record &record, EngineSlot slot, Instant now)
{
    record.decode = slot;
    record.heldSince = now;
    this->memory.hold(slot, record.pieces, now);
    ++this->engines[slot].running;
}

void CellState::reserveTransfer(Record &record)
{
    if (!record.reserved) {
        record.reserved = true;
        const double transfer = this->transferMicros * static_cast<double>(this->contextOf(record).value());
        record.transfer = Duration(static_cast<Duration::rep>(transfer));
        this->links.reserve(this->engines[record.prefill].link, record.transfer);
    }
}

void CellState::beginTransfer(Record &record, Instant now)
{
    // A request taken over from another owner has been transferred already, and its prefill engine is unknown.
    if (record.prefill == noEngine) {
        return;
    }
    this->reserveTransfer(record);
    record.transferring = true;
    const std::size_t link = this->engines[record.prefill].link;
    record.linkExclusive = this->links.active(link, now) == 0;
    this->links.begin(link, record.transfer, now);
    record.linkOverlaps = this->links.overlaps(link);
}

void CellState::endTransfer(Record &record)
{
    if (!record.reserved) {
        return;
    }
    const std::size_t link = this->engines[record.prefill].link;
    if (record.transferring) {
        record.linkExclusive = record.linkExclusive && this->links.overlaps(link) == record.linkOverlaps;
        this->links.end(link);
    } else {
        this->links.cancelReservation(link, record.transfer);
    }
    record.reserved = false;
    record.transferring = false;
}

void CellState::releaseDecode(Record &record, Instant now)
{
    this->memory.release(record.decode, record.pieces, now - record.heldSince, now);
    EngineState &engine = this->engines[record.decode];
    this->endTransfer(record);
    --engine.running;
    engine.decoding -= record.stage == Stage::Decoding ? 1 : 0;
    record.decode = noEngine;
}

// Restarts the request from the prompt. The retry budget limits this, so that a cell whose engines all fail does not
// repeat every prefill.
void CellState::requeue(Record &record, Tokens &wasted, RefusalCode code, Instant now)
{
    if (record.stage == Stage::Prefilling) {
        this->leavePrefill(record, now);
    } else if (record.stage == Stage::Ready) {
        this->leaveReady(record);
    }
    if (record.decode != noEngine) {
        this->releaseDecode(record, now);
    }
    this->endTransfer(record);
    wasted += record.computed;
    record.computed = Tokens(0);
    record.prefill = noEngine;
    const bool inTime = record.answered || now <= record.latest;
    if (++record.attempts >= this->options.attempts || !inTime || !this->retries.take()) {
        this->refuse(record.request.request, code, "placed again too often or too late", now);
        return;
    }
    ++this->counters.replaced;
    this->enqueue(record, requeuedRank, now);
}

void CellState::refuse(RequestId request, RefusalCode code, const char *text, Instant now)
{
    ++this->counters.refused;
    Refusal refusal{code, RunState::NotRun, text, std::nullopt};
    if (Record *record = this->find(request)) {
        refusal.run = record->decodeStarted ? RunState::MayHaveRun : RunState::NotRun;
        Admission &admission = this->admissionOf(record->rank);
        refusal.retryAfter = admission.retryAfter(this->queue.backlogAt(record->rank), record->cost, now);
        this->erase(*record);
    } else {
        refusal.retryAfter = this->options.admission.minRetryAfter;
    }
    this->actions.emplace_back(Refuse{std::move(request), refusal});
}

void CellState::erase(Record &record)
{
    this->byKey.erase(record.key);
    this->records.erase(record.request.request);
}

Admission &CellState::admissionOf(int rank)
{
    return this->admissions.try_emplace(rank, this->options.admission).first->second;
}

std::optional<Instant> CellState::nextWake() const
{
    if (this->queue.size() > 0 || !this->ready.empty()) {
        return this->lastPoll + this->options.pollInterval;
    }
    if (!this->records.empty()) {
        return this->lastPoll + refreshInterval;
    }
    return std::nullopt;
}

CellSummary CellState::summary(Instant now) const
{
    CellSummary summary;
    Duration backlog{0};
    if (const auto last = this->queue.lastRank()) {
        backlog = this->queue.backlog(*last);
    }
    Duration shortest = Duration::max();
    for (const EngineSlot slot : this->prefillSlots) {
        if (this->prefills.usable(slot)) {
            ++summary.prefillEngines;
            shortest = std::min(shortest, this->prefills.ahead(slot, unmeetableRankOffset, now));
        }
    }
    summary.queueDelay = summary.prefillEngines > 0 ? backlog + shortest : Duration(0);
    summary.prefillPerToken = this->options.prefillPerToken;
    summary.freePieces = std::max(Pieces(0), this->memory.totalFree() - this->promised);
    summary.decodeEngines = this->memory.usableEngines();
    if (this->memory.total() > Pieces(0)) {
        summary.memoryUse =
            1 - static_cast<double>(summary.freePieces.value()) / static_cast<double>(this->memory.total().value());
    }
    summary.accepting = summary.prefillEngines > 0 && summary.decodeEngines > 0;
    return summary;
}

} // namespace fescuesill
