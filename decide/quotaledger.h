#pragma once

// The quotas of the workspaces, as the host that decides for all hosts accounts for them.
//
//     QuotaLedger ledger(QuotaLedger::Options{});
//     ledger.setWorkspaces(config.workspaces ? &*config.workspaces : nullptr, now);
//     const Duration wait = ledger.take(workspace, cost, now);     // zero: the call may run
//     ledger.add(workspace, -cost, now);                           // it did not run after all
//     ledger.add(workspace, cost, now);                            // another host has admitted it already

#include "decide/workspacetable.h"

namespace fescuesill
{

class QuotaLedger
{
public:
    static constexpr Duration shortestWait{50ms}; // of a refused caller

    struct Options {
        // In any time of `window`, all hosts together may admit a share of `overshoot` more than the rate and the burst
        // allow, and `slack` more.
        Duration window{8s};
        double overshoot = 0;
        QuotaUnits slack;
        // All hosts start together for the first time, so nothing was used before.
        bool isFirstStart = false;
        // The longest time that a refused caller is told to wait because others were refused before it.
        Duration longestSpread{4s};
    };

    explicit QuotaLedger(const Options &options)
        : options(options)
    {
    }

    // Sets the limits in force; null if the configuration has no workspaces.
    void setWorkspaces(const WorkspaceTable *table, Instant now);
    // Sets the part of each limit that this host may give.
    void setShare(double part, Instant now);
    // This host decides for all hosts from now on; what they have used of late is not known here.
    void takeOver(Instant now);

    bool isLimited(const WorkspaceId &workspace) const
    {
        return this->buckets.count(workspace) > 0;
    }
    // Charges a call and returns zero, or returns the time after which the credit will probably cover it.
    Duration take(const WorkspaceId &workspace, QuotaUnits cost, Instant now);
    // Charges what was admitted elsewhere, or credits what did not run (negative).
    void add(const WorkspaceId &workspace, QuotaUnits units, Instant now);
    // The time until the workspace has paid for what was admitted elsewhere; zero if it has.
    Duration overdrawnFor(const WorkspaceId &workspace, Instant now);

private:
    struct Bucket {
        Quota quota;
        double level = 0;
        double promised = 0; // what refused callers have been told to come back for
        Instant refilled;
    };

    double capacityOf(const Quota &quota) const;
    double initialLevel(const Quota &quota) const;
    void refill(Bucket &bucket, Instant now) const;
    Duration timeFor(const Bucket &bucket, double units) const;

    Options options;
    double share = 1;
    std::unordered_map<WorkspaceId, Bucket> buckets; // of the workspaces with a quota
};

} // namespace fescuesill
