#pragma once

// Whether packets are being lost, so that the events of streams are held to be written in fewer packets. The leader
// decides it for all hosts from what each of them counts. Used only by the forwarding thread.
//
//     EventLosses losses(host, 200ms);
//     losses.add(batch.takeCounts());           // of the streams of this host
//     losses.onTick(now);                       // reports the counts, and decides if this host leads
//     batch.setHolding(losses.isSeen());

#include "decide/eventbatch.h"
#include "decide/losswatch.h"
#include "wire/messages.h"

#include <functional>
#include <optional>

namespace fescuesill
{

class EventLosses
{
public:
    using Send = std::function<void(const peer::Message &)>;

    // Without the time in which an event must reach its caller, loss is never seen and nothing is sent.
    EventLosses(HostId host, std::optional<Duration> latestEvent);

    // Counts of streams of this host.
    void add(const EventBatch::Counts &counts);
    bool isSeen() const
    {
        return this->isLossSeen;
    }
    EventBatch::Options batchOptions() const;

    // Sets how to send to the leader or its deputy; empty if neither can be reached.
    void setUplink(Send send);
    // Sets how to send to all hosts that follow this one.
    void setFollowers(Send send);
    // Sets whether this host decides for all hosts.
    void setDeciding(bool decides);
    void onVerdict(const peer::EventLoss &message);
    // Messages from a host that follows this one, which it knows by its address.
    void onCounts(const std::string &address, const peer::EventCounts &message);
    void sendVerdict(const Send &reply) const;
    // Called several times a second.
    void onTick(Instant now);

private:
    void report(Instant now);
    void decide(Instant now);

    HostId host;
    std::optional<Duration> latestEvent;
    LossWatch watch;
    Send uplink;
    Send followers;
    bool isDeciding = false;
    bool isLossSeen = false;
    peer::EventCounts unreported;
    Instant lastReport;
    Instant lastVerdictAt; // when the leader, or this host as the leader, last had a verdict in force
};

} // namespace fescuesill
