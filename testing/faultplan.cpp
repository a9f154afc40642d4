#include "testing/faultplan.h"

#include <algorithm>
#include <fmt/format.h>

// Exhaustive over what a run reaches: the steps of a run with one fault are taken from that run itself, so a second
// fault meets also the steps that only the first one brings about (reading back, releasing, a second entry). A pair is
// taken in the order of its steps in the run, each once.

namespace fescuesill
{
namespace
{

#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr int pairStride = 20;
#else
constexpr int pairStride = 1;
#endif

} // namespace

const std::vector<Fault> &allFaults()
{
    static const std::vector<Fault> faults{
        Fault::KillBefore,  Fault::KillAfter,  Fault::FreezeBefore, Fault::FreezeAfter, Fault::FreezeForDays,
        Fault::Cut,         Fault::LostReply,  Fault::LateEffect,   Fault::Refused,     Fault::Slow,
        Fault::OutageShort, Fault::OutageLong, Fault::Cancel};
    return faults;
}

std::string faultName(Fault fault)
{
    switch (fault) {
    case Fault::None:
        return "none";
    case Fault::KillBefore:
        return "kill-before";
    case Fault::KillAfter:
        return "kill-after";
    case Fault::FreezeBefore:
        return "freeze-before";
    case Fault::FreezeAfter:
        return "freeze-after";
    case Fault::FreezeForDays:
        return "freeze-days";
    case Fault::Cut:
        return "cut";
    case Fault::LostReply:
        return "lost-reply";
    case Fault::LateEffect:
        return "late-effect";
    case Fault::Refused:
        return "refused";
    case Fault::Slow:
        return "slow";
    case Fault::OutageShort:
        return "outage-2s";
    case Fault::OutageLong:
        return "outage-60s";
    case Fault::Cancel:
        return "cancel";
    }
    return "";
}

FaultRun::FaultRun(std::vector<FaultAt> plan)
    : plan(std::move(plan))
{
}

Fault FaultRun::strike(int actor, const std::string &kind)
{
    const int step = this->nextStep[actor]++;
    Fault fault = Fault::None;
    for (const FaultAt &planned : this->plan) {
        if (planned.actor == actor && planned.step == step) {
            fault = planned.fault;
        }
    }
    this->steps.push_back(Step{actor, step, kind, fault});
    return fault;
}

std::string FaultRun::planText() const
{
    std::string text;
    for (const Step &step : this->steps) {
        if (step.fault != Fault::None) {
            text += fmt::format("actor {} step {} ({}): {}; ", step.actor, step.step, step.kind, faultName(step.fault));
        }
    }
    return text.empty() ? "no fault" : text;
}

bool FaultRun::has(Fault fault) const
{
    return std::any_of(this->steps.begin(), this->steps.end(),
                       [fault](const Step &step) { return step.fault == fault; });
}

FaultMatrix::FaultMatrix(std::string lifeCycle)
    : lifeCycle(std::move(lifeCycle))
{
}

void FaultMatrix::enumerate(const RunOnce &runOnce)
{
    const FaultRun clean = this->runCounted(runOnce, {});
    for (const FaultRun::Step &first : clean.steps) {
        for (const Fault fault : allFaults()) {
            ++this->singles;
            const FaultRun single = this->runCounted(runOnce, {{first.actor, first.step, fault}});
            this->enumeratePairs(runOnce, single);
        }
    }
}

void FaultMatrix::enumerateSingles(const RunOnce &runOnce)
{
    const FaultRun clean = this->runCounted(runOnce, {});
    for (const FaultRun::Step &first : clean.steps) {
        for (const Fault fault : allFaults()) {
            ++this->singles;
            this->runCounted(runOnce, {{first.actor, first.step, fault}});
        }
    }
}

FaultRun FaultMatrix::runCounted(const RunOnce &runOnce, std::vector<FaultAt> plan)
{
    FaultRun run(std::move(plan));
    runOnce(run);
    this->count(run);
    return run;
}

// Every fault at every step that comes after the one that was struck.
void FaultMatrix::enumeratePairs(const RunOnce &runOnce, const FaultRun &single)
{
    bool after = false;
    for (const FaultRun::Step &second : single.steps) {
        if (!after) {
            after = second.fault != Fault::None;
            continue;
        }
        for (const Fault fault : allFaults()) {
            if (++this->pairsSeen % pairStride != 0) {
                continue;
            }
            ++this->pairs;
            this->runCounted(runOnce, {single.plan.front(), {second.actor, second.step, fault}});
        }
    }
}

int FaultMatrix::runs() const
{
    return 1 + this->singles + this->pairs;
}

std::string FaultMatrix::table() const
{
    std::string text = fmt::format("### {}: {} runs (1 without a fault, {} with one, {} with two)\n\n| step |",
                                   this->lifeCycle, this->runs(), this->singles, this->pairs);
    std::string rule = "\n|---|";
    for (const Fault fault : allFaults()) {
        text += fmt::format(" {} |", faultName(fault));
        rule += "---|";
    }
    text += rule;
    for (const std::string &kind : this->kinds) {
        text += fmt::format("\n| {} |", kind);
        for (const Fault fault : allFaults()) {
            const auto found = this->struck.find({kind, fault});
            text += fmt::format(" {} |", found == this->struck.end() ? 0 : found->second);
        }
    }
    text += "\n\nOutcomes:";
    for (const auto &[outcome, number] : this->outcomes) {
        text += fmt::format(" {} {};", outcome, number);
    }
    return text + "\n\n";
}

void FaultMatrix::count(const FaultRun &run)
{
    for (const FaultRun::Step &step : run.steps) {
        if (std::find(this->kinds.begin(), this->kinds.end(), step.kind) == this->kinds.end()) {
            this->kinds.push_back(step.kind);
        }
        if (step.fault != Fault::None) {
            ++this->struck[{step.kind, step.fault}];
        }
    }
    ++this->outcomes[run.outcome];
}

} // namespace fescuesill
