// Requests of a cell. Every request is a Record in one Stage; the helpers here move a record from one stage
// to the next and keep the tables that belong to a stage in step with it:
//
//     Waiting   in the queue
//     Reading   a job of a prefill engine; its pieces are promised, or held if it was bound at once
//     Ready     in `ready`; its pieces are promised
//     Decoding  its pieces are held on one engine
//
// Work done for a record that has to start again is counted as wasted prefill by its cause, once, where it leaves the
// stage.

#include "decide/cellstate.h"

#include <algorithm>
#include <cmath>

namespace fescuesill
{

constexpr double outputWeight = 0.05; // of one answer in the learnt output length of its class
constexpr double outputMargin = 2.0; // mean distances above the mean that are reserved: some 95% of answers fit
constexpr double delayMargin = 1.0; // spreads above the mean delay that are kept for the way to the first token
constexpr double delayKept = 2e6; // microseconds: a delay learnt longer ago than a burst lasts says little
constexpr double firstTransferTokens = 2000; // of the assumed transfer before any was measured
constexpr int resumedRank = -1; // work that was begun and has to be placed again: most of its cost is already paid
constexpr int hopelessRankStep = 1000;

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
    , movedMicros(firstTransferTokens * static_cast<double>(options.transferPerToken.count()))
    , movedTokens(firstTransferTokens)
    , stepMicros(static_cast<double>(options.decodeStep.count()))
{
}

CellState::Record *CellState::find(const RequestId &request)
{
    const auto found = this->records.find(request);
    return found == this->records.end() ? nullptr : &found->second;
}

// Only what is placed teaches the delay. Load: a moment in which the way took longer than the target leaves. Harm
// prevented: with that as the margin all are refused, none is placed, and the margin stays for ever. So it fades while
// nothing is learnt.
double CellState::Delay::likely(Instant now) const
{
    const double kept = std::exp(-static_cast<double>((now - this->learnt).count()) / delayKept);
    return std::max(0.0, this->mean + delayMargin * this->spread) * kept;
}

Duration CellState::readTime(Tokens tokens) const
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

// Memory grows as the answer lengthens. Load: full engines. Harm prevented: an answer that finds no piece for its next
// token stalls, and with it goes its per-token target. So what nearly all answers of the class need is held from the
// start; it is rarely one piece more than the prompt takes.
Pieces CellState::piecesOf(const Record &record) const
{
    const OutputLength length = this->outputLength(record.request);
    const auto likely = static_cast<std::int64_t>(length.mean + outputMargin * length.spread);
    const Tokens output(std::min(likely, record.request.maxOutput.value()));
    const Pieces need = piecesFor(record.request.prompt + std::max(output, record.output + Tokens(1)));
    const Pieces largest = this->memory.largest();
    return largest > Pieces(0) ? std::min(need, largest) : need;
}

// The share of the cell's time that a request takes: of the prefill engines' and of the decode memory's.
Duration CellState::costOf(const Record &record) const
{
    const auto prefillCount = static_cast<Duration::rep>(std::max<std::size_t>(1, this->prefillSlots.size()));
    const Duration read = this->readTime(this->contextOf(record)) / prefillCount;
    const double hold = this->outputLength(record.request).mean * this->stepMicros;
    const double share = static_cast<double>(record.pieces.value())
        / static_cast<double>(std::max<std::int64_t>(1, this->memory.total().value()));
    return read + Duration(static_cast<Duration::rep>(hold * share));
}

// What the cache that holds most of the prompt spares. Load: prompts behind preambles that all engines hold. Harm
// prevented: judged by its whole length, a live prompt of 3,000 tokens is refused as hopeless although half of it need
// not be read.
Tokens CellState::likelyReused(const PlaceRequest &request)
{
    this->counters.steps += this->prefixes.match(request.prefix, this->matches);
    std::size_t most = 0;
    for (const PrefixIndex::Match &match : this->matches) {
        most = std::max(most, match.blocks);
    }
    const Tokens held(static_cast<std::int64_t>(most) * this->options.prefixBlock.value());
    return std::min(held, std::max(Tokens(0), request.prompt - Tokens(1)));
}

// From the start of the read to the first token, with nothing in the way.
Duration CellState::serviceTime(const Record &record) const
{
    const double transfer = this->transferMicros * static_cast<double>(record.request.prompt.value());
    const double step = stepsToFirstToken * this->stepMicros;
    return this->readTime(record.request.prompt - record.reused)
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
    record.reused = this->likelyReused(record.request);
    record.pieces = this->piecesOf(record);
    record.cost = this->costOf(record);
    record.rank = rank;
    const Delay &delay = isUrgent(record) ? this->urgentDelay : this->hurriedDelay;
    const double late = delay.likely(now);
    const Duration least = this->serviceTime(record);
    const Duration service = least + Duration(static_cast<Duration::rep>(late));
    if (record.answered) {
        record.latest = now + requestClass.patience;
    } else if (least > requestClass.firstToken) {
        // No cell could meet this target. Refused it would be refused for ever, and served by rank it would cost others
        // theirs: it goes last, as long as its caller waits.
        record.latest = record.request.arrival + requestClass.patience;
        record.rank = rank == resumedRank ? rank : rank + hopelessRankStep;
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
        this->takeBack(record);
    }
    this->endMove(record);
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

void CellState::takeBack(const Record &record)
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
    const int hurry = requestClass.firstToken > hurried ? 2 : 1;
    record.readyOrder = {isUrgent(record) ? 0 : hurry, late ? record.keepUntil : target, record.key};
    this->ready.insert(record.readyOrder);
}

void CellState::startDecoding(Record &record, Instant now)
{
    record.stage = Stage::Decoding;
    record.begun = true;
    record.decodeSince = now;
    this->beginMove(record, now);
    EngineState &engine = this->engines[record.decode];
    engine.progressAt = engine.decoding == 0 ? now : engine.progressAt;
    ++engine.decoding;
}

void CellState::leaveReady(Record &record)
{
    this->ready.erase(record.readyOrder);
    this->takeBack(record);
}

void CellState::holdDecode(Record &record, EngineSlot slot, Instant now)
{
    record.decode = slot;
    record.heldSince = now;
    this->memory.hold(slot, record.pieces, now);
    ++this->engines[slot].running;
}

void CellState::reserveMove(Record &record)
{
    if (!record.reserved) {
        record.reserved = true;
        const double transfer = this->transferMicros * static_cast<double>(this->contextOf(record).value());
        record.transfer = Duration(static_cast<Duration::rep>(transfer));
        this->links.reserve(this->engines[record.prefill].link, record.transfer);
    }
}

void CellState::beginMove(Record &record, Instant now)
{
    // One taken over from another owner has moved already, and from where is not known.
    if (record.prefill == noEngine) {
        return;
    }
    this->reserveMove(record);
    record.moving = true;
    const std::size_t link = this->engines[record.prefill].link;
    record.linkAlone = this->links.moving(link, now) == 0;
    this->links.begin(link, record.transfer, now);
    record.linkShared = this->links.shared(link);
}

void CellState::endMove(Record &record)
{
    if (!record.reserved) {
        return;
    }
    const std::size_t link = this->engines[record.prefill].link;
    if (record.moving) {
        record.linkAlone = record.linkAlone && this->links.shared(link) == record.linkShared;
        this->links.end(link);
    } else {
        this->links.giveBack(link, record.transfer);
    }
    record.reserved = false;
    record.moving = false;
}

void CellState::releaseDecode(Record &record, Instant now)
{
    this->memory.release(record.decode, record.pieces, now - record.heldSince, now);
    EngineState &engine = this->engines[record.decode];
    this->endMove(record);
    --engine.running;
    engine.decoding -= record.stage == Stage::Decoding ? 1 : 0;
    record.decode = noEngine;
}

// Begins again from the prompt. The budget bounds it: a cell whose engines all fail must not read every prompt again
// and again.
void CellState::requeue(Record &record, Tokens &wasted, RefusalCode code, Instant now)
{
    if (record.stage == Stage::Reading) {
        this->leavePrefill(record, now);
    } else if (record.stage == Stage::Ready) {
        this->leaveReady(record);
    }
    if (record.decode != noEngine) {
        this->releaseDecode(record, now);
    }
    this->endMove(record);
    wasted += record.read;
    record.read = Tokens(0);
    record.prefill = noEngine;
    const bool inTime = record.answered || now <= record.latest;
    if (++record.attempts >= this->options.attempts || !inTime || !this->retries.take()) {
        this->refuse(record.request.request, code, "placed again too often or too late", now);
        return;
    }
    ++this->counters.replaced;
    this->enqueue(record, resumedRank, now);
}

void CellState::refuse(RequestId request, RefusalCode code, const char *text, Instant now)
{
    ++this->counters.refused;
    Refusal refusal{code, RunState::NotRun, text, std::nullopt};
    if (Record *record = this->find(request)) {
        refusal.run = record->begun ? RunState::MayHaveRun : RunState::NotRun;
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
    Duration least = Duration::max();
    for (const EngineSlot slot : this->prefillSlots) {
        if (this->prefills.usable(slot)) {
            ++summary.prefillEngines;
            least = std::min(least, this->prefills.ahead(slot, hopelessRankStep, now));
        }
    }
    summary.queueDelay = summary.prefillEngines > 0 ? backlog + least : Duration(0);
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
