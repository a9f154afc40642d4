// A cell with its decode memory nearly full is driven by hand: each request is submitted, placed, read and decoded, and
// the oldest running one ends to make room. Only calls into the scheduler are timed.

#include "decisionbench.h"

#include "decide/cellscheduler.h"

#include <chrono>
#include <deque>
#include <random>

namespace fescuesill::bench
{

using Clock = std::chrono::steady_clock;

static std::vector<EngineSpec> engines(int count)
{
    std::vector<EngineSpec> specs;
    for (int i = 0; i < count; ++i) {
        const bool prefill = i % 13 < 6;
        specs.push_back(EngineSpec{EngineId("engine-" + std::to_string(i)), prefill ? Pool::Prefill : Pool::Decode,
                                   Pieces(20), DataCentreId("a"), "", false});
    }
    return specs;
}

static PlaceRequest request(int number, std::mt19937_64 &random, Instant now)
{
    PlaceRequest place;
    place.request = RequestId("request-" + std::to_string(number));
    place.workspace = WorkspaceId("workspace-" + std::to_string(random() % 20));
    place.requestClass.name = "live";
    place.requestClass.rank = static_cast<int>(random() % 3);
    place.requestClass.firstToken = 10s;
    place.requestClass.patience = 10s;
    place.prompt = Tokens(static_cast<std::int64_t>(1000 + random() % 2000));
    place.arrival = now;
    const std::uint64_t family = random() % 5;
    for (std::uint64_t block = 0; block < static_cast<std::uint64_t>(place.prompt.value()) / 256; ++block) {
        place.prefix.push_back(PrefixHash{block < 4 ? family * 100 + block : random()});
    }
    return place;
}

namespace
{

class Driver
{
public:
    Driver(int count, std::uint64_t seed)
        : random(seed)
        , cell(CellScheduler::create(options()).value())
        , bound(static_cast<std::size_t>(count) * 9)
    {
        this->cell.setEngines(engines(count), this->now);
    }

    void turn(int number)
    {
        this->now += 300us;
        const PlaceRequest place = request(number, this->random, this->now);
        const auto begin = Clock::now();
        this->cell.submit(place, this->now);
        auto actions = this->cell.poll(this->now);
        const auto decided = Clock::now();
        this->follow(actions, 0);
        if (this->running.size() > this->bound) {
            this->cell.onFinished(this->running.front(), this->now);
            this->running.pop_front();
            this->follow(this->cell.poll(this->now), 0);
        }
        this->whole += std::chrono::duration<double, std::micro>(Clock::now() - begin).count();
        this->deciding += std::chrono::duration<double, std::micro>(decided - begin).count();
    }

    double whole = 0;
    double deciding = 0;
    const CellCounters &counters() const
    {
        return this->cell.counters();
    }

private:
    static CellScheduler::Options options()
    {
        CellScheduler::Options options;
        options.shiftRoles = false;
        return options;
    }

    // Reads end at once, so that the cell is never waiting for its fakes.
    void follow(const std::vector<Action> &actions, int depth)
    {
        for (const Action &action : actions) {
            if (const auto *place = std::get_if<Place>(&action)) {
                this->cell.onPrefillDone(place->request, {Tokens(1000), Tokens(1024), 800ms}, this->now);
                if (place->decodeReady) {
                    this->begin(place->request);
                }
            } else if (const auto *start = std::get_if<StartDecode>(&action)) {
                this->begin(start->request);
            }
        }
        if (!actions.empty() && depth < 4) {
            this->follow(this->cell.poll(this->now), depth + 1);
        }
    }

    void begin(const RequestId &request)
    {
        this->cell.onFirstToken(request, this->now);
        this->running.push_back(request);
    }

    Instant now{1s};
    std::mt19937_64 random;
    CellScheduler cell;
    std::size_t bound;
    std::deque<RequestId> running;
};

} // namespace

std::vector<DecisionCost> measureDecisions(const std::vector<int> &engineCounts, int requests, std::uint64_t seed)
{
    std::vector<DecisionCost> costs;
    for (const int count : engineCounts) {
        Driver driver(count, seed);
        const int warmUp = count * 10;
        for (int i = 0; i < warmUp; ++i) {
            driver.turn(i);
        }
        const CellCounters before = driver.counters();
        driver.whole = 0;
        driver.deciding = 0;
        for (int i = 0; i < requests; ++i) {
            driver.turn(warmUp + i);
        }
        const auto placed = static_cast<double>(driver.counters().placed - before.placed);
        const auto steps = static_cast<double>(driver.counters().steps - before.steps);
        costs.push_back({count, driver.whole / requests, driver.deciding / requests, steps / std::max(1.0, placed)});
    }
    return costs;
}

double slopeOf(const std::vector<DecisionCost> &costs)
{
    double meanX = 0;
    double meanY = 0;
    for (const DecisionCost &cost : costs) {
        meanX += cost.engines / static_cast<double>(costs.size());
        meanY += cost.perDecision / static_cast<double>(costs.size());
    }
    double top = 0;
    double bottom = 0;
    for (const DecisionCost &cost : costs) {
        top += (cost.engines - meanX) * (cost.perDecision - meanY);
        bottom += (cost.engines - meanX) * (cost.engines - meanX);
    }
    return bottom > 0 ? top / bottom : 0;
}

} // namespace fescuesill::bench
