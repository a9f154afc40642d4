#pragma once

// The implementation of CellScheduler. cellengines.cpp maintains the engines, cellstate.cpp the requests,
// cellevents.cpp processes events, cellchoosing.cpp chooses engines and cellplacing.cpp makes the decisions.

#include "decide/cellscheduler.h"
#include "decide/linkschedule.h"

#include <map>
#include <set>
#include <unordered_map>

namespace fescuesill
{

// A request joins a batch on average in the middle of a step and has its first token at the end of the next.
constexpr double stepsToFirstToken = 1.5;

constexpr Duration refreshInterval = 20ms; // of state that changes slowly: a tenth of the outliers' interval
// A class with a first-token target up to this is interactive: delays after its placement decide whether it meets the
// target.
constexpr Duration maxInteractiveFirstToken = 1s;

constexpr int maxConcurrentTransfers = 3; // on one link, urgent ones aside; with more, none would finish in time

class CellState
{
public:
    explicit CellState(const CellScheduler::Options &options);

    void setEngines(const std::vector<EngineSpec> &specs, Instant now);
    void onLoadReport(const EngineId &engine, const LoadReport &report, Instant now);
    void onCacheEvents(const EngineId &engine, const std::vector<CacheEvent> &events, bool gap);
    void onEngineLost(const EngineId &engine, Instant now);

    void submit(const PlaceRequest &request, Instant now);
    void onPrefillDone(const RequestId &request, const PrefillResult &result, Instant now);
    void onPrefillFailed(const RequestId &request, PrefillFault fault, Instant now);
    void onFirstToken(const RequestId &request, Instant now);
    void onProgress(const RequestId &request, Tokens output, Instant now);
    void onDecodeFailed(const RequestId &request, DecodeFault fault, bool kvHeld, Instant now);
    void onFinished(const RequestId &request, Instant now);
    void onCancelled(const RequestId &request, Instant now);
    void adopt(const HeldRequest &held, Instant now);

    std::vector<Action> poll(Instant now);
    std::optional<Instant> nextWake() const;
    CellSummary summary(Instant now) const;

    CellCounters counters;

private:
    enum class Stage {
        Waiting, // before prefill, in the queue
        Prefilling, // placed on a prefill engine
        Ready, // prefill done; waits for decode memory
        Decoding,
    };

    struct ReadyOrder {
        int rank = 0; // 0: urgent, 1: other interactive classes, 2: the rest
        Instant by; // when it expires or misses its target
        std::uint64_t key = 0;

        friend bool operator<(const ReadyOrder &a, const ReadyOrder &b)
        {
            return std::tie(a.rank, a.by, a.key) < std::tie(b.rank, b.by, b.key);
        }
    };

    struct Record {
        std::uint64_t key = 0;
        PlaceRequest request;
        Stage stage = Stage::Waiting;
        Pieces pieces;
        Instant latest;
        Duration cost{0};
        int rank = 0;
        int attempts = 0;
        EngineSlot prefill = noEngine;
        EngineSlot decode = noEngine;
        std::size_t matched = 0; // blocks expected in the prefill engine's cache
        Tokens reused; // expected when it was enqueued
        Tokens computed; // by the last prefill
        Duration transfer{0}; // transfer time reserved on the link
        Instant keepUntil;
        ReadyOrder readyOrder;
        Instant placedAt;
        Instant heldSince;
        Instant decodeSince;
        Instant progressAt;
        Tokens output;
        bool reserved = false; // its transfer is reserved on the link
        bool transferring = false; // its transfer is in progress
        bool decodeStarted = false;
        bool answered = false; // has had a first token
        bool linkExclusive = false; // no other transfer used the link at the same time
        std::uint64_t linkOverlaps = 0; // LinkSchedule::overlaps when the transfer began
    };

    struct EngineState {
        EngineSpec spec;
        std::size_t link = 0;
        bool listed = false; // in the declaration
        bool lost = false; // nothing reported since lostAt
        Instant lostAt;
        bool changing = false; // a role change was proposed
        std::string instance;
        int running = 0; // requests with pieces held here
        int decoding = 0;
        Instant progressAt;
        Instant lastPlaced;
    };

    struct OutputLength {
        double mean = 0;
        double spread = 0; // mean distance from the mean
    };

    struct PrefillChoice {
        EngineSlot slot = noEngine;
        std::size_t matched = 0;
        Duration ahead{0};
        Duration prefill{0};
        Duration linkWait{0};
        Duration score{0};
    };

    // Engines.
    EngineState &engineAt(EngineSlot slot);
    bool takesWork(EngineSlot slot) const;
    void refreshPools(Instant now);
    void refreshDecode(EngineSlot slot, Instant now);
    void refreshPrefill(EngineSlot slot, Instant now);
    void markEngineLost(EngineSlot slot, Instant now);

