#pragma once

// Decides when the owner of a cell publishes its summary again.
//
//     SummaryPacer pacer(SummaryPacer::Options{});
//     if (pacer.isDue(summary, now)) { pacer.onPublished(summary, now); ... }

#include "decide/cellmessages.h"

#include <cmath>

namespace fescuesill
{

// The summaries of 48 busy cells are spread with probes that carry some ten updates a second. Summaries published
// faster than they spread would queue behind one another and all arrive late.
class SummaryPacer
{
public:
    struct Options {
        // Interval for a summary that differs enough to change a choice between data centres.
        Duration changedInterval{1s};
        // Interval for any other summary.
        Duration unchangedInterval{10s};
    };

    explicit SummaryPacer(const Options &options)
        : options(options)
    {
    }

    bool isDue(const CellSummary &summary, Instant now) const
    {
        const Duration since = now - this->publishedAt;
        return since >= this->options.unchangedInterval
            || (since >= this->options.changedInterval && changesChoice(this->published, summary));
    }

    void onPublished(const CellSummary &summary, Instant now)
    {
        this->published = summary;
        this->publishedAt = now;
    }

    // Whether the new summary might make an entry choose another data centre.
    static bool changesChoice(const CellSummary &before, const CellSummary &now)
    {
        constexpr Duration delayStep = 50ms; // a tenth of the time to the first token
        constexpr double memoryStep = 0.1;
        const Duration delayChange = now.queueDelay > before.queueDelay ? now.queueDelay - before.queueDelay
                                                                        : before.queueDelay - now.queueDelay;
        return before.accepting != now.accepting || delayChange >= delayStep
            || std::abs(now.memoryUse - before.memoryUse) >= memoryStep;
    }

private:
    Options options;
    CellSummary published;
    Instant publishedAt;
};

} // namespace fescuesill
