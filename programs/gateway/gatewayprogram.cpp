// The process has one thread that forwards calls and one that watches the store, connected by a ring of updates.
// Callers, endpoints and all decisions share the forwarding thread, so no decision waits for a lock.

#include "programs/gateway/gatewayprogram.h"

#include "decide/connectionadmission.h"
#include "programs/gateway/generationforward.h"
#include "programs/gateway/leaderlink.h"
#include "programs/gateway/plainforward.h"
#include "programs/gateway/savedstate.h"
#include "programs/gateway/stageorders.h"
#include "promise/draining.h"
#include "wire/clock.h"
#include "wire/log.h"
#include "wire/tunnelserver.h"

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <list>
#include <random>

namespace fescuesill
{
namespace
{

// Rows of the store that may change between two turns of the forwarding thread.
constexpr std::size_t updateRingSize = 1024;
// For time-based work: the grace period of vanished endpoints, the graceful stop.
constexpr Duration tickInterval{100ms};
constexpr Duration retryAfterWithoutConfig{1s}; // a newly started host reads its configuration within this
// For a call with a key while the store can't be read, so that other hosts can't admit it either.
constexpr Duration retryAfterInOutage{1s};
constexpr std::size_t checkConnections = 32; // of the balancer, and of who reads the metrics
constexpr Bytes checkBodyLimit{4 << 10}; // their requests have no body
constexpr Bytes requestLineAllowance{4 << 10}; // for the request line, added to the limit on headers

HttpClient::Options clientOptions(const GatewaySettings &settings, const MemoryPlan &plan, EndpointPaths &paths,
                                  Traffic &traffic)
{
    HttpClient::Options options = HttpClient::Options::forEndpoints();
    options.connections =
        plan.connections * 2; // a call uses one connection to an endpoint at a time, and more for releases
    options.bufferedLimit = plan.replies;
    options.bodyLimit = std::min(options.bodyLimit, plan.replies);
    options.connectLimit = settings.connectLimit;
    options.idlePerAddress = 0;
    options.paths = &paths;
    options.traffic = &traffic;
    return options;
}

ConnectionAdmission::Options admissionOptions(const GatewaySettings &settings)
{
    ConnectionAdmission::Options options;
    options.linkBytesPerSecond = settings.linkBytesPerSecond;
    return options;
}

QuotaLedger::Options ledgerOptions(const GatewaySettings &settings)
{
    QuotaLedger::Options options;
    options.window = settings.quotaWindow;
    options.overshoot = settings.quotaOvershoot;
    options.slack = settings.quotaSlack;
    options.isFirstStart = settings.isFirstStart;
    return options;
}

SavedState::Options savedStateOptions(const GatewaySettings &settings)
{
    SavedState::Options options;
    options.address = settings.store;
    options.isFirstStart = settings.isFirstStart;
    return options;
}

class Gateway
{
public:
    explicit Gateway(const GatewaySettings &given)
        : settings(given)
        , plan(MemoryPlan::of(given.resources, given.connections))
        , seed(std::random_device()())
        , fleet(given.dataCentre, {given.retryShare, given.retriesSaved, given.retriesSaved}, given.contactLimit,
                this->seed)
        , credits(this->io, ledgerOptions(given))
        , gates(this->io, this->fleet, this->credits, given.isFirstStart, this->seed + 2)
        , permits(this->io, this->fleet.limits())
        , slots(this->io, this->fleet, given.sharedSlots)
        , notices(this->fleet, this->gates)
        , paths(EndpointPaths::Options{}, this->seed + 3)
        , admission(admissionOptions(given))
        , client(this->io, clientOptions(given, this->plan, this->paths, this->traffic))
        , crashes(this->io, this->client, this->paths, this->exchange,
                  [this](const std::string &address) { return this->fleet.endpointsAt(address); })
        , ends(this->io, this->client, this->fleet, this->permits, this->notices, this->crashes)
        , saved(this->io, savedStateOptions(given), this->gates, this->exchange)
        , losses(given.host, given.latestEvent)
        , services{this->settings, this->io,      this->fleet,   this->gates,   this->permits,
                   this->slots,    this->notices, this->credits, this->client,  this->crashes,
                   this->ends,     this->metrics, this->losses,  this->draining}
        , orders(this->services, [this](const peer::EngineChanging &change) { this->onChanging(change); })
        , draining(Draining::Options{given.announce, given.grace})
        , timer(this->io)
        , signals(this->io, SIGTERM, SIGINT)
        , updates(updateRingSize, [this] { asio::post(this->io, [this] { this->applyUpdates(); }); })
    {
        this->exchange.setBlockedHandler([this] { this->gates.wakeWaiting(); });
    }

