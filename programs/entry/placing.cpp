// With an owner every decision is the owner's. Without one (its link is down or breaks while we wait) the entry places
// by power of two choices among the declared engines: it does not know their queues, so an engine may refuse, and then
// another is tried within the retry budget. Such placings are counted and logged; they cost quality, never safety, as
// an engine checks its own memory.

#include "programs/entry/placing.h"

#include "programs/entry/degradedloads.h"
#include "wire/clock.h"
#include "wire/log.h"

namespace fescuesill
{
namespace
{

constexpr int triesHere = 3;
constexpr Duration overloadedRetry{1s};

Pool poolOf(EngineRole role)
{
    return role == EngineRole::Prefill ? Pool::Prefill : Pool::Decode;
}

CellSummary summaryOf(const peer::CellUpdate &news)
{
    CellSummary summary;
    summary.queueDelay = news.queueDelay;
    summary.prefillPerToken = news.prefillPerToken;
    summary.memoryUse = news.memoryUse;
    summary.freePieces = news.freePieces;
    summary.accepting = news.accepting;
    summary.version = news.version;
    summary.decodeEngines = 1; // at least: the owner says that the cell accepts
    summary.prefillEngines = 1;
    return summary;
}

void feedPlacers(ShardServices &services, const Declaration &declaration)
{
    std::map<CellId, std::vector<EngineSpec>> engines;
    for (const Engine &engine : declaration.engines) {
        EngineSpec spec;
        spec.engine = engine.id;
        spec.pool = poolOf(engine.role);
        spec.memory = engine.memory;
        spec.dataCentre = engine.dataCentre;
        spec.leaving = engine.leaving;
        engines[CellId{engine.model, engine.dataCentre}].push_back(spec);
    }
    services.degradedPlacers.clear();
    for (const auto &[cell, specs] : engines) {
        const std::uint64_t seed = std::hash<CellId>()(cell) + services.shard;
        services.degradedPlacers.emplace(cell, PowerOfChoice(seed)).first->second.setEngines(specs);
    }
}

} // namespace

void feedChoosers(ShardServices &services, const std::shared_ptr<const EntryView> &view)
{
    if (services.fedFrom == view) {
        return;
    }
    const Instant now = steadyNow();
    for (const CellRoute &route : view->cells) {
        services.cellChoice.onSummary(route.news.cell, summaryOf(route.news), now);
        services.cellChoice.onReach(route.news.cell, route.owner.has_value());
    }
    const bool isNewText = !services.fedFrom || services.fedFrom->declaration != view->declaration;
    if (isNewText && view->declaration) {
        feedPlacers(services, *view->declaration);
    }
    services.fedFrom = view;
}

Placing::Placing(ShardServices &shared, PlacingJob given, std::shared_ptr<const EntryView> seen)
    : services(shared)
    , job(std::move(given))
    , view(std::move(seen))
    , box(shared.mailbox, job.request)
{
}

Placing::~Placing()
{
    this->services.held.remove(this->job.request);
    if (this->isUsing) {
        this->services.held.endUse(this->chosen);
    }
}

const CellId &Placing::cell() const
{
    return this->chosen;
}

bool Placing::isDegraded() const
{
    return !this->owner;
}

void Placing::chooseCell(Instant now)
{
    if (const auto cell = this->services.cellChoice.choose(this->job.model, this->job.prompt, now)) {
        this->chosen = *cell;
        return;
    }
    // No summary is fresh: the cell of this data centre, else any that has engines of the model.
    this->chosen = {this->job.model, this->services.settings.dataCentre};
    if (this->services.degradedPlacers.count(this->chosen) != 0) {
        return;
    }
    for (const auto &[cell, placer] : this->services.degradedPlacers) {
        if (cell.model == this->job.model) {
            this->chosen = cell;
            return;
        }
    }
}

void Placing::submit()
{
    const Instant now = steadyNow();
    this->chooseCell(now);
    this->askOwner(now);
}

// Load: the cell of this data centre is full while others have room. Harm prevented: its callers are refused for as
// long as that lasts. The refusal is not held back where no other cell can be expected to keep the target.
bool Placing::submitElsewhere(const Refusal &refusal)
{
    if (!this->owner || this->isElsewhere || refusal.code != RefusalCode::Overloaded) {
        return false;
    }
    const Instant now = steadyNow();
    const Duration left = this->job.firstToken - (now - this->job.arrival);
    CellChoice &choice = this->services.cellChoice;
    choice.onRefused(this->chosen, refusal.retryAfter.value_or(Duration(0)), now);
    const auto next = choice.chooseAfterRefusal(this->chosen, this->job.prompt, left, now);
    if (!next) {
        return false;
    }
    this->services.held.endUse(this->chosen);
    this->isElsewhere = true;
    this->chosen = *next;
    this->askOwner(now);
    return true;
}

void Placing::askOwner(Instant now)
{
    this->services.held.beginUse(this->chosen);
    this->isUsing = true;
    if (this->chosen.dataCentre != this->services.settings.dataCentre) {
        this->services.metrics.onAskedAway(this->chosen, this->isElsewhere);
    }
    const CellRoute *const route = this->view->findRoute(this->chosen);
    this->owner = route != nullptr ? route->owner : std::nullopt;
    this->box.expect(this->owner);
    if (!this->owner) {
        this->placeHere();
        return;
    }
    peer::Submit submit;
    submit.request = this->job.request;
    submit.cell = this->chosen;
    submit.service = this->job.service;
    submit.workspace = this->job.workspace;
    submit.prompt = this->job.prompt;
    submit.maxOutput = this->job.maxOutput;
    submit.prefix = this->job.prefix;
    submit.waited = now - this->job.arrival;
    submit.content = this->job.content.value();
    this->send(submit);
}

void Placing::placeHere()
{
    ++this->tries;
    if (this->tries == 1) {
        this->services.metrics.onDegradedPlacing();
        Log::warning("degraded_placing", {{"request", this->job.request.value()}, {"model", this->job.model.value()}});
    }
    if (this->tries > 1 && (this->tries > triesHere || !this->services.retries.take())) {
        this->here = this->refuseHere("no engine takes this request, and no owner of its cell is reachable");
        return;
    }
    this->services.degradedLoads->refresh(this->chosen, *this->view);
    const auto placer = this->services.degradedPlacers.find(this->chosen);
    const auto pair =
        placer == this->services.degradedPlacers.end() ? std::nullopt : placer->second.place(this->job.prompt);
    const Engine *const prefill = pair ? this->view->declaration->findEngine(pair->prefill) : nullptr;
    const Engine *const decode = pair ? this->view->declaration->findEngine(pair->decode) : nullptr;
    if (prefill == nullptr || decode == nullptr) {
        this->here = this->refuseHere("no pair of engines for this model");
        return;
    }
    peer::Placed placed;
    placed.request = this->job.request;
    placed.prefillEngine = prefill->id;
    placed.prefillAddress = prefill->address;
    placed.decodeEngine = decode->id;
    placed.decodeAddress = decode->address;
    this->here = placed;
}

Placing::Answer Placing::refuseHere(const char *text) const
{
    return peer::Refused{this->job.request, {RefusalCode::Overloaded, RunState::NotRun, text, overloadedRetry}};
}

std::optional<Placing::Answer> Placing::wait(Duration limit, const asio::yield_context &yield)
{
    if (this->owner) {
        auto message = this->box.wait(limit, yield);
        if (message) {
            return std::visit(
                [](auto &given) -> std::optional<Answer> {
                    if constexpr (std::is_constructible_v<Answer, decltype(given)>) {
                        return Answer(std::move(given));
                    } else {
                        return std::nullopt;
                    }
                },
                *message);
        }
        if (!this->box.isLinkLost()) {
            return std::nullopt;
        }
        // The owner died while we waited for it; the next one is told by Holding what we hold.
        this->owner.reset();
        this->placeHere();
    }
    return std::exchange(this->here, std::nullopt);
}

void Placing::onSuperseded(const std::function<void()> &superseded)
{
    if (!superseded) {
        this->box.watch({});
        return;
    }
    this->box.watch([superseded](const peer::Message &message) {
        if (std::holds_alternative<peer::Placed>(message) || std::holds_alternative<peer::Refused>(message)) {
            superseded();
        }
    });
}

void Placing::interrupt()
{
    this->box.interrupt();
}

void Placing::send(const peer::Message &message)
{
    if (!this->owner) {
        return;
    }
    // The cell may have a new owner by now, which knows this request from Holding.
    const auto current = this->services.links.view();
    const CellRoute *const route = current->findRoute(this->chosen);
    if (route != nullptr && route->owner && route->owner != this->owner) {
        this->owner = route->owner;
        this->box.expect(this->owner);
    }
    this->services.links.send(*this->owner, message);
}

void Placing::prefillDone(const PrefillAnswer &answer)
{
    this->send(peer::PrefillDone{this->job.request, answer.computed, answer.reused, answer.keep});
}

void Placing::prefillFailed(PrefillFault fault, std::optional<Duration> ran)
{
    this->send(
        peer::PrefillFailed{this->job.request, fault, ran ? this->job.content.value() : 0, ran.value_or(Duration(0))});
    if (!this->owner) {
        this->placeHere();
    }
}

void Placing::decoding(const StreamId &stream, const EngineId &engine, Tokens output)
{
    peer::Held held;
    held.request = this->job.request;
    held.cell = this->chosen;
    held.service = this->job.service;
    held.workspace = this->job.workspace;
    held.stream = stream;
    held.decodeEngine = engine;
    held.prompt = this->job.prompt;
    held.output = output;
    held.maxOutput = this->job.maxOutput;
    this->services.held.put(held);
    if (output > Tokens(0)) {
        this->send(peer::OutputProgress{this->job.request, output});
    }
}

void Placing::decodeFailed(DecodeFault fault, bool kvHeld, std::optional<Duration> ran)
{
    this->send(peer::DecodeFailed{this->job.request, fault, kvHeld, ran ? this->job.content.value() : 0,
                                  ran.value_or(Duration(0))});
    if (this->owner) {
        return;
    }
    this->placeHere();
    const auto *placed = this->here ? std::get_if<peer::Placed>(&*this->here) : nullptr;
    if (kvHeld && placed != nullptr) {
        this->here = peer::StartDecode{this->job.request, placed->decodeEngine, placed->decodeAddress};
    }
}

void Placing::finished(peer::RequestOutcome outcome, Tokens output)
{
    this->services.held.remove(this->job.request);
    this->send(peer::Finished{this->job.request, outcome, output});
}

} // namespace fescuesill
