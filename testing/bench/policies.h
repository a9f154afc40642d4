#pragma once

// The policies that the bench compares, behind one set of events.
//
//     Policy policy = makePolicy(PolicyKind::LeastLoaded, cell);
//     std::visit([&](auto &policy) { policy.submit(request); }, policy);

#include "decide/cellscheduler.h"

#include <map>
#include <random>
#include <set>
#include <variant>

namespace fescuesill::bench
{

class Cell;

enum class PolicyKind {
    Ours,
    RoundRobin,
    LeastLoaded, // on lagging reports
    PrefixOnly,
    PrefillFirst, // exact knowledge, but no reservation of decode memory
};

std::optional<PolicyKind> policyNamed(const std::string &name);
std::vector<std::string> policyNames();

class OurPolicy
{
public:
    explicit OurPolicy(Cell &cell);

    void submit(const PlaceRequest &request);
    void prefillDone(const RequestId &request, const PrefillResult &result);
    void prefillFailed(const RequestId &request, PrefillFault fault);
    void decodeFailed(const RequestId &request, DecodeFault fault, bool kvHeld);
    void firstToken(const RequestId &request);
    void progress(const RequestId &request, Tokens output);
    void finished(const RequestId &request);
    void cancelled(const RequestId &request);
    void enginesChanged();
    void loadReport(const EngineId &engine, const LoadReport &report);
    void cacheEvents(const EngineId &engine, const std::vector<CacheEvent> &events, bool gap);
    CellSummary summary() const;

    std::uint64_t calls = 0;
    double secondsInside = 0; // of real time

private:
    template<typename Call>
    void run(Call call);
    void wake();

    Cell *cell;
    CellScheduler scheduler;
    std::optional<Instant> woken;
    std::map<RequestId, std::size_t> bound; // decode engines named at once
};

// Common to the baselines: a queue by class, a few reads outstanding on each prefill engine, refusal when the queue is
// full or the target has passed, a second try after a failure. They differ in how engines are picked.
class Baseline
{
public:
    Baseline(Cell &cell, PolicyKind kind);

    void submit(const PlaceRequest &request);
    void prefillDone(const RequestId &request, const PrefillResult &result);
    void prefillFailed(const RequestId &request, PrefillFault fault);
    void decodeFailed(const RequestId &request, DecodeFault fault, bool kvHeld);
    void firstToken(const RequestId &request);
    void progress(const RequestId &request, Tokens output);
    void finished(const RequestId &request);
    void cancelled(const RequestId &request);
    void enginesChanged();
    void loadReport(const EngineId &engine, const LoadReport &report);
    void cacheEvents(const EngineId &engine, const std::vector<CacheEvent> &events, bool gap);
    CellSummary summary() const;

private:
    struct Running {
        PlaceRequest request;
        std::size_t prefill = 0;
        std::size_t decode = 0;
        bool decoding = false;
        int tries = 0;
        std::uint64_t place = 0; // in the queue
    };
    struct Engine {
        EngineSpec spec;
        int outstanding = 0; // reads given to it
        std::int64_t own = 0; // pieces or tokens given to it and not ended
        std::int64_t reported = 0;
        std::int64_t ownAtReport = 0;
        Instant downUntil;
    };

    void dispatch();
    void scheduleTick();
    void tryReady();
    void requeue(Running &running);
    void placeDecode(Running &running);
    void leave(Running &running);
    std::int64_t loadOf(const Engine &engine) const;
    std::optional<std::size_t> pickPrefill(const PlaceRequest &request);
    std::optional<std::size_t> pickDecode(const PlaceRequest &request);
    std::optional<std::size_t> nextInTurn(Pool pool, std::size_t &turn, bool needsRoom) const;
    std::optional<std::size_t> leastLoaded(Pool pool) const;
    bool usable(const Engine &engine, Pool pool) const;

    Cell *cell;
    PolicyKind kind;
    std::vector<Engine> engines;
    std::map<RequestId, Running> running;
    std::set<std::pair<int, std::uint64_t>> queue; // rank, order
    std::map<std::uint64_t, RequestId> queued;
    std::uint64_t nextPlace = 1;
    std::vector<RequestId> ready; // prefill-first: read and without a place
    std::map<std::uint64_t, std::set<std::size_t>> holders;
    std::size_t prefillTurn = 0;
    std::size_t decodeTurn = 0;
    bool ticking = false;
};

using Policy = std::variant<OurPolicy, Baseline>;

Policy makePolicy(PolicyKind kind, Cell &cell);

} // namespace fescuesill::bench