    int run();

private:
    void serve(HttpCall &call, HttpReply &reply, const asio::yield_context &yield);
    void forward(HttpCall &call, HttpReply &reply, const asio::yield_context &yield);
    void answerReady(const HttpCall &call, HttpReply &reply, const asio::yield_context &yield);
    KeyTrust keyTrust() const;
    bool admitsKeys() const;
    void refuseKey(const ForwardedCall &call, const CallerIdentity &caller, const asio::yield_context &yield);
    template<typename Forward>
    void run(Forward forward, const ForwardedCall &call, const asio::yield_context &yield);
    void applyUpdates();
    void applyConfig();
    void onChanging(const peer::EngineChanging &change);
    void onTick();
    void armTick();
    bool openLinks();
    bool openTunnels();
    void checkEndpoints(Instant now);
    bool admitsConnection();
    void measureUse(Instant now);
    void endCalls(Instant now);

    const GatewaySettings &settings;
    MemoryPlan plan;
    std::uint64_t seed;
    std::list<std::function<void()>> graceOverHandlers; // of the calls in progress, whose coroutines end with `io`
    asio::io_context io{1};
    FleetView fleet;
    WorkspaceCredits credits;
    PlacementGates gates;
    EndpointPermits permits;
    EndpointSlots slots;
    EndpointNotices notices;
    EndpointPaths paths;
    Traffic traffic; // with callers and endpoints
    ConnectionAdmission admission;
    HttpClient client;
    CrashExchange exchange;
    CrashGuard crashes;
    StreamEnds ends;
    SavedState saved;
    EventLosses losses;
    GatewayMetrics metrics;
    GatewayServices services;
    StageOrders orders;
    Draining draining;
    asio::steady_timer timer;
    asio::signal_set signals;
    Ring<StoreUpdate> updates;
    std::unique_ptr<HttpServer> callers;
    std::unique_ptr<HttpServer> ready;
    std::unique_ptr<TunnelServer> tunnels; // null if the settings have no address for it
    std::unique_ptr<LeaderLink> links; // null if the settings have no address for them
    std::unique_ptr<StoreWatcher> store;
    ConfigVersion limitsVersion;
    int inProgress = 0;
};

void Gateway::applyUpdates()
{
    while (const auto update = this->updates.tryPop()) {
        if (const auto *leader = std::get_if<store_update::Leader>(&*update)) {
            this->links->onLeader(*leader);
        } else if (const auto *peerUpdate = std::get_if<store_update::PeerUpdate>(&*update)) {
            this->links->onUpdate(*peerUpdate);
        } else if (const auto *leaderUpdate = std::get_if<store_update::LeaderUpdate>(&*update)) {
            this->links->onUpdate(*leaderUpdate);
        } else if (const auto *reads = std::get_if<store_update::OwnReads>(&*update)) {
            this->links->onUpdate(*reads);
        } else if (const auto *check = std::get_if<store_update::RegistryChecked>(&*update)) {
            this->gates.onFleetChanged(); // by what the check found
            this->gates.onRegistryChecked(check->at);
        } else {
            this->fleet.apply(*update, steadyNow());
        }
    }
    this->fleet.setRegistryVersion(this->store->knownVersion(), steadyNow());
    this->applyConfig();
    this->gates.onFleetChanged();
    this->slots.onFleetChanged();
}

void Gateway::onChanging(const peer::EngineChanging &change)
{
    this->fleet.setChanging(EndpointId(change.engine.value()), steadyNow() + change.duration);
    this->gates.onFleetChanged();
    if (this->links) {
        this->links->onUpdate({change, std::nullopt});
    }
}

void Gateway::applyConfig()
{
    const auto &config = this->fleet.activeConfig();
    if (!config || config->version == this->limitsVersion || !this->callers) {
        return;
    }
    this->limitsVersion = config->version;
    this->credits.setWorkspaces(config->workspaces ? &*config->workspaces : nullptr);
    HttpServer::Options limits;
    limits.headerLimit = config->limits.header + requestLineAllowance;
    limits.bodyLimit = config->limits.body;
    if (const Bytes most(this->plan.requests.value() / 2); limits.bodyLimit > most) {
        Log::warning("body_limit_above_memory",
                     {{"limit", limits.bodyLimit.value()}, {"memory_for_two", most.value()}});
    }
    limits.headerLimitTime = config->limits.headerTime;
    limits.idleLimit = config->limits.idle;
    this->callers->setLimits(limits);
}

void Gateway::forward(HttpCall &call, HttpReply &reply, const asio::yield_context &yield)
{
    const Instant arrival = steadyNow();
    const CallHead head = readCallHead(call);
    const auto config = this->fleet.activeConfig(); // used for the whole call, even if a newer one arrives
    if (!this->fleet.isInitialised()) {
        sendRefusal(
            reply, head.id,
            {RefusalCode::NoConfiguration, RunState::NotRun, "no configuration read yet", retryAfterWithoutConfig},
            yield);
        return;
    }
    if (head.id.isEmpty()) {
        sendRefusal(reply, head.id, {RefusalCode::BadRequest, RunState::NotRun, "no request id", std::nullopt}, yield);
        return;
    }
    const Route *route = config->routes.find(head.host, head.path);
    if (route == nullptr) {
        sendRefusal(reply, head.id, {RefusalCode::UnknownService, RunState::NotRun, "no route", std::nullopt}, yield);
        return;
    }
    // A stream that is taken up goes to the service of a split that began it.
    const RequestId &first = head.lastEvent.empty() || head.resumes.isEmpty() ? head.id : head.resumes;
    ForwardedCall forwarded{this->services,  head,    call,
                            reply,           *route,  chooseService(*route, first),
                            config->version, nullptr, config->workspaces.has_value(),
                            arrival};
    reply.setDeadline(forwarded.deadline());
    const CallerIdentity caller = identify(*config, this->fleet.configAge(bootNow()), this->keyTrust(), *route,
                                           config->workspaces ? readKey(call) : PresentedKey());
    if (const auto *member = std::get_if<caller_identity::Member>(&caller)) {
        forwarded.workspace = member->workspace;
        this->metrics.onWorkspaceCall(member->workspace->id, "received");
    } else if (!std::holds_alternative<caller_identity::Anonymous>(caller)) {
        this->refuseKey(forwarded, caller, yield);
        return;
    }
    const auto blocked = forwarded.blockedFor();
    forwarded.isTrial = blocked && this->crashes.takeTrial(call);
    if (blocked && !forwarded.isTrial) {
        forwarded.refuseBlocked(*blocked, yield);
    } else if (route->kind == CallKind::Generation) {
        this->run(GenerationForward(forwarded), forwarded, yield);
    } else {
        this->run(PlainForward(forwarded), forwarded, yield);
    }
}

template<typename Forward>
void Gateway::run(Forward forward, const ForwardedCall &call, const asio::yield_context &yield)
{
    const auto onGraceOver =
        this->graceOverHandlers.insert(this->graceOverHandlers.end(), [&forward] { forward.onGraceOver(); });
    const auto end = [&] {
        this->graceOverHandlers.erase(onGraceOver);
        if (call.isTrial && !forward.hasSent()) {
            this->crashes.returnTrial(call.http);
        }
    };
    try {
        forward.run(yield);
    } catch (const std::exception &) { // the caller has gone
        end();
        throw;
    }
    end();
}

KeyTrust Gateway::keyTrust() const
{
    return {this->settings.keyLimit, this->settings.isRevocationStrict};
}

// Whether keys are admitted, which needs a configuration that was the newest a moment ago.
bool Gateway::admitsKeys() const
{
    const auto &config = this->fleet.activeConfig();
    const bool isLimited = config && config->workspaces && this->settings.isRevocationStrict;
    const auto age = this->fleet.configAge(bootNow());
    return !isLimited || (age && *age <= this->settings.keyLimit);
}

void Gateway::refuseKey(const ForwardedCall &call, const CallerIdentity &caller, const asio::yield_context &yield)
{
    if (std::holds_alternative<caller_identity::UnknownKey>(caller)) {
        call.refuse({RefusalCode::UnknownKey, RunState::NotRun, "no workspace holds this key", std::nullopt},
                    NoRetry::None, yield);
        return;
    }
    const Duration retryAfter = this->fleet.isRegistryCurrent() ? retryAfterWithoutPath : retryAfterInOutage;
    call.refuse({RefusalCode::NoConfiguration, RunState::NotRun, "the keys in force are not known now", retryAfter},
                NoRetry::None, yield);
}

void Gateway::serve(HttpCall &call, HttpReply &reply, const asio::yield_context &yield)
{
    if (!this->draining.isReady() || this->admission.rate()) {
        reply.closeAfterReply(); // the caller's next connection goes to a host that keeps running, or has room
    }
    // A generation takes seconds. One admitted late in the grace period would be cut off when the period ends.
    if (!this->draining.admits(steadyNow())) {
        sendRefusal(reply, readRequestId(call), stoppingRefusal(), yield);
        return;
    }
    ++this->inProgress;
    try {
        this->forward(call, reply, yield);
    } catch (...) {
        --this->inProgress;
        throw;
    }
    --this->inProgress;
}

void Gateway::answerReady(const HttpCall &call, HttpReply &reply, const asio::yield_context &yield)
{
    if (call.target == "/metrics") {
        const auto &config = this->fleet.activeConfig();
        this->metrics.set(
            {this->inProgress, this->gates.waiting(), this->gates.placed(), config ? config->version : ConfigVersion(),
             config && config->workspaces ? this->fleet.configAge(bootNow()) : std::nullopt, this->store->registryAge(),
             this->links && this->links->leads(), this->gates.isFollowing(), this->paths.isCutOff(),
             this->paths.counts(), this->admission.linkShare(), this->admission.leftUnread(), this->losses.isSeen(),
             this->exchange.blocks(), this->slots.counts(), this->callers->budget(),
             this->links ? this->links->replacedConnections() : 0, this->tunnels ? this->tunnels->replaced() : 0});
        reply.send(200, this->metrics.text(), yield, {{"Content-Type", "text/plain; version=0.0.4"}});
        return;
    }
    const bool isReady = this->fleet.isInitialised() && this->draining.isReady() && this->admitsKeys();
    reply.send(isReady ? 200 : 503, isReady ? R"({"ready":true})" : R"({"ready":false})", yield);
}

void Gateway::armTick()
{
    this->timer.expires_after(tickInterval);
    this->timer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            this->onTick();
        }
    });
}

