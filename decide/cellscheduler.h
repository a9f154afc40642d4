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
// Every submitted request ends in exactly one of: onFinished or onCancelled called by the caller, or a Refuse action.
// Events about unknown requests are ignored: reports may be late, duplicated or out of order.

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
        // Maximum number of requests that wait for prefill. Beyond it the last request of the lowest priority is
        // refused: a longer queue only holds requests that would miss their targets. 50 requests a second times 5 s of
        // patience is 250; this allows bursts of ten times that.
        std::size_t maxWaiting = 2500;
        // Maximum number of requests that are placed and not ended: 600 engines times 20 requests, and half as many
        // again in prefill and transfer.
        std::size_t maxRunning = 20000;
        // Initial values of the measured rates.
        Duration prefillPerToken{75us};
        Duration prefillBase{5ms};
        Duration decodeStep{50ms};
        Duration transferPerToken{40us};
        Tokens outputLength{100};
        // Prefill work sent to an engine beyond what it computes now: enough to cover the round trip of a report. A
        // larger value would take the choice of order away from the queue.
        Duration prefillAhead{60ms};
        // Tokens of one block of the prefix hashes.
        Tokens prefixBlock{256};
        // How long a prefill result is kept if the engine does not report it.
        Duration keep{800ms};
        // Share of `keep` that a placed request may be expected to wait for decode memory. The rest covers errors of
        // the forecast.
        double keepShare = 0.3;
        // Standard deviations by which the forecast of releases is reduced, for a class of waste weight 1. A larger
        // value wastes less prefill and leaves more memory unused. At 1, one of eight seeds wasted 1%; up to 1.5 no
        // goodput was lost. Each class scales it by its waste weight.
        double caution = 1.3;
        // Share of the decode memory that must be free for a request to be bound to its decode engine when it is
        // placed. Below it the engine is chosen when the prefill ends, since memory bound early is unused during the
        // prefill.
        double earlyBindFreeShare = 0.3;
        // Maximum attempts of one request over all its engines, the first included.
        int attempts = 3;
        // A decode engine with running requests that reports no progress for this long is stalled: twenty steps.
        Duration decodeStall{1s};
        // Interval of polls while requests wait: a tenth of the shortest prefill.
        Duration pollInterval{5ms};
        // Whether to propose role changes.
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

    // The engines by the declaration and the host list. A missing engine is lost; a leaving one finishes its work.
    void setEngines(const std::vector<EngineSpec> &engines, Instant now);
    void onLoadReport(const EngineId &engine, const LoadReport &report, Instant now);
    // `gap`: events before these were lost.
    void onCacheEvents(const EngineId &engine, const std::vector<CacheEvent> &events, bool gap);
    // The engine died or restarted, so everything that it held is gone.
    void onEngineLost(const EngineId &engine, Instant now);

    void submit(const PlaceRequest &request, Instant now);
    void onPrefillDone(const RequestId &request, const PrefillResult &result, Instant now);
    void onPrefillFailed(const RequestId &request, PrefillFault fault, Instant now);
    void onFirstToken(const RequestId &request, Instant now);
    void onProgress(const RequestId &request, Tokens output, Instant now);
    // The decode could not start or failed. `kvHeld`: the prefill engine still has the result.
    void onDecodeFailed(const RequestId &request, DecodeFault fault, bool kvHeld, Instant now);
    void onFinished(const RequestId &request, Instant now);
    // The caller disconnected. Until the engine's confirmed cancellation is reported here, its memory counts as held.
    void onCancelled(const RequestId &request, Instant now);
    // Takes over a request that another owner placed.
    void adopt(const HeldRequest &held, Instant now);

    // The actions that follow from all events so far.
    std::vector<Action> poll(Instant now);
    // When to poll next if no event arrives before. Empty when nothing waits.
    std::optional<Instant> nextWake() const;
    CellSummary summary(Instant now) const;
    const CellCounters &counters() const;

private:
    explicit CellScheduler(std::unique_ptr<CellState> state);

    std::unique_ptr<CellState> state;
};

} // namespace fescuesill
