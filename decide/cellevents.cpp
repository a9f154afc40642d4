// Events of a cell. They may be late, duplicated or about requests that have ended. An event that does not fit the
// stage of its request is ignored, because a later event has set that stage.

#include "decide/cellstate.h"

#include <algorithm>

namespace fescuesill
{

constexpr double delayWeight = 0.02; // weight of one request in the mean delay: one or two seconds of a cell's requests
constexpr double stepWeight = 0.01; // weight of one sample in the cell's decode step
constexpr double transferWeight = 0.05; // weight of one transfer in the measured rate
// A transfer is measured from the start of the decode to the first token, less a step. Samples beyond maxTransferRatio
// times the estimate include waiting for something else.
constexpr double minTransferMicros = 0.1; // per token: ten times faster than any link of today
constexpr double maxTransferRatio = 20;

void CellState::onLoadReport(const EngineId &name, const LoadReport &report, Instant now)
{
    const EngineSlot slot = this->table.find(name);
    if (slot == noEngine) {
        return;
    }
    const std::string known = this->engines[slot].instance;
    if (!known.empty() && known != report.instance) {
        this->markEngineLost(slot, now);
    }
    EngineState &engine = this->engines[slot];
    engine.instance = report.instance;
    // A report older than the loss does not show that the engine works again.
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
    // After a gap an eviction may have been missed. The index entries stay, since the next prefill corrects wrong ones.
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
        this->markEngineLost(slot, now);
    }
}

void CellState::onPrefillDone(const RequestId &request, const PrefillResult &result, Instant now)
{
    Record *record = this->find(request);
    if (record == nullptr || record->stage != Stage::Prefilling) {
        return;
    }
    if (const auto slowness = this->prefills.done(record->prefill, record->key, now)) {
        this->prefillOutliers.onSample(record->prefill, *slowness, now);
    }
    this->counters.promptComputed += result.read;
    this->counters.promptReused += result.reused;
    const auto reused = static_cast<std::size_t>(result.reused.value() / this->options.prefixBlock.value());
    if (reused < record->matched) {
        this->prefixes.correct(record->request.prefix, record->prefill, reused);
    }
    this->prefixes.learn(record->request.prefix, record->prefill);
    record->computed = result.read;
    record->keepUntil = now + (result.keep > Duration(0) ? result.keep : this->options.keep);
    if (record->decode != noEngine) {
        this->startDecoding(*record, now);
        return;
    }
    this->releasePromise(*record);
    this->makeReady(*record);
}

void CellState::onPrefillFailed(const RequestId &request, PrefillFault fault, Instant now)
{
    Record *record = this->find(request);
    if (record == nullptr || record->stage != Stage::Prefilling) {
        return;
    }
    if (fault == PrefillFault::Unreachable) {
        // The engine's other prefills are reported one by one.
        this->prefillOutliers.onFailure(record->prefill, now);
        this->refreshPrefill(record->prefill, now);
    }
    this->requeue(*record, this->counters.wastedRedone, RefusalCode::EndpointFailed, now);
}

// Measures the engine's step: the time between two progress reports of one stream, per token.
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

// Measures the time to the first token beyond its nominal value, for interactive classes. It is caused by prefills that
// run first, memory released late and shared links. Urgent requests are placed before the others and have a mean of
// their own: with the delay of all classes as its margin, an urgent request with a long prompt was refused in every
// burst.
void CellState::learnDelay(const Record &record, Instant now)
{
    if (record.request.requestClass.firstToken > maxInteractiveFirstToken) {
        return;
    }
    const auto took = static_cast<double>((now - record.placedAt).count());
    const double extra = took - static_cast<double>(this->serviceTime(record).count());
    Delay &delay = isUrgent(record) ? this->urgentDelay : this->interactiveDelay;
    const double error = extra - delay.mean;
    delay.updated = now;
    delay.mean += delayWeight * error;
    delay.spread += delayWeight * (std::abs(error) - delay.spread);
}

// The sums of times and of tokens decay alike. Their quotient is not distorted by short prompts, whose time is mostly
// the wait for a step.
void CellState::learnTransfer(const Record &record, Instant now)
{
    if (!record.linkExclusive || record.answered) {
        return;
    }
    const double elapsed =
        static_cast<double>((now - record.decodeSince).count()) - stepsToFirstToken * this->stepMicros;
    const auto tokens = static_cast<double>(this->contextOf(record).value());
    if (elapsed > maxTransferRatio * this->transferMicros * tokens) {
        return;
    }
    this->transferredMicros += transferWeight * (elapsed - this->transferredMicros);
    this->transferredTokens += transferWeight * (tokens - this->transferredTokens);
    this->transferMicros = std::max(minTransferMicros, this->transferredMicros / this->transferredTokens);
}

void CellState::onFirstToken(const RequestId &request, Instant now)
{
    Record *record = this->find(request);
    if (record == nullptr || record->stage != Stage::Decoding) {
        return;
    }
    this->endTransfer(*record);
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
    this->endTransfer(*record);
    this->sampleStep(*record, output, now);
    // The answer needs more memory than was reserved for it.
    const Pieces need = piecesFor(this->contextOf(*record));
    if (need > record->pieces) {
        this->memory.hold(record->decode, need - record->pieces, now);
        record->pieces = need;
    }
}

// The decode engine died or refused. If an engine with twenty answers dies, the prefill results of the latest are still
// on their prefill engines, and those prompts are not computed again.
void CellState::onDecodeFailed(const RequestId &request, DecodeFault fault, bool kvHeld, Instant now)
{
    Record *record = this->find(request);
    if (record == nullptr || record->stage != Stage::Decoding) {
        return;
    }
    const EngineSlot failed = record->decode;
    this->releaseDecode(*record, now);
    if (fault == DecodeFault::NoMemory) {
        // The memory is held by something unknown to this owner. Nothing is placed there until the next report states
        // what is free.
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
    case Stage::Prefilling:
        this->leavePrefill(*record, now);
        break;
    case Stage::Ready:
        this->leaveReady(*record);
        this->endTransfer(*record);
        break;
    case Stage::Decoding:
        break;
    }
    if (!record->answered) {
        this->counters.wastedCancelled += record->computed;
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