void Gateway::onTick()
{
    const Instant now = steadyNow();
    this->measureUse(now);
    this->fleet.expire(now);
    this->crashes.onTick(now);
    this->losses.onTick(now);
    this->slots.onTick(now);
    if (this->links) {
        this->links->onTick(now);
    } else {
        this->saved.add(this->gates.takeNewStreams());
    }
    this->saved.onTick(now);
    if (this->settings.moveEngines) {
        this->orders.onTick(*this->store, now);
    }
    this->checkEndpoints(now);
    const int tunnelsOpen = this->tunnels ? static_cast<int>(this->tunnels->tunnels()) : 0;
    this->draining.onWork({this->inProgress + tunnelsOpen, 0, 0});
    if (!this->draining.admits(now)) {
        this->callers->closeIdle();
        this->endCalls(now);
    }
    if (this->draining.mayExit(now)) {
        this->io.stop();
        return;
    }
    this->armTick();
}

// Calls that wait are refused while their callers can still be served elsewhere. What has no answer when the grace
// period ends gets one, since the end of its connection would tell its caller nothing.
void Gateway::endCalls(Instant now)
{
    if (this->draining.sends(now, Instant::max())) {
        return;
    }
    this->gates.wakeWaiting();
    this->slots.endWaits([&](Instant usefulUntil) { return !this->draining.sends(now, usefulUntil); });
    if (this->draining.isOver(now)) {
        for (const auto &onGraceOver : this->graceOverHandlers) {
            onGraceOver();
        }
    }
}

