// An answer that breaks off has many causes. Only an endpoint that has ended counts, which shows at once: its port
// refuses connections, from other hosts as well. One that is back before it is looked at is found in the registry.
//
// A process that ends may close its port later than its connections. The registry shows that only some seconds after,
// in which its requests may end one endpoint after the other. So a port that still accepts connections after a broken
// answer is looked at again for a while.
//
// The kernel closes the connections of a process that ends in order. So an answer that ends with its connection is
// whole only if its endpoint is seen to live on: one that leaves, is no longer listed or can't be reached may have
// ended too. Of a plain endpoint only its port shows that; StreamEnds asks engines themselves.

#include "programs/gateway/crashguard.h"

#include "platform/calldialect.h"
#include "wire/clock.h"
#include "wire/coroutine.h"
#include "wire/log.h"

#include <algorithm>

namespace fescuesill
{
namespace
{

constexpr Duration probeLimit{1s}; // where nobody waits for the result
constexpr Duration replyLimit{100ms}; // a leader that takes longer has no processor time
// When the endpoint of a call whose caller has left is looked at. Later, an endpoint that has ended may be back.
constexpr Duration abandonedCheckDelay{500ms};
constexpr std::size_t maxAbandoned = 64; // calls to one endpoint
// Until a port is first looked at again; each further pause is half as long again.
constexpr Duration firstPortPause{20ms};
constexpr int portLooks = 10; // within 2.3 s

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

CrashGuard::CrashGuard(asio::io_context &context, HttpClient &httpClient, const EndpointPaths &endpointPaths,
                       CrashExchange &crashExchange, DoubtfulCrashes::Lookup endpointLookup)
    : io(context)
    , client(httpClient)
    , paths(endpointPaths)
    , exchange(crashExchange)
    , lookup(endpointLookup)
    , doubtful(std::move(endpointLookup))
{
    this->exchange.setCountedHandler([this](std::uint64_t number) { this->onCounted(number); });
}

std::optional<Duration> CrashGuard::blockedFor(const HttpCall &call) const
{
    return this->exchange.isEmpty() ? std::nullopt : this->exchange.blockedFor(readTraits(call), steadyNow());
}

bool CrashGuard::takeTrial(const HttpCall &call)
{
    return this->exchange.takeTrial(readTraits(call), steadyNow());
}

void CrashGuard::returnTrial(const HttpCall &call)
{
    this->exchange.returnTrial(readTraits(call), steadyNow());
}

void CrashGuard::onServed(const HttpCall &call, Instant begun, bool wasRead)
{
    if (!this->exchange.isEmpty()) {
        this->exchange.onServed(readTraits(call), begun, wasRead, steadyNow());
    }
}

CrashGuard::Crash CrashGuard::suspectedBy(const BrokenAnswer &answer)
{
    const EndpointStart endpoint{answer.endpoint.id, answer.endpoint.incarnation};
    const auto written = answer.firstEvent ? std::optional<Duration>(answer.ended - *answer.firstEvent) : std::nullopt;
    return {{endpoint, answer.sent, answer.ended}, suspectedTraits(readTraits(answer.call), written, answer.isReading)};
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
        this->doubtful.add(address, suspected);
        if (found == Liveness::Running) {
            this->watchPort(suspected.run.endpoint, address);
        }
        return false;
    }
    this->reportAndWait(suspected, limit, yield);
    return true;
}

void CrashGuard::watchPort(const EndpointStart &endpoint, const std::string &address)
{
    if (!this->watched.insert(endpoint).second) {
        return;
    }
    startCoroutine(this->io, [this, endpoint, address](const asio::yield_context &yield) {
        const bool hasEnded = this->closesPort(address, yield);
        this->watched.erase(endpoint);
        const std::vector<Crash> crashes = hasEnded ? this->doubtful.takeOf(endpoint) : std::vector<Crash>();
        for (const Crash &crash : crashes) {
            this->exchange.report(crash, steadyNow());
        }
        Log::info("endpoint_port_watched",
                  {{"endpoint", endpoint.endpoint.value()},
                   {"incarnation", endpoint.incarnation},
                   {"closed", hasEnded},
                   {"calls", static_cast<std::uint64_t>(crashes.size())}});
    });
}

bool CrashGuard::closesPort(const std::string &address, const asio::yield_context &yield)
{
    Duration pause = firstPortPause;
    for (int look = 0; look < portLooks; ++look, pause += pause / 2) {
        asio::steady_timer timer(this->io, pause);
        boost::system::error_code ignored;
        timer.async_wait(yield[ignored]);
        if (this->client.probe(address, probeLimit, yield) == Liveness::Ended) {
            return true;
        }
    }
    return false;
}

bool CrashGuard::hasOutlived(const BrokenAnswer &answer, bool isStaying, Duration limit,
                             const asio::yield_context &yield)
{
    const Instant until = steadyNow() + limit;
    const Liveness found = this->client.probe(answer.endpoint.address, limit, yield);
    if (found == Liveness::Running && this->isSameStart(answer.endpoint)) {
        return true;
    }
    this->onEndedWithAnswer(answer, found, isStaying, until - steadyNow(), yield);
    return false;
}

void CrashGuard::onEndedWithAnswer(const BrokenAnswer &answer, Liveness found, bool isStaying, Duration limit,
                                   const asio::yield_context &yield)
{
    const Crash crash = suspectedBy(answer);
    Log::info("endpoint_ended_with_answer",
              {{"endpoint", answer.endpoint.id.value()},
               {"liveness", nameOf(found)},
               {"stays", isStaying},
               {"traits", textOf(crash.traits)}});
    if (isStaying && found == Liveness::Unknown) {
        this->doubtful.add(answer.endpoint.address, crash);
    } else if (isStaying) {
        this->reportAndWait(crash, limit, yield);
    }
}

// One that is back before it is looked at has written its row by then.
bool CrashGuard::isSameStart(const EndpointRecord &endpoint) const
{
    const auto listed = this->lookup(endpoint.address);
    return std::none_of(listed.begin(), listed.end(), [&endpoint](const EndpointRecord &other) {
        return other.id == endpoint.id && other.incarnation != endpoint.incarnation;
    });
}

void CrashGuard::onSilent(const BrokenAnswer &answer)
{
    this->doubtful.add(answer.endpoint.address, suspectedBy(answer));
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
            this->doubtful.add(address, crash);
        }
        return;
    }
    Log::info("endpoint_ended_after_callers_left",
              {{"endpoint", endpoint.endpoint.value()}, {"calls", static_cast<std::uint64_t>(suspects.size())}});
    for (const Crash &crash : suspects) {
        this->exchange.report(crash, steadyNow());
    }
}

void CrashGuard::onTick(Instant now)
{
    for (const Crash &crash : this->doubtful.takeConfirmed(now)) {
        const CrashedRun &run = crash.run;
        Log::info("endpoint_found_ended",
                  {{"endpoint", run.endpoint.endpoint.value()},
                   {"incarnation", run.endpoint.incarnation},
                   {"traits", textOf(crash.traits)}});
        this->exchange.report(crash, now);
    }
    this->exchange.onTick(now);
}

void CrashGuard::onCounted(std::uint64_t number)
{
    const auto found = this->unanswered.find(number);
    if (found != this->unanswered.end()) {
        found->second->cancel();
    }
}

void CrashGuard::reportAndWait(const Crash &crash, Duration limit, const asio::yield_context &yield)
{
    if (!this->exchange.hasUplink()) {
        this->exchange.report(crash, steadyNow());
        return;
    }
    const std::uint64_t number = ++this->lastNumber;
    const auto timer = std::make_shared<asio::steady_timer>(this->io, std::min(limit, replyLimit));
    this->unanswered[number] = timer;
    this->exchange.report(crash, steadyNow(), number);
    boost::system::error_code ignored;
    timer->async_wait(yield[ignored]);
    this->unanswered.erase(number);
}

} // namespace fescuesill
