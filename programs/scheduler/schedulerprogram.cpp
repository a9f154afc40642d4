#include "programs/scheduler/schedulerprogram.h"

#include "programs/scheduler/decisionduty.h"
#include "programs/scheduler/engineduty.h"
#include "programs/scheduler/peerduty.h"
#include "programs/scheduler/platformduty.h"
#include "programs/scheduler/schedulerstatus.h"
#include "promise/draining.h"
#include "wire/adminserver.h"
#include "wire/clock.h"
#include "wire/log.h"
#include "wire/openports.h"

#include <csignal>
#include <thread>

// Duties and the rings between them:
//
//     platform ──▶ peers ◀──▶ other schedulers, entries
//                    │ ▲
//                    ▼ │ summaries, messages to entries
//                  decisions ◀──▶ engines
//
// The main thread waits for a signal and then sees the planned stop through: membership says that this host leaves, its
// cells go to others, and the process ends when no request is left here or the limit has passed. A request still placed
// here then loses nothing but its reservation: its entry holds it and says so to the next owner.

namespace fescuesill
{
namespace
{

volatile std::sig_atomic_t stopSignal = 0;

constexpr Duration mainTick = 50ms;

void onSignal(int /*signal*/)
{
    stopSignal = 1;
}

class SchedulerProgram
{
public:
    explicit SchedulerProgram(const SchedulerSettings &given)
        : settings(given)
        , draining(drainingOptions(given))
        , decisions(decisionOptions(given), given.host,
                    [this](DirectorOutput &&output) { this->route(std::move(output)); })
        , engines(engineOptions(given),
                  [this](DirectorEvent &&event) { return this->decisions.push(std::move(event)); })
        , platform(platformOptions(), [this](PeerEvent &&event) { return this->peers->push(std::move(event)); })
        , metrics(registry)
    {
    }

    int run()
    {
        auto made = PeerDuty::create(peerOptions(this->settings),
                                     [this](DirectorEvent &&event) { return this->decisions.push(std::move(event)); });
        if (!made) {
            throw WireError(made.error());
        }
        this->peers = std::move(*made);
        reportOpenPorts(this->settings.keys, this->degraded);
        this->openAdmin();
        this->decisions.start();
        this->engines.start();
        this->peers->start();
        this->platform.start();
        Log::info("started", {{"host", this->settings.host.value()}, {"peers", this->settings.peers}});
        this->serve();
        this->platform.stop();
        this->engines.stop();
        this->decisions.stop();
        Log::info("stopped");
        return 0;
    }

private:
    static Draining::Options drainingOptions(const SchedulerSettings &settings)
    {
        Draining::Options options;
        options.limit = settings.drainLimit;
        return options;
    }

    static DecisionDuty::Options decisionOptions(const SchedulerSettings &settings)
    {
        DecisionDuty::Options options;
        options.director.orphans.grace = settings.resumeGrace;
        return options;
    }

    static EngineDuty::Options engineOptions(const SchedulerSettings &settings)
    {
        EngineDuty::Options options;
        options.host = settings.host;
        options.platform = settings.platform;
        options.loadEvery = settings.enginePoll;
        options.streamsEvery = settings.streamPoll;
        return options;
    }

    PlatformDuty::Options platformOptions()
    {
        PlatformDuty::Options options;
        options.address = this->settings.platform;
        options.versionEvery = this->settings.versionPoll;
        options.hostsEvery = this->settings.hostListPoll;
        options.sweeper.self = this->settings.host;
        options.sweeper.sweep.passPause = this->settings.sweepPause;
        options.sweeper.hosts = [this] {
            return this->sweepingHosts();
        };
        options.isReadDue = [this] {
            return this->peers->isTableReadDue();
        };
        return options;
    }

    // A host that is cut off, or has not heard of the others yet, would take all parts for its own.
    std::vector<HostId> sweepingHosts() const
    {
        const PeerStatus status = this->peers->status();
        std::vector<HostId> hosts;
        for (const MemberInfo &member : status.members) {
            const bool isStaying = member.state == MemberState::Alive || member.state == MemberState::Suspect;
            if (status.service == ConfigService::Serving && isStaying) {
                hosts.push_back(member.host);
            }
        }
        return hosts;
    }

