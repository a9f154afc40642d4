// What an endpoint runs is known to the hosts that sent it, so each host reports its own requests, and one host counts
// the crashes of all: a request comes to any host, and most hosts see one crash or none.
//
// What is blocked is sent on the links that carry placements, before them, so a host that is offered a place after a
// crash knows what that crash has shown. A host that loses the leader keeps what is blocked, and reports its crashes to
// the next one.

#include "programs/gateway/crashexchange.h"

#include "wire/log.h"

#include <algorithm>
#include <fmt/format.h>
#include <limits>

namespace fescuesill
{
namespace
{

// A part of a prompt crashes an engine as that begins to write on it. Generations that were written for longer are not
// suspected for their parts, or each crash would suspect most of what is sent.
constexpr Duration beginning{1s};
constexpr std::size_t maxOwnCrashes = 256;
constexpr Duration crashesCountFor = CrashTracker::Options{}.memory;
constexpr Duration blockDuration = crashesCountFor;
constexpr Duration watchInterval{10s};
constexpr Duration longestCrashAge{1h}; // far more than crashes count for
constexpr auto maxIncarnation = static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
constexpr std::size_t maxKnownTraits = 600; // with a run each, they fill 60 KiB of base64 at most

std::vector<std::uint64_t> numbersOf(const RequestTraits &traits)
{
    std::vector<std::uint64_t> numbers;
    numbers.reserve(traits.size());
    for (const RequestTrait &trait : traits) {
        numbers.push_back(trait.value());
    }
    return numbers;
}

RequestTraits traitsOf(const std::vector<std::uint64_t> &numbers)
{
    RequestTraits traits;
    traits.reserve(numbers.size());
    for (const std::uint64_t number : numbers) {
        traits.emplace_back(number);
    }
    return traits;
}

peer::RequestsBlocked messageOf(const RequestBlock &block)
{
    return {numbersOf(block.traits), block.left, block.untilTrial, block.trialInterval};
}

// `number`: of the report, if a reply is wanted.
peer::EndpointCrashed messageOf(const SuspectedRun &crash, Instant now, std::uint64_t number = 0)
{
    const CrashedRun &run = crash.run;
    return {run.endpoint.endpoint,   static_cast<std::uint64_t>(run.endpoint.incarnation),
            numbersOf(crash.traits), now - run.begun,
            now - run.ended,         number};
}

Trials trialsOf(const RequestTraits &blocked, bool isProven)
{
    if (isProven) {
        return Trials::None;
    }
    return blocked.front().isWholeRequest() ? Trials::Seldom : Trials::Made;
}

// Empty, with a line of log, for numbers that no crash has: rows of the store may be written by others.
std::optional<SuspectedRun> crashOf(const peer::EndpointCrashed &message, Instant now)
{
    const bool isValid = message.sinceEnd >= Duration(0) && message.sinceEnd <= message.sinceBegin
        && message.sinceBegin <= longestCrashAge && message.incarnation <= maxIncarnation;
    if (!isValid) {
        Log::warning("crash_skipped", {{"endpoint", message.endpoint.value()}, {"reason", "a number is out of range"}});
        return std::nullopt;
    }
    const EndpointStart endpoint{message.endpoint, static_cast<std::int64_t>(message.incarnation)};
    return SuspectedRun{{endpoint, now - message.sinceBegin, now - message.sinceEnd}, traitsOf(message.traits)};
}

void logBlocked(const RequestTraits &traits, Duration duration)
{
    Log::warning("requests_blocked", {{"traits", textOf(traits)}, {"for_ms", duration.count() / 1000}});
}

RequestTraits onlyIn(const RequestTraits &traits, const RequestTraits &others)
{
    RequestTraits found;
    std::copy_if(traits.begin(), traits.end(), std::back_inserter(found), [&others](const RequestTrait &trait) {
        return std::find(others.begin(), others.end(), trait) == others.end();
    });
    return found;
}

} // namespace

RequestTraits withRead(RequestTraits traits)
{
    const std::size_t count = traits.size();
    for (std::size_t index = 0; index < count; ++index) {
        traits.push_back(traits[index].whenRead());
    }
    return traits;
}

RequestTraits suspectedTraits(RequestTraits traits, std::optional<Duration> written, bool isReading)
{
    if (written && *written > beginning) {
        const auto isPart = [](const RequestTrait &trait) {
            return !trait.isWholeRequest();
        };
        traits.erase(std::remove_if(traits.begin(), traits.end(), isPart), traits.end());
    }
    return isReading ? withRead(std::move(traits)) : traits;
}

std::string textOf(const RequestTraits &traits)
{
    std::string text;
    for (const RequestTrait &trait : traits) {
        text += fmt::format("{}{:016x}", text.empty() ? "" : ",", trait.value());
    }
    return text;
}

CrashExchange::CrashExchange()
    : tracker(CrashTracker::Options{})
    , inForce(RequestBlocks::Options{})
{
}

std::optional<Duration> CrashExchange::blockedFor(const RequestTraits &traits, Instant now) const
{
    return this->inForce.isEmpty() ? std::nullopt : this->inForce.blockedFor(withRead(traits), now);
}

bool CrashExchange::takeTrial(const RequestTraits &traits, Instant now)
{
    const RequestTraits all = withRead(traits);
    if (this->uplink || !this->inForce.takeTrial(all, now)) {
        return false;
    }
    for (const RequestBlock &block : this->inForce.matching(all, now)) {
        this->notifyFollowers(messageOf(block)); // the next leader makes no further trial before it is due
    }
    Log::info("blocked_request_tried", {{"traits", textOf(traits)}});
    return true;
}

void CrashExchange::returnTrial(const RequestTraits &traits, Instant now)
{
    this->inForce.returnTrial(withRead(traits), now);
}

// The host that counts notifies this one of what it blocks before it replies.
void CrashExchange::report(const SuspectedRun &crash, Instant now, std::uint64_t number)
{
    this->ownCrashes.push_back(crash);
    if (this->ownCrashes.size() > maxOwnCrashes) {
        this->ownCrashes.pop_front();
    }
    this->send(crash, now, number);
}

void CrashExchange::send(const SuspectedRun &crash, Instant now, std::uint64_t number)
{
    if (!this->uplink) {
        this->count(crash, now);
        return;
    }
    this->uplink(messageOf(crash, now, number));
}

void CrashExchange::onServed(const RequestTraits &traits, Instant begun, bool wasRead, Instant now)
{
    const RequestTraits served = this->inForce.watchedOf(wasRead ? withRead(traits) : traits, begun);
    if (served.empty()) {
        return;
    }
    if (this->uplink) {
        this->uplink(peer::TraitsServed{numbersOf(served)});
    } else {
        this->countAnswer(served, begun, now);
    }
}

void CrashExchange::count(const SuspectedRun &crash, Instant now)
{
    this->tracker.onCrash(crash.run, crash.traits);
    ++this->changes;
    Log::info("crash_counted",
              {{"endpoint", crash.run.endpoint.endpoint.value()},
               {"incarnation", crash.run.endpoint.incarnation},
               {"under_request", this->tracker.crashesUnder(crash.traits)},
               {"runs", static_cast<std::uint64_t>(this->tracker.size())}});
    this->watch(this->tracker.watchedOf(crash.traits), now);
    this->applyTracker(now);
}

void CrashExchange::applyTracker(Instant now)
{
    std::map<RequestTraits, Trials> found;
    for (const RequestTraits &traits : this->tracker.blocked()) {
        const Trials trials = trialsOf(traits, this->tracker.isProven(traits));
        const auto known = this->ownBlocks.find(traits);
        if (known == this->ownBlocks.end() || known->second != trials) {
            this->block(traits, trials, now);
        }
        found.emplace(traits, trials);
    }
    for (const auto &[traits, trials] : this->ownBlocks) {
        if (found.count(traits) == 0) { // further crashes or answers have shown that it is something else
            this->notifyFollowers(peer::RequestsBlocked{numbersOf(traits), Duration(0)});
            this->unblock(traits);
        }
    }
    this->ownBlocks = std::move(found);
}

// Once in a while for each trait: several hosts report one crash, and hosts keep a watch for as long as crashes count.
void CrashExchange::watch(const RequestTraits &traits, Instant now)
{
    RequestTraits due;
    for (const RequestTrait &trait : traits) {
        const auto [sent, isNew] = this->watchesSent.try_emplace(trait, now);
        if (isNew || now - sent->second > watchInterval) {
            sent->second = now;
            due.push_back(trait);
        }
    }
    if (!due.empty()) {
        this->inForce.watch(due, now);
        this->notifyFollowers(peer::TraitsWatched{numbersOf(due)});
    }
}

void CrashExchange::block(const RequestTraits &traits, Trials trials, Instant now)
{
    const bool isNew = this->inForce.block(traits, blockDuration, trials, now);
    for (const RequestBlock &block : this->inForce.all(now)) {
        if (block.traits == traits) {
            this->notifyFollowers(messageOf(block));
        }
    }
    if (isNew) {
        logBlocked(traits, blockDuration);
        this->onBlocked();
    }
}

void CrashExchange::unblock(const RequestTraits &traits)
{
    if (this->inForce.unblock(traits)) {
        Log::warning("requests_unblocked", {{"traits", textOf(traits)}});
    }
}

void CrashExchange::notifyFollowers(const peer::Message &message) const
{
    if (this->followers) {
        this->followers(message);
    }
}

void CrashExchange::setBlockedHandler(std::function<void()> handler)
{
    this->onBlocked = std::move(handler);
}

void CrashExchange::setUplink(Send send, Instant now)
{
    this->uplink = std::move(send);
    if (this->uplink) {
        this->tracker = CrashTracker(CrashTracker::Options{}); // another host counts
        this->ownBlocks.clear();
    }
    for (const SuspectedRun &crash : this->ownCrashes) {
        this->send(crash, now, 0);
    }
    if (!this->uplink) {
        this->applyTracker(now); // what the leader has told its deputy
    }
}

void CrashExchange::setCountedHandler(std::function<void(std::uint64_t)> handler)
{
    this->onCounted = std::move(handler);
}

void CrashExchange::setFollowers(Send send)
{
    this->followers = std::move(send);
}

void CrashExchange::sendTo(const Send &reply, Instant now) const
{
    for (const RequestBlock &block : this->inForce.all(now)) {
        reply(messageOf(block));
    }
    const RequestTraits watched = this->inForce.watching(now);
    if (!watched.empty()) {
        reply(peer::TraitsWatched{numbersOf(watched)});
    }
}

void CrashExchange::onTick(Instant now)
{
    while (!this->ownCrashes.empty() && now - this->ownCrashes.front().run.ended > crashesCountFor) {
        this->ownCrashes.pop_front();
    }
    const std::size_t before = this->tracker.size();
    this->tracker.expire(now);
    this->changes += this->tracker.size() < before ? 1 : 0;
    this->inForce.expire(now);
    for (auto sent = this->watchesSent.begin(); sent != this->watchesSent.end();) {
        sent = now - sent->second > crashesCountFor ? this->watchesSent.erase(sent) : std::next(sent);
    }
}

void CrashExchange::onReported(const Send &reply, const peer::EndpointCrashed &message, Instant now)
{
    if (const auto crash = crashOf(message, now)) {
        this->count(*crash, now);
    }
    if (message.number != 0) {
        reply(peer::CrashCounted{message.number});
    }
}

void CrashExchange::onMessage(const peer::CrashCounted &message)
{
    this->onCounted(message.number);
}

// From a follower: an answer. From the host that counts: what answers have cleared.
void CrashExchange::onMessage(const peer::TraitsServed &message, Instant now)
{
    if (this->uplink) {
        this->tracker.forget(traitsOf(message.traits));
        this->clear(traitsOf(message.traits));
    } else {
        this->countAnswer(traitsOf(message.traits), Instant::min(), now);
    }
}

void CrashExchange::countAnswer(const RequestTraits &traits, Instant begun, Instant now)
{
    const RequestTraits cleared = this->tracker.onServed(traits, begun);
    if (!cleared.empty()) {
        ++this->changes;
        this->clear(cleared);
        this->notifyFollowers(peer::TraitsServed{numbersOf(cleared)});
    }
    this->applyTracker(now);
}

void CrashExchange::clear(const RequestTraits &traits)
{
    for (const RequestTrait &trait : traits) {
        this->watchesSent.erase(trait);
    }
    for (const RequestTraits &ended : this->inForce.onServed(traits)) {
        Log::warning("requests_unblocked", {{"traits", textOf(ended)}});
    }
    for (SuspectedRun &crash : this->ownCrashes) {
        crash.traits = onlyIn(crash.traits, traits);
    }
}

peer::CrashesKnown CrashExchange::known(Instant now) const
{
    peer::CrashesKnown message;
    for (const SuspectedRun &suspect : this->tracker.known(maxKnownTraits)) {
        message.crashes.push_back(messageOf(suspect, now));
    }
    return message;
}

void CrashExchange::onMessage(const peer::CrashesKnown &message, Instant now)
{
    if (this->uplink) {
        this->tracker = CrashTracker(CrashTracker::Options{}); // the leader tells its deputy all that it knows
    }
    for (const peer::EndpointCrashed &crash : message.crashes) {
        if (const auto taken = crashOf(crash, now)) {
            this->tracker.onCrash(taken->run, taken->traits);
        }
    }
    ++this->changes;
    if (this->uplink) {
        return;
    }
    for (const peer::EndpointCrashed &crash : message.crashes) {
        this->watch(this->tracker.watchedOf(traitsOf(crash.traits)), now);
    }
    this->applyTracker(now);
    Log::info("crashes_taken_over",
              {{"runs", static_cast<std::uint64_t>(message.crashes.size())},
               {"blocked", static_cast<std::uint64_t>(this->ownBlocks.size())}});
}

void CrashExchange::onMessage(const peer::RequestsBlocked &message, Instant now)
{
    const RequestTraits traits = traitsOf(message.traits);
    if (message.duration == Duration(0)) {
        this->unblock(traits);
        return;
    }
    const RequestBlock block{traits, message.duration, message.untilTrial, message.trialInterval};
    if (this->inForce.adopt(block, now)) {
        logBlocked(traits, message.duration);
        this->onBlocked();
    }
}

void CrashExchange::onMessage(const peer::TraitsWatched &message, Instant now)
{
    this->inForce.watch(traitsOf(message.traits), now);
}

} // namespace fescuesill
