// Entries of several data centres choose cells in virtual time. A summary that a cell publishes is there at an entry
// after a time drawn from what was measured over 340 hosts in one fleet (testing/slopes); each entry sees only the
// newest copy that has reached it. As in an entry, all copies are fed to the choice once a second.
//
// A request goes to the cell's owner, then to two engines: three ways there and back, each of which may be lost. The
// first goes before the cell sees the request, the others are added to the time of its first token.

#include "cellworld.h"

#include "decide/cellchoice.h"
#include "decide/summarypacer.h"
#include "lateness.h"
#include "leastdelay.h"

#include <algorithm>
#include <cmath>

namespace fescuesill::bench
{

constexpr int politeAttempts = 4;
constexpr int rudeAttempts = 8;
constexpr Duration rudePause = 200ms;
constexpr Duration feedInterval = 1s;
constexpr Duration window = 5s; // for the swing of the load between cells
constexpr int mostTries = 2; // cells asked for one attempt of a caller
constexpr int laterWays = 5; // after the one to the owner
constexpr Duration linkLossSeen = 3s; // until an entry knows that it does not reach an owner

class CellWorld
{
public:
    explicit CellWorld(const CellsLoad &load);
    CellsResult run();

private:
    struct Copy {
        CellSummary summary;
        Instant at;
    };
    struct Published {
        SummaryPacer pacer{SummaryPacer::Options{}};
        std::vector<Copy> copies;
        std::vector<int> submitted; // in each window
    };
    struct Entry {
        int number = 0;
        int dataCentre = 0;
        CellChoice choice;
        LeastDelay leastDelay;
        std::vector<int> seen; // newest copy, by cell; -1: none
        Instant fed;
    };
    struct JobState {
        int attempts = 0;
        int refusals = 0;
        int entry = 0;
        int cell = 0;
        int tries = 0; // of this attempt
        Instant asked; // this attempt
        bool completed = false;
        bool gaveUp = false;
        bool good = false;
        Duration firstToken{0};
        Duration perToken{0};
    };

    CellId idOf(int cell) const;
    int numberOf(const CellId &cell) const;
    void publish(int cell);
    Duration latenessOf(const Entry &entry, int cell) const;
    void feed(Entry &entry);
    void tell(Entry &entry, int cell, const CellSummary &summary, Instant now);
    int choose(Entry &entry, const Job &job);
    int twoChoices(const Entry &entry);
    void ask(const Job &job);
    void send(const Job &job, int cell);
    void ended(const Outcome &outcome);
    void refused(const Outcome &outcome);
    void comeBack(const Job &job, Duration retryAfter);
    CellsResult result();

