// Callers: each job is one caller's question. Refused, a caller comes back after the time it was told, or at once if it
// is one that ignores it; each comes back a few times. A caller whose answer breaks off asks anew. Its question counts
// as good if any of its attempts was answered in whole within both targets, measured from that attempt.

#include "simulation.h"

#include "decide/cellchoice.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace fescuesill::bench
{

constexpr int politeAttempts = 4;
constexpr int rudeAttempts = 8;
constexpr Duration rudePause = 200ms;
constexpr Duration summaryInterval = 1s;

double percentile(std::vector<double> values, double share)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    const auto rank = static_cast<std::size_t>(std::ceil(share * static_cast<double>(values.size())));
    return values[std::clamp<std::size_t>(rank, 1, values.size()) - 1];
}

double Result::wastedShare() const
{
    const Tokens wasted = this->waste.expired + this->waste.redone + this->waste.cancelled + this->waste.noPlace;
    const auto read = std::max<std::int64_t>(1, this->waste.read.value());
    return static_cast<double>(wasted.value()) / static_cast<double>(read);
}

class Simulation
{
public:
    Simulation(const Workload &workload, PolicyKind kind)
        : workload(workload)
        , states(workload.jobs.size())
        , random(workload.settings.seed + 4711)
    {
        for (int i = 0; i < workload.settings.cells; ++i) {
            this->cells.push_back(std::make_unique<Cell>(this->events, workload, i, kind,
                                                         [this](const Outcome &outcome) { this->ended(outcome); }));
            CellChoice::Options options;
            options.home = DataCentreId(this->cells.back()->dataCentre());
            this->choices.emplace_back(options, workload.settings.seed + i);
        }
    }

    Result run();

private:
    struct JobState {
        int attempts = 0;
        int tries = 0; // cells asked in all of them
        int refusals = 0;
        int cell = -1;
        int home = 0; // of the entry that has this attempt
        Instant asked; // this attempt
        bool isElsewhere = false; // asked another cell after a refusal
        bool good = false;
        bool completed = false;
        bool gaveUp = false;
        bool cancelled = false;
        Duration firstToken{0};
        Duration perToken{0};
        std::array<double, 4> phases{};
        std::optional<Outcome> answer;
    };

    void ask(const Job &job);
    void send(const Job &job, int cell);
    bool askElsewhere(const Outcome &outcome);
    void ended(const Outcome &outcome);
    void spreadSummaries();
    bool lost(int cell) const;
    Result result();
    void count(Group &group, const JobState &state) const;

    const Workload &workload;
    EventQueue events;
    std::vector<std::unique_ptr<Cell>> cells;
    std::vector<CellChoice> choices; // of the entries of each data centre
    std::vector<JobState> states;
    std::mt19937_64 random;
    std::uint64_t lastVersion = 0; // of the summaries
};

bool Simulation::lost(int cell) const
{
    const Instant now = this->events.now();
    return std::any_of(this->workload.faults.begin(), this->workload.faults.end(), [&](const Fault &fault) {
        return fault.index < 0 && fault.cell == cell && fault.from <= now && now < fault.until;
    });
}

void Simulation::ask(const Job &job)
{
    JobState &state = this->states[static_cast<std::size_t>(job.number)];
    if (state.cancelled) {
        return;
    }
    // A caller of a lost data centre is sent to the entries of another by the balancer.
    int home = job.home;
    while (this->lost(home)) {
        home = (home + 1) % this->workload.settings.cells;
    }
    int chosen = home;
    if (this->cells.size() > 1) {
        const auto cell =
            this->choices[static_cast<std::size_t>(home)].choose(ModelId("m"), job.prompt, this->events.now());
        for (std::size_t i = 0; cell && i < this->cells.size(); ++i) {
            chosen = this->cells[i]->dataCentre() == cell->dataCentre.value() ? static_cast<int>(i) : chosen;
        }
    }
    state.home = home;
    state.asked = this->events.now();
    state.isElsewhere = false;
    ++state.attempts;
    this->send(job, chosen);
}

