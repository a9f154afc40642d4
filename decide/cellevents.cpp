// Events of a cell. They may be late, doubled or about requests that have ended: an event that does not fit the stage
// of its request is ignored, for the stage was reached by a later event.

#include "decide/cellstate.h"

#include <algorithm>

namespace fescuesill
{

constexpr double delayWeight = 0.02; // of one request in the learnt delay: a second or two of a cell's work
constexpr double stepWeight = 0.01; // of one sample in the cell's decode step
constexpr double transferWeight = 0.05; // of one transfer in the measured rate
// A transfer is measured from the start of the decode to the first token, less a step; samples beyond this many times
// the estimate were waiting for something else.
constexpr double leastTransfer = 0.1; // microseconds a token: ten times faster than any link of today
constexpr double wildTransfer = 20;

void CellState::onLoadReport(const EngineId &name, const LoadReport &report, Instant now)
{
    const EngineSlot slot = this->table.find(name);
    if (slot == noEngine) {
        return;
    }
    const std::string known = this->engines[slot].instance;
    if (!known.empty() && known != report.instance) {
        this->loseEngine(slot, now);
    }
    EngineState &engine = this->engines[slot];
    engine.instance = report.instance;
    // A report that is older than the loss tells nothing about life after it.
    if (engine.lost && engine.listed && now - report.age > engine.lostAt) {
        engine.lost = false;
        this->refreshPools(now);
    }
    if (known == report.instance && engine.spec.pool == Pool::Decode) {
        this->memory.onReport(slot, report.piecesUsed, now);
    }
}

void CellState::onCacheEvents(const EngineId &name, const std::vector<CacheEvent> &events, bool gap)
{
    const EngineSlot slot = this->table.find(name);
    if (slot == noEngine) {
        return;
    }
    // After a gap an eviction may have been missed. What is still believed is corrected by the next read, so it stays.
    (void)gap;
    for (const CacheEvent &event : events) {
        if (event.kind == CacheEvent::Kind::Added) {
            this->prefixes.add(event.prefix, slot);
        } else {
            this->prefixes.remove(event.prefix, slot);
        }
    }
}

void CellState::onEngineLost(const EngineId &name, Instant now)
{
    const EngineSlot slot = this->table.find(name);
    if (slot != noEngine) {
        this->loseEngine(slot, now);
    }
}

void CellState::onPrefillDone(const RequestId &request, const PrefillResult &result, Instant now)
{
    Record *record = this->find(request);
    if (record == nullptr || record->stage != Stage::Reading) {
        return;
    }
    if (const auto slowness = this->prefills.done(record->prefill, record->key, now)) {
        this->prefillOutliers.onSample(record->prefill, *slowness, now);
    }
    this->counters.promptRead += result.read;
    this->counters.promptReused += result.reused;
    const auto reused = static_cast<std::size_t>(result.reused.value() / this->options.prefixBlock.value());
    if (reused < record->matched) {
        this->prefixes.correct(record->request.prefix, record->prefill, reused);
    }
    this->prefixes.learn(record->request.prefix, record->prefill);
    record->read = result.read;
    record->keepUntil = now + (result.keep > Duration(0) ? result.keep : this->options.keep);
    if (record->decode != noEngine) {
        this->startDecoding(*record, now);
        return;
    }
    this->takeBack(*record);
    this->makeReady(*record);
}

void CellState::onPrefillFailed(const RequestId &request, PrefillFault fault, Instant now)
{
    Record *record = this->find(request);
    if (record == nullptr || record->stage != Stage::Reading) {
        return;
    }
    if (fault == PrefillFault::Unreachable) {
        // Its other reads are reported one by one.
        this->prefillOutliers.onFailure(record->prefill, now);
        this->refreshPrefill(record->prefill, now);
    }
    this->requeue(*record, this->counters.wastedRedone, RefusalCode::EndpointFailed, now);
}

// How fast this engine writes: the time between two reports of one stream, for each token.
void CellState::sampleStep(Record &record, Tokens output, Instant now)
{
    EngineState &engine = this->engines[record.decode];
    engine.progressAt = now;
    const Tokens written = output - record.output;
    if (written > Tokens(0) && record.output > Tokens(0)) {
        const auto step = static_cast<double>((now - record.progressAt).count()) / static_cast<double>(written.value());
        this->decodeOutliers.onSample(record.decode, step, now);
        this->stepMicros += stepWeight * (step - this->stepMicros);
    }
    record.output = std::max(record.output, output);
    record.progressAt = now;
}

// What the way to the first token took beyond its nominal time, for classes in a hurry: reads that go ahead, places
// that come free late, links that are shared. Urgent ones go before the others and learn apart: with the delay of all
// in its margin an urgent request with a long prompt was refused in every burst.
void CellState::learnDelay(const Record &record, Instant now)
{
    if (record.request.requestClass.firstToken > hurried) {
        return;
    }
    const auto took = static_cast<double>((now - record.placedAt).count());
    const double extra = took - static_cast<double>(this->serviceTime(record).count());
    Delay &delay = isUrgent(record) ? this->urgentDelay : this->hurriedDelay;
    const double error = extra - delay.mean;
    delay.learnt = now;
    delay.mean += delayWeight * error;
    delay.spread += delayWeight * (std::abs(error) - delay.spread);
}

// Sums of times and of tokens fade alike; their quotient is not bent by short prompts, whose time is mostly the wait
// for a step.
void CellState::learnTransfer(const Record &record, Instant now)
{
    if (!record.linkAlone || record.answered) {
        return;
    }
    const double moved = static_cast<double>((now - record.decodeSince).count()) - stepsToFirstToken * this->stepMicros;
    const auto tokens = static_cast<double>(this->contextOf(record).value());
    if (moved > wildTransfer * this->transferMicros * tokens) {
        return;
    }
    this->movedMicros += transferWeight * (moved - this->movedMicros);
    this->movedTokens += transferWeight * (tokens - this->movedTokens);
    this->transferMicros = std::max(leastTransfer, this->movedMicros / this->movedTokens);
}

void CellState::onFirstToken(const RequestId &request, Instant now)
{
    Record *record = this->find(request);
    if (record == nullptr || record->stage != Stage::Decoding) {
        return;
    }
    this->endMove(*record);
    this->learnTransfer(*record, now);
    if (!record->answered && record->attempts == 0) {
        this->learnDelay(*record, now);
    }
    record->answered = true;
    this->sampleStep(*record, std::max(Tokens(1), record->output), now);
}

void CellState::onProgress(const RequestId &request, Tokens output, Instant now)
{
    Record *record = this->find(request);
    if (record == nullptr || record->stage != Stage::Decoding) {
        return;
    }
    record->answered = true;
    this->endMove(*record);
    this->sampleStep(*record, output, now);
    // The answer has outgrown what was reserved for it.
    const Pieces need = piecesFor(this->contextOf(*record));
    if (need > record->pieces) {
        this->memory.hold(record->decode, need - record->pieces, now);
        record->pieces = need;
    }
}

// The decode engine died or refused. Load: an engine with twenty answers dies. Harm prevented: twenty prompts read
// again while the results of the latest still lie on their prefill engines.
void CellState::onDecodeFailed(const RequestId &request, DecodeFault fault, bool kvHeld, Instant now)
{
    Record *record = this->find(request);
    if (record == nullptr || record->stage != Stage::Decoding) {
        return;
    }
    const EngineSlot failed = record->decode;
    this->releaseDecode(*record, now);
    if (fault == DecodeFault::NoMemory) {
        // Something we do not know of holds it. Nothing goes there until the next report says what is free.
        this->memory.onReport(failed, this->engines[failed].spec.memory + this->memory.held(failed), now);
    } else if (fault == DecodeFault::Unreachable) {
        this->decodeOutliers.onFailure(failed, now);
        this->refreshDecode(failed, now);
    }
    if (kvHeld && now < record->keepUntil && fault != DecodeFault::KvGone) {
        this->counters.resumed += fault == DecodeFault::Unreachable ? 1 : 0;
        this->makeReady(*record);
        return;
    }
    record->stage = Stage::Waiting;
    Tokens &wasted = fault == DecodeFault::Unreachable ? this->counters.wastedRedone : this->counters.wastedExpired;
    this->requeue(*record, wasted, RefusalCode::EndpointFailed, now);
}

void CellState::onFinished(const RequestId &request, Instant now)
{
    Record *record = this->find(request);
    if (record == nullptr || record->stage != Stage::Decoding) {
        return;
    }
    this->engines[record->decode].progressAt = now;
    this->learnOutput(record->request, record->output);
    this->releaseDecode(*record, now);
    this->retries.onSuccess();
    ++this->counters.finished;
    this->erase(*record);
}

void CellState::onCancelled(const RequestId &request, Instant now)
{
    Record *record = this->find(request);
    if (record == nullptr) {
        return;
    }
    ++this->counters.cancelled;
    switch (record->stage) {
    case Stage::Waiting:
        this->queue.remove(request);
        break;
    case Stage::Reading:
        this->leavePrefill(*record, now);
        break;
    case Stage::Ready:
        this->leaveReady(*record);
        this->endMove(*record);
        break;
    case Stage::Decoding:
        break;
    }
    if (!record->answered) {
        this->counters.wastedCancelled += record->read;
    }
    if (record->decode != noEngine) {
        this->releaseDecode(*record, now);
    }
    this->erase(*record);
}

void CellState::adopt(const HeldRequest &held, Instant now)
{
    const EngineSlot slot = this->table.find(held.decodeEngine);
    if (slot == noEngine || this->records.count(held.request.request) != 0) {
        return;
    }
    Record &record = this->records[held.request.request];
    record.key = this->nextKey++;
    record.request = held.request;
    record.output = held.output;
    record.answered = held.output > Tokens(0);
    record.progressAt = now;
    record.pieces = this->piecesOf(record);
    this->byKey[record.key] = &record;
    this->holdDecode(record, slot, now);
    this->startDecoding(record, now);
}

} // namespace fescuesill