    static PeerDuty::Options peerOptions(const SchedulerSettings &settings)
    {
        PeerDuty::Options options;
        options.host = settings.host;
        options.dataCentre = settings.dataCentre;
        options.address = settings.peers;
        options.seeds = settings.seeds;
        options.membership.period = settings.probePeriod;
        options.config.freshness = settings.freshness;
        options.keys = settings.keys.fleet;
        options.links = MemoryPlan::of(settings.resources, 0).links;
        return options;
    }

    void openAdmin()
    {
        AdminServer::Options options;
        options.address = this->settings.admin;
        options.status = [this] {
            return schedulerStatusJson(this->settings, this->peers->status(), this->decisions.status(), this->degraded,
                                       this->isDraining);
        };
        options.drain = [this] {
            this->isDrainAsked = true;
        };
        options.config = [this](const std::string &text) {
            auto record = decodeConfigRecord(text);
            return record && this->peers->push(ToldConfig{std::move(*record)});
        };
        options.operators = this->settings.keys.operators;
        options.host = this->settings.host;
        options.process = "scheduler";
        auto made = AdminServer::create(std::move(options), this->registry);
        if (!made) {
            throw WireError(made.error());
        }
        this->admin = std::move(*made);
    }

    void route(DirectorOutput &&output)
    {
        std::visit(Overloaded{
                       [this](ToEntry &to) { this->peers->send(to.link, to.message); },
                       [this](PublishSummary &summary) { this->peers->push(PeerEvent(std::move(summary))); },
                       [this](auto &task) {
                           if (!this->engines.push(EngineTask(std::move(task)))) {
                               Log::warning("engine_tasks_full");
                           }
                       },
                   },
                   output);
    }

    void serve()
    {
        for (;;) {
            std::this_thread::sleep_for(mainTick);
            const PeerStatus peerStatus = this->peers->status();
            const DirectorStatus directorStatus = this->decisions.status();
            this->metrics.update(peerStatus, directorStatus);
            this->metrics.showSweep(this->platform.sweepCounts());
            this->degraded.set("table_unreachable", !peerStatus.tableReachable);
            this->degraded.set("declaration_malformed", peerStatus.isDeclarationMalformed);
            this->degraded.set("peers_refused", peerStatus.hasRefusedLately);
            this->degraded.set("not_serving", peerStatus.service != ConfigService::Serving);
            const Instant now = steadyNow();
            if ((stopSignal != 0 || this->isDrainAsked) && !this->isDraining) {
                this->beginDraining(now);
            }
            DrainWork work;
            work.requests = static_cast<int>(directorStatus.requests);
            work.cells = static_cast<int>(directorStatus.cells.size());
            this->draining.onWork(work);
            this->admin->setReady(this->draining.isReady() && peerStatus.service == ConfigService::Serving);
            if (this->isDraining && (this->draining.mayExit(now) || this->draining.moves(now))) {
                return;
            }
        }
    }

    void beginDraining(Instant now)
    {
        Log::info("draining");
        this->isDraining = true;
        this->draining.start(now);
        this->peers->push(LeaveFleet{});
    }

    SchedulerSettings settings;
    Draining draining;
    std::shared_ptr<prometheus::Registry> registry = std::make_shared<prometheus::Registry>();
    DecisionDuty decisions;
    EngineDuty engines;
    std::unique_ptr<PeerDuty> peers;
    PlatformDuty platform;
    SchedulerMetrics metrics;
    DegradedModes degraded;
    std::unique_ptr<AdminServer> admin;
    std::atomic<bool> isDrainAsked{false};
    std::atomic<bool> isDraining{false};
};

} // namespace

int runScheduler(const SchedulerSettings &settings)
{
    Log::open("scheduler", settings.logLevel);
    std::signal(SIGTERM, onSignal);
    std::signal(SIGINT, onSignal);
    std::signal(SIGPIPE, SIG_IGN);
    SchedulerProgram program(settings);
    return program.run();
}

} // namespace fescuesill