void Simulation::send(const Job &job, int chosen)
{
    JobState &state = this->states[static_cast<std::size_t>(job.number)];
    ++state.tries;
    state.cell = chosen;
    Duration way{0};
    if (chosen != state.home) {
        way = this->workload.model.awayHop;
        const bool packetLost = static_cast<double>(this->random() % 10000) < this->workload.model.awayLoss * 10000;
        way += packetLost ? 200ms : Duration(0);
    }
    const Duration waited = this->events.now() + way - state.asked;
    this->events.after(way, [this, &job, chosen, number = state.tries, waited] {
        this->cells[static_cast<std::size_t>(chosen)]->submit(job, number, waited);
    });
}

// As an entry does: one other cell, if it can be expected to keep the target.
bool Simulation::askElsewhere(const Outcome &outcome)
{
    const Job &job = *outcome.job;
    JobState &state = this->states[static_cast<std::size_t>(job.number)];
    if (this->cells.size() == 1 || state.isElsewhere || outcome.placed != Instant()) {
        return false;
    }
    const Instant now = this->events.now();
    const CellId refusedBy{ModelId("m"), DataCentreId(this->cells[static_cast<std::size_t>(state.cell)]->dataCentre())};
    CellChoice &choice = this->choices[static_cast<std::size_t>(state.home)];
    choice.onRefused(refusedBy, outcome.retryAfter.value_or(Duration(0)), now);
    const auto next =
        choice.chooseAfterRefusal(refusedBy, job.prompt, job.targets.firstToken - (now - state.asked), now);
    for (std::size_t i = 0; next && i < this->cells.size(); ++i) {
        if (this->cells[i]->dataCentre() == next->dataCentre.value()) {
            state.isElsewhere = true;
            this->send(job, static_cast<int>(i));
        }
    }
    return next.has_value();
}

void Simulation::ended(const Outcome &outcome)
{
    const Job &job = *outcome.job;
    JobState &state = this->states[static_cast<std::size_t>(job.number)];
    if (outcome.completed) {
        state.completed = true;
        state.answer = outcome;
        state.firstToken = outcome.arrival + outcome.firstToken - state.asked;
        state.perToken = outcome.perToken;
        const auto milliseconds = [](Duration time) {
            return static_cast<double>(time.count()) / 1000;
        };
        state.phases = {milliseconds(outcome.placed - outcome.arrival), milliseconds(outcome.read - outcome.placed),
                        milliseconds(outcome.decodeAsked - outcome.read),
                        milliseconds(outcome.arrival + outcome.firstToken - outcome.decodeAsked)};
        state.good = state.firstToken <= job.targets.firstToken && outcome.perToken <= job.targets.perToken;
        return;
    }
    if (this->askElsewhere(outcome)) {
        return;
    }
    ++state.refusals;
    if (state.attempts >= (job.ignoresRetryAfter ? rudeAttempts : politeAttempts)) {
        state.gaveUp = true;
        return;
    }
    const Duration told = outcome.retryAfter.value_or(Duration(1s));
    const auto spread = static_cast<Duration::rep>(this->random() % 100000);
    this->events.after((job.ignoresRetryAfter ? rudePause : told) + Duration(spread), [this, &job] { this->ask(job); });
}

void Simulation::spreadSummaries()
{
    for (std::size_t i = 0; i < this->cells.size(); ++i) {
        if (this->lost(static_cast<int>(i))) {
            continue;
        }
        const CellId cell{ModelId("m"), DataCentreId(this->cells[i]->dataCentre())};
        CellSummary summary = this->cells[i]->summary();
        summary.version = ++this->lastVersion;
        for (CellChoice &choice : this->choices) {
            choice.onSummary(cell, summary, this->events.now());
            choice.onLink(cell.dataCentre, this->workload.model.awayHop, this->workload.model.awayLoss);
        }
    }
    this->events.after(summaryInterval, [this] { this->spreadSummaries(); });
}

