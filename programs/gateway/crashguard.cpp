// An answer that breaks off has many causes. Only an endpoint that has ended counts, which shows at once: its port
// refuses connections, from other hosts as well. What an endpoint runs is known to the hosts that sent it, so each host
// reports its own requests, and one host counts the crashes of all: a request comes to any host, and most hosts see one
// crash or none.
//
// What is blocked is sent on the links that carry placements, before them, so a host that is offered a place after a
// crash knows what that crash has shown. A host that loses the leader keeps what is blocked, and reports its crashes to
// the next one.

#include "programs/gateway/crashguard.h"

#include "platform/calldialect.h"
#include "wire/clock.h"
#include "wire/coroutine.h"
#include "wire/log.h"

#include <algorithm>
#include <fmt/format.h>

namespace fescuesill
{
namespace
{

// A part of a prompt crashes an engine as that begins to write on it. Generations that were written for longer are not
// suspected for their parts, or each crash would suspect most of what is sent.
constexpr Duration beginning{1s};
constexpr Duration probeLimit{1s}; // where nobody waits for the result
constexpr Duration replyLimit{100ms}; // a leader that takes longer has no processor time
// When the endpoint of a call whose caller has left is looked at. Later, an endpoint that has ended may be back.
constexpr Duration abandonedCheckDelay{500ms};
constexpr std::size_t maxAbandoned = 64; // calls to one endpoint
constexpr std::size_t maxOwnCrashes = 256;
// How long after a broken answer the registry may show that the endpoint has started again. Later, another cause is as
// likely.
constexpr Duration registryDelay{5s};
constexpr std::size_t maxDoubtful = 256;
constexpr Duration crashesCountFor = CrashTracker::Options{}.memory;
constexpr Duration blockDuration = crashesCountFor;
constexpr Duration watchInterval{10s};
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

std::string textOf(const RequestTraits &traits)
{
    std::string text;
    for (const RequestTrait &trait : traits) {
        text += fmt::format("{}{:016x}", text.empty() ? "" : ",", trait.value());
    }
    return text;
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

SuspectedRun crashOf(const peer::EndpointCrashed &message, Instant now)
{
    const EndpointStart endpoint{message.endpoint, static_cast<std::int64_t>(message.incarnation)};
    return {{endpoint, now - message.sinceBegin, now - message.sinceEnd}, traitsOf(message.traits)};
}

void logBlocked(const RequestTraits &traits, Duration duration)
{
    Log::warning("requests_blocked", {{"traits", textOf(traits)}, {"for_ms", duration.count() / 1000}});
}

RequestTraits withRead(RequestTraits traits)
{
    const std::size_t count = traits.size();
    for (std::size_t index = 0; index < count; ++index) {
        traits.push_back(traits[index].whenRead());
    }
    return traits;
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

bool mayHaveEnded(const HttpError &error)
{
    const HttpFault fault = error.fault();
    return !error.isKnownNotSent()
        && (fault == HttpFault::Closed || fault == HttpFault::Malformed || fault == HttpFault::TooLarge);
}

bool wasSilent(const HttpError &error)
{
    return !error.isKnownNotSent() && error.fault() == HttpFault::Timeout;
}

CrashGuard::CrashGuard(asio::io_context &context, HttpClient &httpClient, const EndpointPaths &endpointPaths)
    : io(context)
    , client(httpClient)
    , paths(endpointPaths)
    , tracker(CrashTracker::Options{})
    , inForce(RequestBlocks::Options{})
{
}

std::optional<Duration> CrashGuard::blockedFor(const HttpCall &call) const
{
    return this->inForce.isEmpty() ? std::nullopt : this->inForce.blockedFor(withRead(readTraits(call)), steadyNow());
}

bool CrashGuard::takeTrial(const HttpCall &call)
{
    const Instant now = steadyNow();
    const RequestTraits traits = readTraits(call);
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

void CrashGuard::returnTrial(const HttpCall &call)
{
    this->inForce.returnTrial(withRead(readTraits(call)), steadyNow());
}

CrashGuard::Crash CrashGuard::suspectedBy(const BrokenAnswer &answer)
{
    const Instant now = steadyNow();
    const EndpointStart endpoint{answer.endpoint.id, answer.endpoint.incarnation};
    Crash crash{{endpoint, answer.sent, now}, readTraits(answer.call)};
    if (answer.firstEvent && now - *answer.firstEvent > beginning) {
        auto &traits = crash.traits;
        const auto isPart = [](const RequestTrait &trait) {
            return !trait.isWholeRequest();
        };
        traits.erase(std::remove_if(traits.begin(), traits.end(), isPart), traits.end());
    }
    if (answer.isReading) {
        crash.traits = withRead(std::move(crash.traits));
    }
    return crash;
}

bool CrashGuard::onBrokenOff(const BrokenAnswer &answer, Duration limit, const asio::yield_context &yield)
{
    return this->confirm(answer.endpoint.address, suspectedBy(answer), limit, yield);
}

void CrashGuard::onBrokenOff(const BrokenAnswer &answer)
{
    startCoroutine(this->io,
                   [this, address = answer.endpoint.address, suspected = suspectedBy(answer)](
                       const asio::yield_context &yield) { this->confirm(address, suspected, probeLimit, yield); });
}

bool CrashGuard::confirm(const std::string &address, const Crash &suspected, Duration limit,
                         const asio::yield_context &yield)
{
    const Liveness found = this->client.probe(address, limit, yield);
    Log::info("answer_broken_off",
              {{"endpoint", suspected.run.endpoint.endpoint.value()},
               {"incarnation", suspected.run.endpoint.incarnation},
               {"liveness", nameOf(found)},
               {"ran_ms", (suspected.run.ended - suspected.run.begun).count() / 1000},
               {"traits", textOf(suspected.traits)}});
    if (found != Liveness::Ended) {
        this->onDoubtful(address, suspected);
        return false;
    }
    this->onConfirmed(suspected);
    this->reportAndWait(suspected, limit, yield);
    return true;
}

bool CrashGuard::hasEndedWith(const BrokenAnswer &answer, Duration limit, const asio::yield_context &yield)
{
    if (this->client.probe(answer.endpoint.address, limit, yield) != Liveness::Ended) {
        return false;
    }
    const Crash crash = suspectedBy(answer);
    Log::info("endpoint_ended_with_answer",
              {{"endpoint", answer.endpoint.id.value()}, {"traits", textOf(crash.traits)}});
    this->onConfirmed(crash);
    this->reportAndWait(crash, limit, yield);
    return true;
}

void CrashGuard::onSilent(const BrokenAnswer &answer)
{
    this->onDoubtful(answer.endpoint.address, suspectedBy(answer));
}

void CrashGuard::onAbandoned(const BrokenAnswer &answer)
{
    const Crash suspected = suspectedBy(answer);
    const EndpointStart endpoint = suspected.run.endpoint;
    std::vector<Crash> &suspects = this->abandoned[endpoint];
    if (suspects.size() < maxAbandoned) {
        suspects.push_back(suspected);
    }
    if (suspects.size() == 1) {
        startCoroutine(this->io, [this, endpoint, address = answer.endpoint.address](const asio::yield_context &yield) {
            this->checkAbandoned(endpoint, address, yield);
        });
    }
}

void CrashGuard::checkAbandoned(const EndpointStart &endpoint, const std::string &address,
                                const asio::yield_context &yield)
{
    asio::steady_timer timer(this->io, abandonedCheckDelay);
    boost::system::error_code ignored;
    timer.async_wait(yield[ignored]);
    const std::vector<Crash> suspects = std::move(this->abandoned[endpoint]);
    this->abandoned.erase(endpoint);
    // While this host uses tunnels, they are needed for calls.
    if (this->paths.isCutOff() || this->paths.usesTunnel(address)
        || this->client.probe(address, probeLimit, yield) != Liveness::Ended) {
        for (const Crash &crash : suspects) {
            this->onDoubtful(address, crash);
        }
        return;
    }
    Log::info("endpoint_ended_after_callers_left",
              {{"endpoint", endpoint.endpoint.value()}, {"calls", static_cast<std::uint64_t>(suspects.size())}});
    for (const Crash &crash : suspects) {
        this->onConfirmed(crash);
        this->report(crash);
    }
}

void CrashGuard::onConfirmed(const Crash &crash)
{
    this->ownCrashes.push_back(crash);
    if (this->ownCrashes.size() > maxOwnCrashes) {
        this->ownCrashes.pop_front();
    }
}

void CrashGuard::onDoubtful(const std::string &address, const Crash &crash)
{
    this->doubtful.push_back({address, crash});
    if (this->doubtful.size() > maxDoubtful) {
        this->doubtful.pop_front();
    }
}

// Of one start of an endpoint, the registry lists at most one later one under its id, or another endpoint at its
// address.
bool CrashGuard::isReplaced(const Doubtful &suspect) const
{
    const EndpointStart &ran = suspect.crash.run.endpoint;
    const auto records = this->registered(suspect.address);
    const auto isLater = [&ran](const EndpointRecord &record) {
        return record.id != ran.endpoint || record.incarnation > ran.incarnation;
    };
    return !records.empty() && std::all_of(records.begin(), records.end(), isLater);
}

void CrashGuard::checkDoubtful(Instant now)
{
    std::deque<Doubtful> left;
    for (const Doubtful &suspect : std::exchange(this->doubtful, {})) {
        if (this->isReplaced(suspect)) {
            const CrashedRun &run = suspect.crash.run;
            Log::info("endpoint_started_again",
                      {{"endpoint", run.endpoint.endpoint.value()},
                       {"incarnation", run.endpoint.incarnation},
                       {"traits", textOf(suspect.crash.traits)}});
            this->onConfirmed(suspect.crash);
            this->report(suspect.crash);
        } else if (now - suspect.crash.run.ended < registryDelay) {
            left.push_back(suspect);
        }
    }
    this->doubtful = std::move(left);
}

// The host that counts notifies this one of what it blocks before it replies.
void CrashGuard::reportAndWait(const Crash &crash, Duration limit, const asio::yield_context &yield)
{
    if (!this->uplink) {
        this->report(crash);
        return;
    }
    const std::uint64_t number = ++this->lastNumber;
    const auto timer = std::make_shared<asio::steady_timer>(this->io, std::min(limit, replyLimit));
    this->unanswered[number] = timer;
    this->report(crash, number);
    boost::system::error_code ignored;
    timer->async_wait(yield[ignored]);
    this->unanswered.erase(number);
}

void CrashGuard::report(const Crash &crash, std::uint64_t number)
{
    if (!this->uplink) {
        this->count(crash);
        return;
    }
    this->uplink(messageOf(crash, steadyNow(), number));
}

void CrashGuard::onServed(const HttpCall &call, Instant begun, bool wasRead)
{
    if (this->inForce.isEmpty()) {
        return;
    }
    const RequestTraits traits = readTraits(call);
    const RequestTraits served = this->inForce.watchedOf(wasRead ? withRead(traits) : traits, begun);
    if (served.empty()) {
        return;
    }
    const peer::TraitsServed message{numbersOf(served)};
    if (this->uplink) {
        this->uplink(message);
    } else {
        this->onMessage(message);
    }
}

void CrashGuard::count(const Crash &crash)
{
    this->tracker.onCrash(crash.run, crash.traits);
    ++this->changes;
    Log::info("crash_counted",
              {{"endpoint", crash.run.endpoint.endpoint.value()},
               {"incarnation", crash.run.endpoint.incarnation},
               {"under_request", this->tracker.crashesUnder(crash.traits)},
               {"runs", static_cast<std::uint64_t>(this->tracker.size())}});
    this->watch(this->tracker.watchedOf(crash.traits));
    this->applyTracker();
}

void CrashGuard::applyTracker()
{
    std::map<RequestTraits, Trials> found;
    for (const RequestTraits &traits : this->tracker.blocked()) {
        const Trials trials = this->tracker.isProven(traits) ? Trials::None : Trials::Made;
        const auto known = this->ownBlocks.find(traits);
        if (known == this->ownBlocks.end() || known->second != trials) {
            this->block(traits, trials);
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
void CrashGuard::watch(const RequestTraits &traits)
{
    const Instant now = steadyNow();
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

void CrashGuard::block(const RequestTraits &traits, Trials trials)
{
    const Instant now = steadyNow();
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

void CrashGuard::unblock(const RequestTraits &traits)
{
    if (this->inForce.unblock(traits)) {
        Log::warning("requests_unblocked", {{"traits", textOf(traits)}});
    }
}

void CrashGuard::notifyFollowers(const peer::Message &message) const
{
    if (this->followers) {
        this->followers(message);
    }
}

void CrashGuard::setRegistry(std::function<std::vector<EndpointRecord>(const std::string &)> lookup)
{
    this->registered = std::move(lookup);
}

void CrashGuard::setBlockedHandler(std::function<void()> handler)
{
    this->onBlocked = std::move(handler);
}

void CrashGuard::setUplink(Send send)
{
    this->uplink = std::move(send);
    if (this->uplink) {
        this->tracker = CrashTracker(CrashTracker::Options{}); // another host counts
        this->ownBlocks.clear();
    }
    for (const Crash &crash : this->ownCrashes) {
        this->report(crash);
    }
    if (!this->uplink) {
        this->applyTracker(); // what the leader has told its deputy
    }
}

void CrashGuard::setFollowers(Send send)
{
    this->followers = std::move(send);
}

void CrashGuard::sendTo(const Send &reply) const
{
    const Instant now = steadyNow();
    for (const RequestBlock &block : this->inForce.all(now)) {
        reply(messageOf(block));
    }
    const RequestTraits watched = this->inForce.watching(now);
    if (!watched.empty()) {
        reply(peer::TraitsWatched{numbersOf(watched)});
    }
}

void CrashGuard::onTick(Instant now)
{
    while (!this->ownCrashes.empty() && now - this->ownCrashes.front().run.ended > crashesCountFor) {
        this->ownCrashes.pop_front();
    }
    this->checkDoubtful(now);
    const std::size_t before = this->tracker.size();
    this->tracker.expire(now);
    this->changes += this->tracker.size() < before ? 1 : 0;
    this->inForce.expire(now);
    for (auto sent = this->watchesSent.begin(); sent != this->watchesSent.end();) {
        sent = now - sent->second > crashesCountFor ? this->watchesSent.erase(sent) : std::next(sent);
    }
}

void CrashGuard::onReported(const Send &reply, const peer::EndpointCrashed &message)
{
    this->count(crashOf(message, steadyNow()));
    if (message.number != 0) {
        reply(peer::CrashCounted{message.number});
    }
}

void CrashGuard::onMessage(const peer::CrashCounted &message)
{
    const auto found = this->unanswered.find(message.number);
    if (found != this->unanswered.end()) {
        found->second->cancel();
    }
}

// From a follower, and from the leader to its followers: each forgets what it knew of these traits.
void CrashGuard::onMessage(const peer::TraitsServed &message)
{
    const RequestTraits served = traitsOf(message.traits);
    this->tracker.onServed(served);
    ++this->changes;
    for (const RequestTrait &trait : served) {
        this->watchesSent.erase(trait);
    }
    for (const RequestTraits &traits : this->inForce.onServed(served)) {
        Log::warning("requests_unblocked", {{"traits", textOf(traits)}});
    }
    for (Crash &crash : this->ownCrashes) {
        crash.traits = onlyIn(crash.traits, served);
    }
    if (!this->uplink) {
        this->notifyFollowers(message);
        this->applyTracker();
    }
}

peer::CrashesKnown CrashGuard::known() const
{
    const Instant now = steadyNow();
    peer::CrashesKnown message;
    for (const SuspectedRun &suspect : this->tracker.known(maxKnownTraits)) {
        message.crashes.push_back(messageOf(suspect, now));
    }
    return message;
}

void CrashGuard::onMessage(const peer::CrashesKnown &message)
{
    const Instant now = steadyNow();
    if (this->uplink) {
        this->tracker = CrashTracker(CrashTracker::Options{}); // the leader tells its deputy all that it knows
    }
    for (const peer::EndpointCrashed &crash : message.crashes) {
        const Crash taken = crashOf(crash, now);
        this->tracker.onCrash(taken.run, taken.traits);
    }
    ++this->changes;
    if (this->uplink) {
        return;
    }
    for (const peer::EndpointCrashed &crash : message.crashes) {
        this->watch(this->tracker.watchedOf(traitsOf(crash.traits)));
    }
    this->applyTracker();
    Log::info("crashes_taken_over",
              {{"runs", static_cast<std::uint64_t>(message.crashes.size())},
               {"blocked", static_cast<std::uint64_t>(this->ownBlocks.size())}});
}

void CrashGuard::onMessage(const peer::RequestsBlocked &message)
{
    const RequestTraits traits = traitsOf(message.traits);
    if (message.duration == Duration(0)) {
        this->unblock(traits);
        return;
    }
    const RequestBlock block{traits, message.duration, message.untilTrial, message.trialInterval};
    if (this->inForce.adopt(block, steadyNow())) {
        logBlocked(traits, message.duration);
        this->onBlocked();
    }
}

void CrashGuard::onMessage(const peer::TraitsWatched &message)
{
    this->inForce.watch(traitsOf(message.traits), steadyNow());
}

} // namespace fescuesill
