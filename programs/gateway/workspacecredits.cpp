// Generations are charged where they are placed, so they need no message of their own. A plain call is admitted by the
// host that receives it, which reports such calls once a second; only where that would exceed the host's part of the
// overdraft, it asks. So a calm day has no call that waits for another host, and what is not yet reported is bounded
// for all hosts together.
//
// Parts of each quota that hosts keep for themselves fit neither uneven loads nor many hosts: of a quota of 30,000
// tokens a second, each of 82 hosts would have one generation in some twenty seconds.

#include "programs/gateway/workspacecredits.h"

#include "wire/clock.h"
#include "wire/log.h"

#include <utility>

namespace fescuesill
{
namespace
{

constexpr Duration reportInterval{1s};
constexpr Duration replyLimit{100ms}; // ten times the delay between data centres
// For a call that no host accounts for now: the next leader is known within this time.
constexpr Duration retryWithoutAccount{500ms};
constexpr int overdraftPart = 4; // a quarter of the slack is for the overdrafts of all hosts (decide/quotaledger.cpp)

} // namespace

WorkspaceCredits::WorkspaceCredits(asio::io_context &context, const QuotaLedger::Options &options)
    : io(context)
    , slack(options.slack)
    , ledger(options)
{
}

void WorkspaceCredits::setWorkspaces(const WorkspaceTable *table)
{
    this->ledger.setWorkspaces(table, steadyNow());
}

CreditDecision WorkspaceCredits::takeHere(const WorkspaceId &workspace, QuotaUnits cost)
{
    const Duration wait = this->ledger.take(workspace, cost, steadyNow());
    if (wait > 0ms && !this->decidesForAll) {
        return {retryWithoutAccount, RejectReason::QuotaUnknown}; // the workspace may be within its quota
    }
    return {wait, RejectReason::OverQuota};
}

CreditDecision WorkspaceCredits::take(const WorkspaceId &workspace, QuotaUnits cost, const asio::yield_context &yield)
{
    if (!this->ledger.isLimited(workspace)) {
        return {};
    }
    if (this->decidesForAll) {
        return this->takeHere(workspace, cost);
    }
    const Instant now = steadyNow();
    if (this->overdraft.take(workspace, cost, now)) {
        return {};
    }
    if (!this->uplink) {
        return this->takeHere(workspace, cost);
    }
    const Duration left = this->overdraft.suspendedFor(workspace, now);
    return left > 0ms ? CreditDecision{std::max(left, QuotaLedger::shortestWait), RejectReason::OverQuota}
                      : this->request(workspace, cost, yield);
}

CreditDecision WorkspaceCredits::request(const WorkspaceId &workspace, QuotaUnits cost,
                                         const asio::yield_context &yield)
{
    const std::uint64_t number = ++this->lastNumber;
    const auto request = std::make_shared<Request>(this->io);
    this->requests[number] = request;
    this->uplink(peer::RequestCredit{number, workspace, cost});
    boost::system::error_code ignored;
    request->timer.expires_after(replyLimit);
    request->timer.async_wait(yield[ignored]);
    this->requests.erase(number);
    if (!request->wait) {
        return {retryWithoutAccount, RejectReason::QuotaUnknown};
    }
    return {*request->wait, RejectReason::OverQuota};
}

void WorkspaceCredits::onReply(const peer::CreditReply &message)
{
    const auto found = this->requests.find(message.number);
    if (found != this->requests.end()) {
        found->second->wait = message.wait;
        found->second->timer.cancel();
    }
}

void WorkspaceCredits::refund(const WorkspaceId &workspace, QuotaUnits cost)
{
    if (!this->ledger.isLimited(workspace)) {
        return;
    }
    if (this->decidesForAll) {
        this->ledger.add(workspace, QuotaUnits() - cost, steadyNow());
    } else {
        this->overdraft.refund(workspace, cost);
    }
}

void WorkspaceCredits::setUplink(Send send)
{
    this->uplink = std::move(send);
    this->overdraft.repeatReport();
    this->reportDue = Instant();
}

void WorkspaceCredits::setPart(bool decides, double share, std::size_t hosts)
{
    const Instant now = steadyNow();
    this->ledger.setShare(share, now);
    const auto parts = static_cast<std::int64_t>(hosts) * overdraftPart;
    this->overdraft.setLimit(parts > 0 ? QuotaUnits(this->slack.value() / parts) : QuotaUnits());
    if (decides && !this->decidesForAll) {
        this->ledger.takeOver(now);
    }
    this->decidesForAll = decides;
}

void WorkspaceCredits::onTick(Instant now)
{
    if (now < this->reportDue) {
        return;
    }
    if (!this->uplink && !this->decidesForAll) {
        return; // kept for the next host that accounts for it
    }
    this->reportDue = now + reportInterval;
    const QuotaOverdraft::Report report = this->overdraft.takeReport();
    if (report.empty()) {
        return;
    }
    peer::QuotaReport message;
    for (const auto &[workspace, units] : report) {
        if (this->decidesForAll) {
            this->ledger.add(workspace, units, now); // admitted before this host took over
        } else {
            message.uses.push_back({workspace, units});
        }
    }
    if (!this->decidesForAll) {
        this->uplink(message);
    }
}

void WorkspaceCredits::onUsedUp(const peer::QuotaUsedUp &message)
{
    this->overdraft.suspend(message.workspace, message.wait, steadyNow());
}

void WorkspaceCredits::onRequested(const Send &reply, const peer::RequestCredit &message)
{
    reply(peer::CreditReply{message.number, this->takeHere(message.workspace, message.cost).wait});
}

void WorkspaceCredits::onReported(const Send &reply, const peer::QuotaReport &message)
{
    const Instant now = steadyNow();
    for (const peer::QuotaUse &use : message.uses) {
        this->ledger.add(use.workspace, use.units, now);
        if (const Duration wait = this->ledger.overdrawnFor(use.workspace, now); wait > 0ms) {
            reply(peer::QuotaUsedUp{use.workspace, wait});
        }
    }
}

} // namespace fescuesill