Result Simulation::run()
{
    for (const Job &job : this->workload.jobs) {
        this->events.at(job.arrival, [this, &job] { this->ask(job); });
        if (job.cancelAfter) {
            this->events.at(job.arrival + *job.cancelAfter, [this, &job] {
                JobState &state = this->states[static_cast<std::size_t>(job.number)];
                state.cancelled = !state.completed;
                const RequestId request(std::to_string(job.number) + "." + std::to_string(state.tries));
                this->cells[static_cast<std::size_t>(std::max(0, state.cell))]->cancel(request);
            });
        }
    }
    for (const Fault &fault : this->workload.faults) {
        Cell &cell = *this->cells[static_cast<std::size_t>(fault.cell)];
        this->events.at(fault.from, [&cell, &fault] { cell.apply(fault, true); });
        this->events.at(fault.until, [&cell, &fault] { cell.apply(fault, false); });
    }
    if (this->workload.cancelStorm) {
        this->events.at(*this->workload.cancelStorm, [this] {
            for (const auto &cell : this->cells) {
                for (const RequestId &request : cell->cancelMany(this->workload.settings.seed)) {
                    this->states[std::stoul(request.value())].cancelled = true;
                }
            }
        });
    }
    this->spreadSummaries();
    this->events.runUntil(this->workload.end);
    return this->result();
}

void Simulation::count(Group &group, const JobState &state) const
{
    ++group.offered;
    group.refusals += state.refusals;
    if (state.completed) {
        ++(state.good ? group.good : group.late);
        if (!state.good) {
            group.latePhases.push_back(state.phases);
        }
        group.firstToken.push_back(static_cast<double>(state.firstToken.count()) / 1000);
        group.perToken.push_back(static_cast<double>(state.perToken.count()) / 1000);
    } else {
        ++(state.gaveUp ? group.refused : group.unfinished);
    }
}

Result Simulation::result()
{
    Result result;
    for (const Job &job : this->workload.jobs) {
        const JobState &state = this->states[static_cast<std::size_t>(job.number)];
        if (state.cancelled) {
            continue;
        }
        if (state.good) {
            const double time = std::chrono::duration<double>(this->workload.end.time_since_epoch()).count()
                * this->workload.settings.cells;
            const EngineModel &model = this->workload.model;
            result.goodPrefill += leastPrefillSeconds(model, job) / (time * this->workload.prefillPerCell);
            result.goodDecode += leastDecodeSeconds(model, job) / (time * this->workload.decodePerCell);
        }
        result.good += state.good ? 1 : 0;
        if (job.arrival > this->workload.end - settleTime) {
            continue;
        }
        if (!state.good) {
            result.misses.push_back({&job, state.attempts, state.gaveUp, state.answer, state.phases});
        }
        this->count(result.all, state);
        this->count(result.groups[job.targets.name], state);
        this->count(result.customers[this->workload.customers[static_cast<std::size_t>(job.customer)].name], state);
    }
    double seconds = 0;
    std::vector<double> use;
    for (const auto &cell : this->cells) {
        const Waste &waste = cell->waste();
        result.waste.read += waste.read;
        result.waste.reused += waste.reused;
        result.waste.expired += waste.expired;
        result.waste.redone += waste.redone;
        result.waste.cancelled += waste.cancelled;
        result.waste.noPlace += waste.noPlace;
        result.memoryUse += cell->memoryUse() / static_cast<double>(this->cells.size());
        const auto engines = cell->prefillUse();
        use.insert(use.end(), engines.begin(), engines.end());
        if (const auto *ours = std::get_if<OurPolicy>(&cell->decider())) {
            seconds += ours->secondsInside;
            result.calls += ours->calls;
        }
    }
    double sum = 0;
    for (const double one : use) {
        sum += one;
    }
    result.prefillSkew =
        *std::max_element(use.begin(), use.end()) / std::max(1e-9, sum / static_cast<double>(use.size()));
    result.decisionsPerSecond = seconds > 0 ? static_cast<double>(result.calls) / seconds : 0;
    result.bound = goodputBound(this->workload, Lengths::Known);
    result.boundUnknownLengths = goodputBound(this->workload, Lengths::Unknown);
    return result;
}

Result simulate(const Workload &workload, PolicyKind kind)
{
    Simulation simulation(workload, kind);
    return simulation.run();
}

} // namespace fescuesill::bench
