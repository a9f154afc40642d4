#pragma once

// Admits calls within the quotas of their workspaces. The host that places generations for all hosts, the leader or its
// deputy, accounts for the quotas. Used only by the forwarding thread.
//
//     WorkspaceCredits credits(io, ledgerOptions);
//     const CreditDecision decision = credits.take(workspace, cost, yield);      // a plain call
//     if (decision.refusal == CreditRefusal::None) { ... } else { ... come back after decision.wait ... }
//     credits.refund(workspace, cost);                                           // it did not run after all
//     const CreditDecision placed = credits.takeHere(workspace, cost);           // a generation that this host places

#include "decide/quotaledger.h"
#include "decide/quotaoverdraft.h"
#include "decide/rejectreason.h"
#include "wire/messages.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <unordered_map>

namespace fescuesill
{

namespace asio = boost::asio;

struct CreditDecision {
    Duration wait{0}; // zero if the call was charged
    RejectReason reason = RejectReason::OverQuota; // of a call that was not
};

class WorkspaceCredits
{
public:
    using Send = std::function<void(const peer::Message &)>;

    WorkspaceCredits(asio::io_context &io, const QuotaLedger::Options &options);

    void setWorkspaces(const WorkspaceTable *table);
    // Charges a call. Waits for a reply only if it exceeds what this host may admit without asking.
    CreditDecision take(const WorkspaceId &workspace, QuotaUnits cost, const asio::yield_context &yield);
    // Charges a call in the accounts of this host.
    CreditDecision takeHere(const WorkspaceId &workspace, QuotaUnits cost);
    // Gives back what a call was charged that has not run and will not.
    void refund(const WorkspaceId &workspace, QuotaUnits cost);

    // Sets how to send to the host that accounts for the quotas; empty if this host does, or if none can be reached.
    void setUplink(Send send);
    // Sets whether this host accounts for the quotas of all hosts, the part of the quotas that it may give, and the
    // number of hosts of the fleet; 0 if it is unknown.
    void setPart(bool decidesForAll, double share, std::size_t hosts);
    // Called periodically.
    void onTick(Instant now);

    void onReply(const peer::CreditReply &message);
    void onUsedUp(const peer::QuotaUsedUp &message);
    // Messages from a host that follows this one.
    void onRequested(const Send &reply, const peer::RequestCredit &message);
    void onReported(const Send &reply, const peer::QuotaReport &message);

private:
    struct Request {
        explicit Request(asio::io_context &io)
            : timer(io)
        {
        }

        asio::steady_timer timer;
        std::optional<Duration> wait; // of the reply
    };

    CreditDecision request(const WorkspaceId &workspace, QuotaUnits cost, const asio::yield_context &yield);

    asio::io_context &io;
    QuotaUnits slack;
    QuotaLedger ledger;
    QuotaOverdraft overdraft;
    Send uplink;
    bool decidesForAll = false;
    Instant reportDue;
    std::uint64_t lastNumber = 0;
    // Bounded by the number of callers' connections.
    std::unordered_map<std::uint64_t, std::shared_ptr<Request>> requests;
};

} // namespace fescuesill