    const CellsLoad &load;
    EventQueue events;
    std::vector<std::unique_ptr<Cell>> cells;
    std::vector<Published> published;
    std::vector<Entry> entries;
    std::vector<JobState> states;
    std::mt19937_64 random;
    CellsResult tally;
    double ages = 0;
    int looks = 0;
};

CellWorld::CellWorld(const CellsLoad &load)
    : load(load)
    , published(load.cells.size())
    , states(load.jobs.jobs.size())
    , random(load.settings.seed + 4711)
{
    const int count = load.settings.cells;
    for (int i = 0; i < count; ++i) {
        this->cells.push_back(std::make_unique<Cell>(this->events, load.cells[static_cast<std::size_t>(i)], i,
                                                     PolicyKind::Ours,
                                                     [this](const Outcome &outcome) { this->ended(outcome); }));
    }
    for (int i = 0; i < load.settings.entries; ++i) {
        CellChoice::Options options;
        options.home = this->idOf(i % count).dataCentre;
        const std::uint64_t seed = mixed(load.settings.seed * 100000 + static_cast<std::uint64_t>(i));
        this->entries.push_back(Entry{i, i % count, CellChoice(options, seed), LeastDelay(i % count, seed),
                                      std::vector<int>(static_cast<std::size_t>(count), -1), Instant(-1s)});
    }
}

CellId CellWorld::idOf(int cell) const
{
    return CellId{ModelId("m"), DataCentreId(this->cells[static_cast<std::size_t>(cell)]->dataCentre())};
}

int CellWorld::numberOf(const CellId &cell) const
{
    int number = 0;
    while (!(this->idOf(number) == cell)) {
        ++number;
    }
    return number;
}

void CellWorld::publish(int cell)
{
    constexpr Duration look = 250ms;
    const Instant now = this->events.now();
    this->events.after(look, [this, cell] { this->publish(cell); });
    Published &published = this->published[static_cast<std::size_t>(cell)];
    const CellSummary summary = this->cells[static_cast<std::size_t>(cell)]->summary();
    const bool isStuck = cell == this->load.stuckCell && this->load.isFaulty(now);
    if (!isStuck && published.pacer.isDue(summary, now)) {
        published.pacer.onPublished(summary, now);
        published.copies.push_back({summary, now});
    }
}

// Drawn anew twice a minute: what keeps one summary from a host (crowded messages) keeps the next ones as well.
Duration CellWorld::latenessOf(const Entry &entry, int cell) const
{
    constexpr Duration stays = 30s;
    const auto turn = static_cast<std::uint64_t>(this->events.now().time_since_epoch() / stays);
    const std::uint64_t key = (static_cast<std::uint64_t>(entry.number) * 64 + cell) * 100000 + turn;
    const Duration late = latenessAt(uniform(mixed(key + this->load.settings.seed * 0x9E3779B97F4A7C15ULL)));
    return std::chrono::duration_cast<Duration>(late * this->load.settings.lateness);
}

// The newest copies that have come through, as an entry takes them from its scheduler once a second.
void CellWorld::feed(Entry &entry)
{
    const Instant now(this->events.now().time_since_epoch() / feedInterval * feedInterval);
    if (now <= entry.fed) {
        return;
    }
    entry.fed = now;
    for (std::size_t cell = 0; cell < this->cells.size(); ++cell) {
        const std::vector<Copy> &copies = this->published[cell].copies;
        const Instant until = now - this->latenessOf(entry, static_cast<int>(cell));
        const bool isCut = !this->load.reaches(static_cast<int>(cell), entry.dataCentre, now);
        const auto next = std::upper_bound(copies.begin(), copies.end(), until,
                                           [](Instant when, const Copy &copy) { return when < copy.at; });
        if (!isCut) {
            entry.seen[cell] = std::max(entry.seen[cell], static_cast<int>(next - copies.begin()) - 1);
        }
        if (entry.seen[cell] < 0) {
            // Known from the declaration.
            entry.choice.onSummary(this->idOf(static_cast<int>(cell)), CellSummary(), now);
        } else {
            const Copy &copy = copies[static_cast<std::size_t>(entry.seen[cell])];
            this->tell(entry, static_cast<int>(cell), copy.summary, now);
            this->ages += std::chrono::duration<double>(now - copy.at).count();
            ++this->looks;
        }
    }
}

void CellWorld::tell(Entry &entry, int cell, const CellSummary &summary, Instant now)
{
    const WanModel &wan = this->load.wan;
    const Duration way = wan.least(entry.dataCentre, cell);
    CellSummary unsized = summary;
    unsized.prefillEngines = 1; // an entry does not hear how many there are
    unsized.decodeEngines = 1;
    unsized.version = static_cast<std::uint64_t>(entry.seen[static_cast<std::size_t>(cell)]) + 1;
    entry.leastDelay.onSummary(cell, unsized, way, wan.loss, now);
    entry.choice.onSummary(this->idOf(cell), unsized, now);
    entry.choice.onLink(this->idOf(cell).dataCentre, way, wan.loss);
    entry.choice.onReach(this->idOf(cell),
                         this->load.reaches(entry.dataCentre, cell, now - linkLossSeen)
                             || this->load.reaches(entry.dataCentre, cell, now));
}

int CellWorld::twoChoices(const Entry &entry)
{
    const int count = this->load.settings.cells;
    const int other = (entry.dataCentre + 1 + static_cast<int>(this->random() % (count - 1))) % count;
    const auto delayOf = [&](int cell) {
        const int seen = entry.seen[static_cast<std::size_t>(cell)];
        if (seen < 0) {
            return std::make_pair(Duration(0), 0.0);
        }
        const CellSummary &summary =
            this->published[static_cast<std::size_t>(cell)].copies[static_cast<std::size_t>(seen)].summary;
        return std::make_pair(summary.queueDelay, summary.memoryUse);
    };
    return delayOf(other) < delayOf(entry.dataCentre) ? other : entry.dataCentre;
}

int CellWorld::choose(Entry &entry, const Job &job)
{
    this->feed(entry);
    if (this->load.settings.policy == CellPolicy::Home) {
        return entry.dataCentre;
    }
    if (this->load.settings.policy == CellPolicy::TwoChoices) {
        return this->twoChoices(entry);
    }
    if (this->load.settings.policy == CellPolicy::LeastDelay) {
        return entry.leastDelay.choose(job.prompt, this->events.now());
    }
    const auto chosen = entry.choice.choose(ModelId("m"), job.prompt, this->events.now());
    return chosen ? this->numberOf(*chosen) : entry.dataCentre;
}

void CellWorld::ask(const Job &job)
{
    JobState &state = this->states[static_cast<std::size_t>(job.number)];
    const int count = this->load.settings.cells;
    const int perDataCentre = (this->load.settings.entries - job.home + count - 1) / count;
    state.entry = job.home + count * static_cast<int>(this->random() % static_cast<std::uint64_t>(perDataCentre));
    state.asked = this->events.now();
    state.tries = 0;
    ++state.attempts;
    this->send(job, this->choose(this->entries[static_cast<std::size_t>(state.entry)], job));
}

void CellWorld::send(const Job &job, int cell)
{
    JobState &state = this->states[static_cast<std::size_t>(job.number)];
    ++state.tries;
    state.cell = cell;
    ++this->tally.attempts;
    const Instant now = this->events.now();
    if (cell != job.home) {
        ++this->tally.away;
        const WanModel &wan = this->load.wan;
        this->tally.price += cell / 2 == job.home / 2 ? wan.priceInRegion : wan.priceAcross;
    }
    if (!this->load.reaches(job.home, cell, now)) {
        const bool isKnown = this->load.reaches(job.home, cell, now - linkLossSeen) == false;
        this->events.after(isKnown ? Duration(0) : job.targets.patience, [this, &job] { this->comeBack(job, 1s); });
        return;
    }
    const auto part = static_cast<std::size_t>(now.time_since_epoch() / window);
    std::vector<int> &submitted = this->published[static_cast<std::size_t>(cell)].submitted;
    submitted.resize(std::max(submitted.size(), part + 1));
    ++submitted[part];
    const Duration way = this->load.wan.draw(job.home, cell, 1, this->random);
    const int number = state.attempts * mostTries + state.tries;
    const Duration waited = now + way - state.asked;
    this->events.after(way, [this, &job, cell, number, waited] {
        this->cells[static_cast<std::size_t>(cell)]->submit(job, number, waited);
    });
}

void CellWorld::ended(const Outcome &outcome)
{
    const Job &job = *outcome.job;
    JobState &state = this->states[static_cast<std::size_t>(job.number)];
    if (!outcome.completed) {
        this->refused(outcome);
        return;
    }
    state.completed = true;
    state.firstToken = outcome.arrival + outcome.firstToken - state.asked
        + this->load.wan.draw(job.home, state.cell, laterWays, this->random);
    state.perToken = outcome.perToken;
    state.good = state.firstToken <= job.targets.firstToken && state.perToken <= job.targets.perToken;
}

void CellWorld::refused(const Outcome &outcome)
{
    const Job &job = *outcome.job;
    const Duration retryAfter = outcome.retryAfter.value_or(Duration(1s));
    JobState &state = this->states[static_cast<std::size_t>(job.number)];
    Entry &entry = this->entries[static_cast<std::size_t>(state.entry)];
    if (this->load.settings.policy == CellPolicy::Ours && outcome.placed == Instant()) {
        const Instant now = this->events.now();
        const CellId refusedBy = this->idOf(state.cell);
        entry.choice.onRefused(refusedBy, retryAfter, now);
        const Duration left = job.targets.firstToken - (now - state.asked);
        const auto next =
            state.tries < mostTries ? entry.choice.chooseAfterRefusal(refusedBy, job.prompt, left, now) : std::nullopt;
        if (next) {
            this->send(job, this->numberOf(*next));
            return;
        }
    }
    this->comeBack(job, retryAfter);
}

void CellWorld::comeBack(const Job &job, Duration retryAfter)
{
    JobState &state = this->states[static_cast<std::size_t>(job.number)];
    ++state.refusals;
    if (state.attempts >= (job.ignoresRetryAfter ? rudeAttempts : politeAttempts)) {
        state.gaveUp = true;
        return;
    }
    const auto spread = static_cast<Duration::rep>(this->random() % 100000);
    this->events.after((job.ignoresRetryAfter ? rudePause : retryAfter) + Duration(spread),
                       [this, &job] { this->ask(job); });
}

CellsResult CellWorld::run()
{
    for (const Job &job : this->load.jobs.jobs) {
        this->events.at(job.arrival, [this, &job] { this->ask(job); });
    }
    for (int i = 0; i < this->load.settings.cells; ++i) {
        Cell &cell = *this->cells[static_cast<std::size_t>(i)];
        for (const Fault &fault : this->load.cells[static_cast<std::size_t>(i)].faults) {
            this->events.at(fault.from, [&cell, &fault] { cell.apply(fault, true); });
            this->events.at(fault.until, [&cell, &fault] { cell.apply(fault, false); });
        }
        this->publish(i);
    }
    this->events.runUntil(this->load.jobs.end);
    return this->result();
}

CellsResult CellWorld::result()
{
    CellsResult &result = this->tally;
    for (const Job &job : this->load.jobs.jobs) {
        const JobState &state = this->states[static_cast<std::size_t>(job.number)];
        result.good += state.good ? 1 : 0;
        if (job.arrival > this->load.jobs.end - settleTime) {
            continue;
        }
        Group &all = result.all;
        ++all.offered;
        all.refusals += state.refusals;
        all.good += state.good ? 1 : 0;
        all.late += state.completed && !state.good ? 1 : 0;
        all.refused += state.gaveUp ? 1 : 0;
        all.unfinished += !state.completed && !state.gaveUp ? 1 : 0;
        if (state.completed) {
            all.firstToken.push_back(static_cast<double>(state.firstToken.count()) / 1000);
        }
        if (!state.good) {
            const std::string what = state.completed ? "late" : "refused";
            ++result.lost[what + (state.cell == job.home ? " at home" : " away")];
        }
    }
    double copies = 0;
    int changes = 0;
    for (Published &published : this->published) {
        std::vector<int> &submitted = published.submitted;
        submitted.resize(static_cast<std::size_t>(this->load.settings.length / window));
        double sum = 0;
        for (const int count : submitted) {
            sum += count;
        }
        const double mean = std::max(1.0, sum / static_cast<double>(submitted.size()));
        for (std::size_t i = 1; i < submitted.size(); ++i) {
            result.swing += std::abs(submitted[i] - submitted[i - 1]) / mean;
            ++changes;
        }
        copies += static_cast<double>(published.copies.size());
        result.share.push_back(sum / std::max(1, result.attempts));
    }
    result.swing /= std::max(1, changes);
    result.published = copies / static_cast<double>(this->cells.size())
        / std::chrono::duration<double>(this->load.settings.length).count();
    result.summaryAge = this->ages / std::max(1, this->looks);
    result.bound = goodputBound(this->load.jobs, Lengths::Known);
    result.boundUnknownLengths = goodputBound(this->load.jobs, Lengths::Unknown);
    return result;
}

CellsResult simulateCells(const CellsLoad &load)
{
    CellWorld world(load);
    return world.run();
}

} // namespace fescuesill::bench
