#pragma once

// Which faults strike at which steps of a run in virtual time, and the enumeration of all of them.
//
//     FaultMatrix matrix("booking");
//     matrix.enumerate([](FaultRun &run) { ... one run, every action through run.strike(...) ... });
//     fmt::print("{}", matrix.table());

#include "fescuesill/units.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace fescuesill
{

enum class Fault {
    None,
    KillBefore, // the process dies before the action leaves it
    KillAfter, // the action takes effect, then the process dies
    FreezeBefore, // frozen for twenty seconds between the decision and the first byte
    FreezeAfter, // the action takes effect; the process is frozen before it sees the result
    FreezeForDays, // the same for five days
    Cut, // nothing arrives, no reply
    LostReply, // takes effect, no reply
    LateEffect, // no reply, takes effect four seconds later
    Refused, // surely no effect
    Slow, // takes effect, the reply comes just within the timeout
    OutageShort, // the table is down for two seconds
    OutageLong, // for a minute
    Cancel, // the caller goes away
};

const std::vector<Fault> &allFaults();
std::string faultName(Fault fault);

struct FaultAt {
    int actor = 0;
    int step = 0;
    Fault fault = Fault::None;
};

// One run: the faults planned for it, and what it came across.
class FaultRun
{
public:
    explicit FaultRun(std::vector<FaultAt> plan);

    // The fault that strikes this actor's next action, which is of the named kind.
    Fault strike(int actor, const std::string &kind);

    // For a failure message: the plan in words.
    std::string planText() const;
    bool has(Fault fault) const;

    struct Step {
        int actor;
        int step;
        std::string kind;
        Fault fault;
    };
    std::vector<FaultAt> plan;
    std::vector<Step> steps;
    // What became of the run, for the count.
    std::string outcome;

private:
    std::map<int, int> nextStep;
};

class FaultMatrix
{
public:
    using RunOnce = std::function<void(FaultRun &)>;

    explicit FaultMatrix(std::string lifeCycle);

    // Runs without a fault, then each fault at each step that a run reaches, then each pair of these.
    void enumerate(const RunOnce &runOnce);
    // Without the pairs, where one run is long.
    void enumerateSingles(const RunOnce &runOnce);

    int runs() const;
    // Steps x faults with the number of runs in which the fault struck there, and the outcomes.
    std::string table() const;

private:
    FaultRun runCounted(const RunOnce &runOnce, std::vector<FaultAt> plan);
    void enumeratePairs(const RunOnce &runOnce, const FaultRun &single);
    void count(const FaultRun &run);

    std::string lifeCycle;
    int singles = 0;
    int pairs = 0;
    int pairsSeen = 0;
    std::vector<std::string> kinds;
    std::map<std::pair<std::string, Fault>, int> struck;
    std::map<std::string, int> outcomes;
};

} // namespace fescuesill