bool Gateway::admitsConnection()
{
    return this->admission.admits(steadyNow());
}

void Gateway::measureUse(Instant now)
{
    const auto lateness = std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() - this->timer.expiry());
    const std::uint64_t failures = this->paths.counts().failed;
    const auto change = this->admission.onTick({this->traffic.received, this->traffic.sent, lateness, failures}, now);
    this->paths.setHostFull(this->admission.isFull() || this->admission.rate(), now);
    if (this->admission.mayAdmit(now)) {
        this->callers->listen();
    }
    if (change) {
        Log::info(*change ? "host_full" : "host_has_room",
                  {{"link_share", this->admission.linkShare()},
                   {"late_ms", lateness.count() / 1000},
                   {"unread", this->admission.leftUnread()}});
    }
}

void Gateway::checkEndpoints(Instant now)
{
    if (const auto endpoint = this->paths.dueCheck(now)) {
        startCoroutine(this->io, [this, address = *endpoint](const asio::yield_context &yield) {
            this->client.check(address, yield);
        });
    }
}

bool Gateway::openTunnels()
{
    if (this->settings.tunnels.empty()) {
        return true;
    }
    TunnelServer::Options options;
    options.address = this->settings.tunnels;
    options.tunnels = this->plan.tunnels;
    options.openings = this->plan.tunnels;
    options.connectLimit = this->settings.connectLimit;
    options.traffic = &this->traffic;
    options.isEndpoint = [this](const std::string &address) {
        return this->fleet.mayRelayTo(address);
    };
    options.onReply = [this](const std::string &address, const HttpResponse &head) {
        this->notices.onTunnelled(address, head);
    };
    options.accepts = [this] {
        return this->draining.isReady() && !this->paths.isCutOff();
    };
    auto opened = TunnelServer::create(this->io, options, this->paths);
    if (!opened) {
        Log::error("cannot_listen", {{"reason", opened.error().what()}});
        return false;
    }
    this->tunnels = std::move(*opened);
    return true;
}

