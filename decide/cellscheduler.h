#pragma once

// Decides where and when the requests of one cell run: events in, actions out.
//
//     auto cell = CellScheduler::create(CellScheduler::Options()).value();
//     cell.setEngines({{EngineId("p1"), Pool::Prefill}, {EngineId("d1"), Pool::Decode, Pieces(20)}}, now);
//     cell.submit(request, now);
//     for (const Action &action : cell.poll(now)) {
//         std::visit(sender, action);            // Place, StartDecode, Refuse, ChangeRole
//     }
//     // call poll again after each batch of events, and at nextWake() when there were none
//     cell.onPrefillDone(request, {Tokens(700), Tokens(1300), 800ms}, now);
//     cell.onFirstToken(request, now);
//     cell.onFinished(request, now);
//
// Every submitted request ends in exactly one of: onFinished or onCancelled told by the caller, or a Refuse action.
// Events about a request that is not known are ignored: reports may be late, doubled or out of order.

#include "decide/admission.h"
#include "decide/cellmessages.h"
#include "decide/classqueue.h"
#include "decide/decodememory.h"
#include "decide/outlierdetector.h"
#include "decide/prefillqueues.h"
#include "decide/prefixindex.h"
#include "decide/retrybudget.h"
#include "decide/roleshift.h"

#include <memory>
#include <tl/expected.hpp>

namespace fescuesill
{

struct DecideError {
    std::string option;
    std::string allowed;
};

class CellState;

class CellScheduler
{
public:
    struct Options {
        // Requests waiting before prefill. Past it the newest of the lowest rank is refused: a longer queue only holds
        // requests that would miss their targets. 50 requests a second times 5 s of patience is 250; ten times that for
        // bursts.
        std::size_t maxWaiting = 2500;
        // Requests placed and not ended: 600 engines times 20 places, and half as many again in prefill and transfer.
        std::size_t maxRunning = 20000;
        // Rates until measured.
        Duration prefillPerToken{75us};
        Duration prefillBase{5ms};
        Duration decodeStep{50ms};
        Duration transferPerToken{40us};
        Tokens outputLength{100};
        // Prefill work given to an engine ahead of what it reads now: enough to cover a report's way there and back.
        // More would take the choice of order away from the queue.
        Duration prefillAhead{60ms};
        // Tokens of one block of the prefix hashes.
        Tokens prefixBlock{256};
        // How long a prefill result is kept where the engine does not say.
        Duration keep{800ms};
        // Share of `keep` that a placed request may be expected to wait for decode memory. The rest covers errors of
        // the forecast.
        double keepShare = 0.3;
        // Standard deviations of the forecast of releases that are held back, for a class of waste weight 1. More
        // wastes less prefill and leaves more places empty. At 1 a seed of eight wasted 1%; up to 1.5 no goodput was
        // lost. Each class scales it by its waste weight.
        double caution = 1.3;
        // Share of the decode memory that must be free for a request to be bound to its decode engine at once. Below it
        // the engine is named when the prefill ends: a place bound early stands empty through the read.
        double bindEarly = 0.3;
        // Tries of one request over all its engines, the first included.
        int attempts = 3;
        // An engine that writes for somebody and reports no progress for this long is stalled: twenty steps.
        Duration decodeStall{1s};
        // Between two polls while requests wait: a tenth of the shortest read.
        Duration pollInterval{5ms};
        // Proposes role changes when true.
        bool shiftRoles = true;
        ClassQueue::Options queue;
        DecodeMemory::Options memory;
        PrefillQueues::Options prefill;
        OutlierDetector::Options outliers;
        PrefixIndex::Options prefixes;
        Admission::Options admission;
        RoleShift::Options roles;
        RetryBudget::Options retries;
    };

    static tl::expected<CellScheduler, DecideError> create(const Options &options);
    CellScheduler(CellScheduler &&) noexcept;
    CellScheduler &operator=(CellScheduler &&) noexcept;
    ~CellScheduler();

    // The engines as declared and as the host list has them; a missing one is lost, a leaving one ends its work.
    void setEngines(const std::vector<EngineSpec> &engines, Instant now);
    void onLoadReport(const EngineId &engine, const LoadReport &report, Instant now);
    // `gap`: events before these were lost.
    void onCacheEvents(const EngineId &engine, const std::vector<CacheEvent> &events, bool gap);
    // The engine is dead or restarted: what it held is gone.
    void onEngineLost(const EngineId &engine, Instant now);

    void submit(const PlaceRequest &request, Instant now);
    void onPrefillDone(const RequestId &request, const PrefillResult &result, Instant now);
    void onPrefillFailed(const RequestId &request, PrefillFault fault, Instant now);
    void onFirstToken(const RequestId &request, Instant now);
    void onProgress(const RequestId &request, Tokens output, Instant now);
    // The decode could not start or broke. `kvHeld`: the prefill engine still has the result.
    void onDecodeFailed(const RequestId &request, DecodeFault fault, bool kvHeld, Instant now);
    void onFinished(const RequestId &request, Instant now);
    // The caller has gone. Its memory counts as held until the engine's confirmed cancellation is reported here.
    void onCancelled(const RequestId &request, Instant now);
    // Takes over a request that another owner placed.
    void adopt(const HeldRequest &held, Instant now);

    // The actions that follow from all events so far.
    std::vector<Action> poll(Instant now);
    // When to poll next if no event comes before; none when nothing waits.
    std::optional<Instant> nextWake() const;
    CellSummary summary(Instant now) const;
    const CellCounters &counters() const;

private:
    explicit CellScheduler(std::unique_ptr<CellState> state);

    std::unique_ptr<CellState> state;
};

} // namespace fescuesill
