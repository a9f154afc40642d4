#pragma once

// Where the prompt of one generation is read: at a prefill engine, at a second one, or at the decode engine itself.
//
//     ReadPlan read(isFirstSend);
//     ReadStep step = read.first(budget, isSound);    // of the engine that would be asked
//     while (step == ReadStep::AskPrefill) { ... read.onFailed(budget) is the next step ... }
//
// Load: prefill engines that are down, dark or full, and every generation asks one of them. Harm prevented: each asks a
// second one and then the decode engine, three sends for one request, until the retries that all hosts share are spent
// several times over on an outage that retries do not mend.

#include "decide/retrybudget.h"

namespace fescuesill
{

enum class ReadStep {
    AskPrefill,
    AtDecode, // by the engine that writes the answer: slower, and no further send
};

class ReadPlan
{
public:
    // Prefill engines asked for one generation. A third would come too late for the target.
    static constexpr int mostAsked = 2;

    // `isFirstSend`: nothing of this generation was sent before.
    explicit ReadPlan(bool isFirstSend)
        : isFree(isFirstSend)
    {
    }

    // The first read is free if it succeeds; a failed one is a retry like any other. An engine that failed lately is
    // asked only where a further failure can be paid for; the decode engine reads at half the speed and holds up the
    // answers that it writes, so an engine without faults is asked in any case.
    ReadStep first(RetryBudget &budget, bool isSound)
    {
        this->asked = 1;
        const bool mayAsk = this->isFree ? isSound || budget.left() >= 1 : budget.take();
        return mayAsk ? ReadStep::AskPrefill : ReadStep::AtDecode;
    }
    ReadStep onFailed(RetryBudget &budget)
    {
        if (this->isFree && this->asked == 1 && !budget.take()) {
            return ReadStep::AtDecode;
        }
        if (this->asked >= mostAsked || budget.left() < 1 || !budget.take()) {
            return ReadStep::AtDecode;
        }
        ++this->asked;
        return ReadStep::AskPrefill;
    }

private:
    bool isFree;
    int asked = 0;
};

} // namespace fescuesill
