// The life of an attempt as an entry leads it. Every message takes a hop; a message about a placement that has been
// replaced is known by its run key and dropped.

#include "cell.h"

#include <algorithm>

namespace fescuesill::bench
{

Cell::Cell(EventQueue &events, const Workload &workload, int number, PolicyKind kind,
           std::function<void(const Outcome &)> ended)
    : events(events)
    , workload(workload)
    , name("dc" + std::to_string(number))
    , ended(std::move(ended))
    , policy(makePolicy(kind, *this))
{
    const int count = workload.prefillPerCell + workload.decodePerCell;
    for (int i = 0; i < count; ++i) {
        const bool prefill = i < workload.prefillPerCell;
        const std::string engineName = this->name + (prefill ? "-p" : "-d") + std::to_string(i);
        Engine engine;
        engine.spec = EngineSpec{EngineId(engineName),
                                 prefill ? Pool::Prefill : Pool::Decode,
                                 workload.model.memory,
                                 DataCentreId(this->name),
                                 "",
                                 false};
        engine.prefill = std::make_unique<FakePrefill>(events, workload.model);
        engine.link = std::make_unique<FakeLink>(events, workload.model, workload.settings.seed * 1000 + i);
        engine.decode = std::make_unique<FakeDecode>(events, workload.model);
        this->engines.push_back(std::move(engine));
    }
    this->tell([](Policy &policy) { std::visit([](auto &decider) { decider.enginesChanged(); }, policy); });
    for (std::size_t i = 0; i < this->engines.size(); ++i) {
        this->events.after(workload.model.reportInterval, [this, i] { this->publish(i); });
    }
}

// Unlisted engines are shown as leaving, so that their index stays.
std::vector<EngineSpec> Cell::specs() const
{
    std::vector<EngineSpec> specs;
    for (const Engine &engine : this->engines) {
        specs.push_back(engine.spec);
        specs.back().leaving = engine.spec.leaving || !engine.listed;
    }
    return specs;
}

void Cell::tell(const std::function<void(Policy &)> &event)
{
    event(this->policy);
}

CellSummary Cell::summary() const
{
    return std::visit([](const auto &decider) { return decider.summary(); }, this->policy);
}

void Cell::publish(std::size_t index)
{
    Engine &engine = this->engines[index];
    const EngineModel &model = this->workload.model;
    this->events.after(model.reportInterval, [this, index] { this->publish(index); });
    if (engine.dead) {
        return;
    }
    LoadReport report;
    report.piecesUsed = engine.decode->used();
    report.running = engine.decode->count();
    report.queued = engine.prefill->queuedTokens();
    report.age = model.reportLag;
    report.instance = std::to_string(engine.life);
    this->events.after(model.reportLag, [this, report, id = engine.spec.engine] {
        std::visit([&](auto &decider) { decider.loadReport(id, report); }, this->policy);
    });
    auto cacheEvents = std::exchange(engine.prefill->cacheEvents, {});
    if (cacheEvents.empty()) {
        return;
    }
    const std::uint64_t hash = (this->events.now().time_since_epoch().count() + index) * 0x9E3779B97F4A7C15ULL;
    if (static_cast<double>(hash >> 40U) / static_cast<double>(1U << 24U) < model.cacheLoss) {
        return;
    }
    this->events.after(model.cacheLag, [this, cacheEvents, id = engine.spec.engine] {
        std::visit([&](auto &decider) { decider.cacheEvents(id, cacheEvents, false); }, this->policy);
    });
}

Cell::Attempt *Cell::find(const RequestId &request)
{
    const auto found = this->attempts.find(request);
    return found == this->attempts.end() ? nullptr : &found->second;
}

Cell::Attempt *Cell::find(const RequestId &request, RunKey run)
{
    Attempt *attempt = this->find(request);
    return attempt != nullptr && attempt->run == run ? attempt : nullptr;
}

void Cell::submit(const Job &job, int number, Duration waited)
{
    const RequestId request(std::to_string(job.number) + "." + std::to_string(number));
    Attempt &attempt = this->attempts[request];
    attempt.outcome.request = request;
    attempt.outcome.job = &job;
    attempt.outcome.attempt = number;
    attempt.outcome.arrival = this->events.now();
    PlaceRequest place;
    place.request = request;
    place.workspace = job.workspace;
    place.requestClass = job.targets;
    place.prompt = job.prompt;
    place.prefix = job.prefix;
    place.arrival = this->events.now() - waited;
    this->events.after(this->workload.model.hop, [this, place] {
        if (this->find(place.request) != nullptr) {
            std::visit([&](auto &decider) { decider.submit(place); }, this->policy);
        }
    });
}

// Ends what runs of an attempt and counts what was read of it as wasted.
void Cell::drop(Attempt &attempt, Tokens &cause)
{
    const Tokens partial = this->engines[attempt.prefill].prefill->cancel(attempt.run);
    this->wasted.read += partial;
    cause += partial;
    if (attempt.stage == Stage::Read || attempt.stage == Stage::Moving) {
        cause += attempt.read;
    }
    if (attempt.stage == Stage::Moving || attempt.stage == Stage::Decoding) {
        this->engines[attempt.decode].decode->cancel(attempt.run);
    }
}

void Cell::finish(const RequestId &request, Attempt &attempt)
{
    const Outcome outcome = attempt.outcome;
    this->attempts.erase(request);
    this->ended(outcome);
}

void Cell::startPrefill(const RequestId &request, std::size_t index)
{
    Attempt *attempt = this->find(request);
    if (attempt == nullptr) {
        return;
    }
    // A result that is held, or that was used by an engine that died, is read anew.
    this->drop(*attempt,
               this->workload.model.keep.count() > 0 && attempt->stage == Stage::Read ? this->wasted.expired
                                                                                      : this->wasted.redone);
    if (attempt->stage == Stage::Decoding) {
        this->wasted.redone += attempt->read;
    }
    attempt->stage = Stage::Reading;
    attempt->run = this->nextRun++;
    attempt->outcome.placed = this->events.now();
    ++attempt->outcome.placings;
    attempt->outcome.prefill = index;
    attempt->read = Tokens(0);
    attempt->prefill = index;
    this->events.after(this->workload.model.hop, [this, request, index, run = attempt->run] {
        Attempt *attempt = this->find(request, run);
        if (attempt == nullptr) {
            return;
        }
        Engine &engine = this->engines[index];
        const Job &job = *attempt->outcome.job;
        const auto done = [this, request, run](PrefillResult result) {
            this->onRead(request, run, result);
        };
        const bool accepted =
            !engine.dead && engine.prefill->read(run, job.targets.rank, job, job.prompt + attempt->written, done);
        if (!accepted) {
            const PrefillFault fault = engine.dead ? PrefillFault::Unreachable : PrefillFault::QueueFull;
            std::visit([&](auto &decider) { decider.prefillFailed(request, fault); }, this->policy);
        }
    });
}

void Cell::onRead(const RequestId &request, RunKey run, const PrefillResult &result)
{
    this->wasted.read += result.read;
    this->wasted.reused += result.reused;
    Attempt *attempt = this->find(request, run);
    if (attempt == nullptr) {
        return;
    }
    attempt->stage = Stage::Read;
    attempt->outcome.read = this->events.now();
    attempt->read = result.read;
    attempt->kvUntil = this->events.now() + result.keep;
    this->events.after(this->workload.model.hop, [this, request, run, result] {
        if (this->find(request, run) != nullptr) {
            std::visit([&](auto &decider) { decider.prefillDone(request, result); }, this->policy);
        }
    });
}

void Cell::startDecode(const RequestId &request, std::size_t index)
{
    Attempt *attempt = this->find(request);
    if (attempt != nullptr) {
        attempt->outcome.decodeAsked = this->events.now();
        attempt->outcome.decode = index;
        this->events.after(this->workload.model.hop, [this, request, index, run = attempt->run] {
            if (this->find(request, run) != nullptr) {
                this->arriveDecode(request, index);
            }
        });
    }
}

void Cell::decodeFailed(const RequestId &request, DecodeFault fault)
{
    Attempt &attempt = *this->find(request);
    const bool held = this->events.now() < attempt.kvUntil && !this->engines[attempt.prefill].dead;
    const bool kvHeld = held && fault != DecodeFault::KvGone;
    // From now on the result counts as held only where it is.
    if (attempt.stage == Stage::Moving || (attempt.stage == Stage::Decoding && kvHeld)) {
        attempt.stage = Stage::Read;
    }
    this->events.after(this->workload.model.hop, [this, request, fault, kvHeld, run = attempt.run] {
        if (this->find(request, run) != nullptr) {
            std::visit([&](auto &decider) { decider.decodeFailed(request, fault, kvHeld); }, this->policy);
        }
    });
}

void Cell::arriveDecode(const RequestId &request, std::size_t index)
{
    Attempt &attempt = *this->find(request);
    Engine &engine = this->engines[index];
    const Tokens context = attempt.outcome.job->prompt + attempt.written;
    attempt.decode = index;
    if (this->events.now() >= attempt.kvUntil || this->engines[attempt.prefill].dead) {
        this->decodeFailed(request, DecodeFault::KvGone);
        return;
    }
    if (engine.dead) {
        this->decodeFailed(request, DecodeFault::Unreachable);
        return;
    }
    if (!engine.decode->hold(attempt.run, context)) {
        this->decodeFailed(request, DecodeFault::NoMemory);
        return;
    }
    attempt.stage = Stage::Moving;
    const RunKey run = attempt.run;
    if (engine.decode->isStalled()) {
        this->giveUpLater(request, run);
    }
    const auto notify = [this, request, run](auto event) {
        return [this, request, run, event](auto... arguments) {
            Attempt *attempt = this->find(request, run);
            if (attempt != nullptr) {
                event(*attempt, arguments...);
            }
        };
    };
    const auto tellLater = [this, request, run](auto call) {
        this->events.after(this->workload.model.hop, [this, request, run, call] {
            if (this->find(request, run) != nullptr) {
                std::visit(call, this->policy);
            }
        });
    };
    const Tokens before = attempt.written;
    FakeDecode::Listener listener;
    listener.firstToken = notify([this, request, before, tellLater](Attempt &own) {
        own.stage = Stage::Decoding;
        own.written = before + Tokens(1);
        if (own.firstTokenAt == Instant()) {
            own.firstTokenAt = this->events.now();
            own.outcome.firstToken = own.firstTokenAt - own.outcome.arrival;
        }
        tellLater([request](auto &decider) { decider.firstToken(request); });
    });
    listener.progress = notify([request, before, tellLater](Attempt &own, Tokens written) {
        own.written = before + written;
        tellLater([request, total = own.written](auto &decider) { decider.progress(request, total); });
    });
    listener.finished = notify([this, request](Attempt &own) {
        const Tokens output = own.outcome.job->output;
        const auto gaps = std::max<std::int64_t>(1, output.value() - 1);
        own.outcome.perToken = (this->events.now() - own.firstTokenAt) / gaps;
        own.outcome.completed = true;
        this->events.after(this->workload.model.hop, [this, request] {
            std::visit([&](auto &decider) { decider.finished(request); }, this->policy);
        });
        this->finish(request, own);
    });
    listener.dropped = notify([this, request](Attempt &) { this->decodeFailed(request, DecodeFault::KvGone); });
    const Tokens left = attempt.outcome.job->output - before;
    this->engines[attempt.prefill].link->move(context, [this, request, run, index, left, listener] {
        if (this->find(request, run) != nullptr) {
            this->engines[index].decode->start(run, left, listener);
        }
    });
}

void Cell::refuse(const RequestId &request, std::optional<Duration> retryAfter)
{
    Attempt *attempt = this->find(request);
    if (attempt == nullptr) {
        return;
    }
    this->drop(*attempt, this->wasted.noPlace);
    attempt->outcome.retryAfter = retryAfter;
    this->finish(request, *attempt);
}

void Cell::cancel(const RequestId &request)
{
    Attempt *attempt = this->find(request);
    if (attempt == nullptr) {
        return;
    }
    this->drop(*attempt, this->wasted.cancelled);
    this->attempts.erase(request);
    this->events.after(this->workload.model.hop, [this, request] {
        std::visit([&](auto &decider) { decider.cancelled(request); }, this->policy);
    });
}

double Cell::memoryUse() const
{
    double held = 0;
    double total = 0;
    for (const Engine &engine : this->engines) {
        if (engine.spec.pool == Pool::Decode) {
            held += engine.decode->pieceSeconds(this->events.now());
            total += static_cast<double>(this->workload.model.memory.value())
                * std::chrono::duration<double>(this->events.now().time_since_epoch()).count();
        }
    }
    return total > 0 ? held / total : 0;
}

std::vector<double> Cell::prefillUse() const
{
    std::vector<double> use;
    for (const Engine &engine : this->engines) {
        if (engine.spec.pool == Pool::Prefill) {
            use.push_back(std::chrono::duration<double>(engine.prefill->busyTime()).count()
                          / std::chrono::duration<double>(this->events.now().time_since_epoch()).count());
        }
    }
    return use;
}

} // namespace fescuesill::bench
