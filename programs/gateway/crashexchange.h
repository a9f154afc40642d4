#pragma once

// What a host knows of requests that crash endpoints, and what the hosts notify each other of. No I/O and no clock.
//
//     CrashExchange exchange;
//     exchange.setUplink(send, now);              // to the host that decides for all, or empty
//     if (exchange.blockedFor(traits, now) && !exchange.takeTrial(traits, now)) { ... refuse ... }
//     exchange.report(run, now);                  // an endpoint has ended under a request
//     exchange.onServed(traits, begun, wasRead, now);   // a request with these was answered in full
//     exchange.onMessage(message, now);
//     exchange.onTick(now);
//
// Hosts report the requests that ran at endpoints that ended, and the leader or its deputy finds out which to block.

#include "decide/crashtracker.h"
#include "decide/requestblocks.h"
#include "wire/messages.h"

#include <deque>
#include <functional>
#include <map>

namespace fescuesill
{

// The traits, and each as one of a request whose prompt was read by a prefill engine.
RequestTraits withRead(RequestTraits traits);
// What the end of an endpoint suspects of a request that ran there. `written`: since the first event of its answer, if
// there was any; `isReading`: the endpoint was to read the prompt only.
RequestTraits suspectedTraits(RequestTraits traits, std::optional<Duration> written, bool isReading);
// For the log.
std::string textOf(const RequestTraits &traits);

class CrashExchange
{
public:
    using Send = std::function<void(const peer::Message &)>;

    CrashExchange();

    // Nothing is blocked or watched, so that no request need be examined.
    bool isEmpty() const
    {
        return this->inForce.isEmpty();
    }
    // How long requests with these traits are refused; empty if they may be sent.
    std::optional<Duration> blockedFor(const RequestTraits &traits, Instant now) const;
    // Whether this one may be sent although it is blocked, as a trial. Only the host that counts the crashes makes any.
    bool takeTrial(const RequestTraits &traits, Instant now);
    // The trial was not sent.
    void returnTrial(const RequestTraits &traits, Instant now);
    // An endpoint has ended under a request. `number`: of the report, if a reply is wanted; see setCountedHandler().
    void report(const SuspectedRun &crash, Instant now, std::uint64_t number = 0);
    // The request that was sent at `begun` has been answered in full. `wasRead`: by a prefill engine, before.
    void onServed(const RequestTraits &traits, Instant begun, bool wasRead, Instant now);

    // Sets what is called after a request was blocked, so that requests that wait are examined again.
    void setBlockedHandler(std::function<void()> handler);
    // Sets what is called with the number of a report that has been counted, after what it blocks is known here.
    void setCountedHandler(std::function<void(std::uint64_t)> handler);
    // Sets how to send to the leader or its deputy; empty if this host decides alone or for all.
    void setUplink(Send send, Instant now);
    bool hasUplink() const
    {
        return static_cast<bool>(this->uplink);
    }
    // Sets how to send to all hosts that follow this one.
    void setFollowers(Send send);
    // Changes with the crashes that this host counts.
    std::uint64_t revision() const
    {
        return this->changes;
    }
    // The crashes that may still block requests, for the next host that counts.
    peer::CrashesKnown known(Instant now) const;
    // Sends what is blocked and watched to a host that has begun to follow this one.
    void sendTo(const Send &reply, Instant now) const;
    void onTick(Instant now);
    std::size_t blocks() const
    {
        return this->inForce.size();
    }

    // A message from a host that follows this one.
    void onReported(const Send &reply, const peer::EndpointCrashed &message, Instant now);
    void onMessage(const peer::CrashCounted &message);
    // What the leader, now or before, has counted.
    void onMessage(const peer::CrashesKnown &message, Instant now);
    void onMessage(const peer::TraitsServed &message, Instant now);
    void onMessage(const peer::RequestsBlocked &message, Instant now);
    void onMessage(const peer::TraitsWatched &message, Instant now);

private:
    // Counts a crash, and notifies all hosts of what it has shown.
    void count(const SuspectedRun &crash, Instant now);
    void send(const SuspectedRun &crash, Instant now, std::uint64_t number);
    // `begun`: of the request that was answered, if this host has sent it.
    void countAnswer(const RequestTraits &traits, Instant begun, Instant now);
    // Nothing is blocked or watched for these traits any more.
    void clear(const RequestTraits &traits);
    void watch(const RequestTraits &traits, Instant now);
    // Notifies all hosts of what the tracker blocks from now on, and of what no longer.
    void applyTracker(Instant now);
    // Blocks them at this host and at all that follow it.
    void block(const RequestTraits &traits, Trials trials, Instant now);
    void unblock(const RequestTraits &traits);
    void notifyFollowers(const peer::Message &message) const;

    CrashTracker tracker;
    RequestBlocks inForce;
    std::map<RequestTraits, Trials> ownBlocks; // of the tracker, as last notified
    std::map<RequestTrait, Instant> watchesSent; // to the followers, and when; bounded like the watched traits
    std::deque<SuspectedRun> ownCrashes; // the last ones that this host has reported, for the next leader
    std::uint64_t changes = 0;
    Send uplink;
    Send followers;
    std::function<void()> onBlocked;
    std::function<void(std::uint64_t)> onCounted;
};

} // namespace fescuesill