    // Requests.
    Record *find(const RequestId &request);
    Duration serviceTime(const Record &record) const;
    Tokens expectedReuse(const PlaceRequest &request);
    Duration prefillTime(Tokens tokens) const;
    Pieces piecesOf(const Record &record) const;
    Duration costOf(const Record &record) const;
    Tokens contextOf(const Record &record) const;
    OutputLength outputLength(const PlaceRequest &request) const;
    void learnOutput(const PlaceRequest &request, Tokens output);
    void enqueue(Record &record, int rank, Instant now);
    void requeue(Record &record, Tokens &wasted, RefusalCode code, Instant now);
    // The id is passed by value: it may be part of the record that is erased.
    void refuse(RequestId request, RefusalCode code, const char *text, Instant now);
    void erase(Record &record);
    void leavePrefill(Record &record, Instant now);
    void makeReady(Record &record);
    void startDecoding(Record &record, Instant now);
    void leaveReady(Record &record);
    void holdDecode(Record &record, EngineSlot slot, Instant now);
    void releaseDecode(Record &record, Instant now);
    void reserveTransfer(Record &record);
    void beginTransfer(Record &record, Instant now);
    void endTransfer(Record &record);
    static bool isUrgent(const Record &record);
    void promise(const Record &record);
    void releasePromise(const Record &record);
    Duration linkWait(const Record &record, EngineSlot slot, Duration ready, Instant now) const;
    bool linkAllows(const Record &record, Instant now) const;
    void learnTransfer(const Record &record, Instant now);
    void learnDelay(const Record &record, Instant now);
    void sampleStep(Record &record, Tokens output, Instant now);

    // Decisions.
    void checkStalls(Instant now);
    void expireReady(Instant now);
    void startReady(Instant now);
    void refuseExpired(Instant now);
    void refuseExcess(Instant now);
    bool placeNext(Instant now);
    bool tryPlace(const QueueItem &item, Instant now);
    PrefillChoice choosePrefill(const Record &record, Instant now);
    EngineSlot chooseDecode(Pieces pieces, bool urgent, Instant now) const;
    EngineSlot mostFree(EngineSlot except) const;
    double forecastFreePieces(const Record &record, Duration until, Instant now) const;
    double urgentDemand(int rank, Duration until, Instant now) const;
    void recordPlaced(const Record &record, Instant now);
    void place(Record &record, const PrefillChoice &choice, EngineSlot decode, Instant now);
    void shiftRoles(Instant now);
    Admission &admissionOf(int rank);

    CellScheduler::Options options;
    EngineTable table;
    std::vector<EngineState> engines;
    std::vector<EngineSlot> prefillSlots; // listed and in this pool
    std::vector<EngineSlot> decodeSlots;

    ClassQueue queue;
    DecodeMemory memory;
    PrefillQueues prefills;
    OutlierDetector prefillOutliers; // stalls and refused connections; slowness is in the forecast
    OutlierDetector decodeOutliers;
    PrefixIndex prefixes;
    LinkSchedule links;
    RoleShift roles;
    RetryBudget retries;
    std::map<int, Admission> admissions; // by rank
    std::map<int, Duration> windows; // by rank: time from enqueueing to the latest start of the last request submitted

    std::unordered_map<RequestId, Record> records;
    std::unordered_map<std::uint64_t, Record *> byKey;
    std::set<ReadyOrder> ready;
    Pieces promised; // to requests in prefill or ready that hold no pieces yet
    Pieces promisedUrgent; // share of `promised` that belongs to urgent requests
    int placedPastHead = 0; // urgent requests placed while the head could not be
    std::uint64_t nextKey = 1;
    std::map<std::string, OutputLength> outputs; // by class name, from the declaration

    double transferMicros; // per token, measured as transferredMicros / transferredTokens
    double transferredMicros;
    double transferredTokens;
    double stepMicros; // mean step of the decode engines, measured
    // Pieces placed for each rank, per microsecond: an estimate of what more urgent requests will take.
    struct PlacedRate {
        double rate = 0;
        Instant since;
    };
    std::map<int, PlacedRate> placedRates;
    // Time from placing to the first token beyond the nominal service time, in microseconds.
    struct Delay {
        double mean = 0;
        double spread = 0;
        Instant updated;

        double expected(Instant now) const;
    };
    Delay urgentDelay;
    Delay interactiveDelay; // of the other interactive classes
    std::vector<Action> actions;
    std::vector<PrefixIndex::Match> matches;
    std::vector<std::size_t> matchedBlocks; // by slot, all 0 between uses
    Instant lastPoll;
    Instant lastRefresh;
};

} // namespace fescuesill
