#pragma once

// When the owner of a cell publishes its summary again.
//
//     SummaryPacer pacer(SummaryPacer::Options{});
//     if (pacer.isDue(summary, now)) { pacer.onPublished(summary, now); ... }

#include "decide/cellmessages.h"

#include <cmath>

namespace fescuesill
{

// Load: 48 busy cells whose summaries ride on probes that carry some ten facts a second. Harm prevented: summaries
// that are published faster than they spread, so that each waits behind others and all are late.
class SummaryPacer
{
public:
    struct Options {
        // A summary that has changed enough to change a choice between data centres is published after this long;
        Duration changed{1s};
        // any other after this long.
        Duration unchanged{10s};
    };

    explicit SummaryPacer(const Options &options)
        : options(options)
    {
    }

    bool isDue(const CellSummary &summary, Instant now) const
    {
        const Duration since = now - this->publishedAt;
        return since >= this->options.unchanged
            || (since >= this->options.changed && changesChoice(this->published, summary));
    }

    void onPublished(const CellSummary &summary, Instant now)
    {
        this->published = summary;
        this->publishedAt = now;
    }

    // Whether an entry might choose another data centre by the new summary.
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
