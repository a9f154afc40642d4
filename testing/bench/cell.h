#pragma once

// One cell in virtual time: its engines, the life of each attempt on them as an entry would lead it, and the policy
// that decides.
//
//     Cell cell(events, workload, 0, PolicyKind::Ours, statistics, [](const Outcome &outcome) { ... });
//     cell.submit(job, attempt);
//     cell.cancel(request);

#include "fakes.h"
#include "policies.h"

#include <memory>

namespace fescuesill::bench
{

struct Waste {
    Tokens read; // all tokens read
    Tokens reused; // tokens not read thanks to the caches
    Tokens expired;
    Tokens redone;
    Tokens cancelled;
    Tokens noPlace;
};

struct Outcome {
    RequestId request;
    const Job *job = nullptr;
    int attempt = 0;
    Instant arrival;
    bool completed = false;
    std::optional<Duration> retryAfter;
    // When the parts of the way to the first token began; the last of each.
    Instant placed;
    Instant read;
    Instant decodeAsked;
    Duration firstToken{0};
    Duration perToken{0};
    int placings = 0;
    std::size_t prefill = 0; // the last
    std::size_t decode = 0;
};

class Cell
{
public:
    Cell(EventQueue &events, const Workload &workload, int number, PolicyKind kind,
         std::function<void(const Outcome &)> ended);

    // `waited`: since the caller asked, on the way or in another cell.
    void submit(const Job &job, int attempt, Duration waited = Duration(0));
    void cancel(const RequestId &request);
    // Two of five callers leave at once.
    std::vector<RequestId> cancelMany(std::uint64_t seed);
    void apply(const Fault &fault, bool begins);

    // What a policy may do; each takes one hop to arrive.
    void startPrefill(const RequestId &request, std::size_t engine);
    void startDecode(const RequestId &request, std::size_t engine);
    void refuse(const RequestId &request, std::optional<Duration> retryAfter);
    void changeRole(std::size_t engine, Pool pool);

    // What a policy may know at once.
    EventQueue &clock()
    {
        return this->events;
    }
    const Workload &load() const
    {
        return this->workload;
    }
    std::vector<EngineSpec> specs() const;
    const std::string &dataCentre() const
    {
        return this->name;
    }
    CellSummary summary() const;

    const Waste &waste() const
    {
        return this->wasted;
    }
    double memoryUse() const; // share of the decode memory held, over the whole run
    std::vector<double> prefillUse() const; // share of time that each engine read
    const Policy &decider() const
    {
        return this->policy;
    }

private:
    enum class Stage {
        Waiting,
        Reading,
        Read,
        Moving,
        Decoding,
    };
    struct Attempt {
        Outcome outcome;
        Stage stage = Stage::Waiting;
        RunKey run = 0;
        std::size_t prefill = 0;
        std::size_t decode = 0;
        Tokens read; // of the result that is held or in use
        Instant kvUntil;
        Tokens written;
        Instant firstTokenAt;
    };
    struct Engine {
        EngineSpec spec;
        bool dead = false;
        bool listed = true;
        int life = 0;
        std::unique_ptr<FakePrefill> prefill;
        std::unique_ptr<FakeLink> link;
        std::unique_ptr<FakeDecode> decode;
    };

    Attempt *find(const RequestId &request);
    Attempt *find(const RequestId &request, RunKey run);
    void finish(const RequestId &request, Attempt &attempt);
    void drop(Attempt &attempt, Tokens &cause);
    void onRead(const RequestId &request, RunKey run, const PrefillResult &result);
    void arriveDecode(const RequestId &request, std::size_t engine);
    void decodeFailed(const RequestId &request, DecodeFault fault);
    void kill(std::size_t engine);
    void stall(std::size_t engine);
    void giveUpLater(const RequestId &request, RunKey run);
    void publish(std::size_t engine);
    void tell(const std::function<void(Policy &)> &event);

    EventQueue &events;
    const Workload &workload;
    std::string name;
    std::function<void(const Outcome &)> ended;
    std::vector<Engine> engines;
    std::unordered_map<RequestId, Attempt> attempts;
    RunKey nextRun = 1;
    Waste wasted;
    Policy policy;
};

} // namespace fescuesill::bench
