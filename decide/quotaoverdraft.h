#pragma once

// What a host admits of small calls before it has reported it to the host that accounts for the quotas.
//
//     QuotaOverdraft overdraft;
//     overdraft.setLimit(QuotaUnits(700));
//     if (!overdraft.take(workspace, cost, now)) { ... ask the host that accounts for it ... }
//     for (const auto &[workspace, units] : overdraft.takeReport()) { ... send ... }
//     overdraft.suspend(workspace, wait, now);    // it has used up its quota, as that host says

#include "decide/workspacetable.h"

#include <algorithm>
#include <map>

namespace fescuesill
{

class QuotaOverdraft
{
public:
    using Report = std::map<WorkspaceId, QuotaUnits>; // negative where more did not run than was admitted

    // The most that is admitted of one workspace between two reports.
    void setLimit(QuotaUnits units)
    {
        this->limit = units;
    }
    bool take(const WorkspaceId &workspace, QuotaUnits cost, Instant now)
    {
        if (this->suspendedFor(workspace, now) > 0ms) {
            return false;
        }
        Account &account = this->accounts[workspace];
        if (account.admitted + cost > this->limit) {
            return false;
        }
        account.admitted += cost;
        return true;
    }
    // The call did not run. It may have been admitted here or by the other host.
    void refund(const WorkspaceId &workspace, QuotaUnits cost)
    {
        this->accounts[workspace].refunded += cost;
    }
    void suspend(const WorkspaceId &workspace, Duration wait, Instant now)
    {
        this->accounts[workspace].suspendedUntil = now + wait;
    }
    Duration suspendedFor(const WorkspaceId &workspace, Instant now) const
    {
        const auto found = this->accounts.find(workspace);
        return found == this->accounts.end() ? Duration(0)
                                             : std::max<Duration>(found->second.suspendedUntil - now, 0ms);
    }
    // What was admitted less what did not run, since the last report.
    Report takeReport()
    {
        Report report;
        for (auto &[workspace, account] : this->accounts) {
            const QuotaUnits units = account.admitted - account.refunded;
            if (units != QuotaUnits()) {
                report[workspace] = units;
            }
            account.reported = account.admitted;
            account.admitted = QuotaUnits();
            account.refunded = QuotaUnits();
        }
        return report;
    }
    // Another host accounts for the quotas from now on, which may not have the last report.
    void repeatReport()
    {
        for (auto &[workspace, account] : this->accounts) {
            account.admitted += account.reported;
            account.reported = QuotaUnits();
            account.suspendedUntil = Instant();
        }
    }

private:
    struct Account {
        QuotaUnits admitted; // since the last report
        QuotaUnits refunded;
        QuotaUnits reported; // in the last report
        Instant suspendedUntil;
    };

    QuotaUnits limit;
    std::map<WorkspaceId, Account> accounts; // of workspaces of the current or an earlier configuration
};

} // namespace fescuesill