bool Gateway::openLinks()
{
    if (this->settings.peers.empty()) {
        this->credits.setPart(true, 1, 1);
        this->slots.setDeciding(true);
        this->saved.setDeciding(true);
        return true;
    }
    LeaderLink::Options options;
    options.listen = this->settings.peers;
    options.links = this->plan.links;
    options.tunnels = this->settings.tunnels;
    auto opened = LeaderLink::create(this->io, options, this->gates, this->permits, this->slots, this->notices,
                                     this->credits, this->exchange, this->losses, this->paths);
    if (!opened) {
        Log::error("cannot_listen", {{"reason", opened.error().what()}});
        return false;
    }
    this->links = std::move(*opened);
    return true;
}

int Gateway::run()
{
    HttpServer::Options options;
    options.address = this->settings.callers;
    options.connections = this->plan.connections;
    options.requestMemory = this->plan.requests;
    options.sendBuffers = this->plan.sendBuffers;
    options.requestIdOf = readRequestId;
    options.admits = [this] {
        return this->admitsConnection();
    };
    options.traffic = &this->traffic;
    auto opened = HttpServer::create(this->io, options, [this](HttpCall &call, HttpReply &reply, const auto &yield) {
        this->serve(call, reply, yield);
    });
    HttpServer::Options readyOptions;
    readyOptions.address = this->settings.ready;
    readyOptions.connections = checkConnections;
    readyOptions.requestMemory = this->plan.checks;
    readyOptions.sendBuffers = this->plan.checks;
    readyOptions.bodyLimit = checkBodyLimit;
    auto openedReady =
        HttpServer::create(this->io, readyOptions, [this](HttpCall &call, HttpReply &reply, const auto &yield) {
            this->answerReady(call, reply, yield);
        });
    if (!opened || !openedReady) {
        Log::error("cannot_listen", {{"reason", (opened ? openedReady.error() : opened.error()).what()}});
        return 1;
    }
    this->callers = std::move(*opened);
    this->ready = std::move(*openedReady);
    if (!this->openTunnels() || !this->openLinks()) {
        return 1;
    }
    const LeaseRow self{this->settings.host, this->settings.peers, 0};
    StoreWatcher::Options storeOptions{this->settings.store, this->settings.contactLimit, self, this->settings.lease};
    storeOptions.isFirstStart = this->settings.isFirstStart;
    storeOptions.keyLimit = this->settings.isRevocationStrict ? this->settings.keyLimit : Duration(0);
    this->store = std::make_unique<StoreWatcher>(storeOptions, this->updates);
    this->gates.setRegistryCheck([this] { this->store->checkRegistry(); });
    if (this->links) {
        this->links->setStore(*this->store);
        this->links->setSavedState(this->saved);
    }
    this->signals.async_wait([this](const boost::system::error_code &error, int) {
        if (!error) {
            Log::info("stopping", {{"in_progress", this->inProgress}});
            this->draining.start(steadyNow());
            this->store->release();
            if (this->links) {
                this->links->onStopping();
            }
        }
    });
    this->armTick();
    Log::info("started",
              {{"host", this->settings.host.value()},
               {"data_centre", this->settings.dataCentre.value()},
               {"callers", this->settings.callers},
               {"version", FESCUESILL_VERSION}});
    this->io.run();
    this->store->stop();
    if (this->links) {
        this->links->stop();
    }
    Log::info("stopped", {{"in_progress", this->inProgress}});
    return 0;
}

} // namespace

int runGateway(const GatewaySettings &settings)
{
    Log::open("gateway", settings.logLevel, settings.host.value());
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGHUP, SIG_IGN); // settings are read only at the start; changes need a restart
    return Gateway(settings).run();
}

} // namespace fescuesill
