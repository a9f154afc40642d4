#include "programs/entry/entryprogram.h"

#include "programs/entry/shard.h"
#include "wire/adminserver.h"
#include "wire/clock.h"
#include "wire/degradedmodes.h"
#include "wire/log.h"
#include "wire/openports.h"

#include <csignal>
#include <nlohmann/json.hpp>
#include <random>

// Duties and what joins them:
//
//     callers ──▶ I/O threads ◀──ring── links (to schedulers)
//                     │
//                     └──ring──▶ ledger (to the platform)
//
// The main thread waits for a signal and then sees the planned stop through: /readyz fails first, new requests are
// refused once the balancer has had time to notice, what runs is served, streams past the limit are moved by their
// resume token, and the process ends when no request, cancellation or ledger row is left.

namespace fescuesill
{
namespace
{

volatile std::sig_atomic_t stopSignal = 0;

constexpr Duration mainTick{50ms};

void onSignal(int /*signal*/)
{
    stopSignal = 1;
}

Draining::Options drainOptions(const EntrySettings &settings)
{
    Draining::Options options;
    options.announce = settings.announce;
    options.limit = settings.drainLimit;
    return options;
}

class EntryProgram
{
public:
    explicit EntryProgram(const EntrySettings &given)
        : settings(given)
        , state(drainOptions(given), given.requests)
        , registry(std::make_shared<prometheus::Registry>())
        , metrics(*registry)
        , ledger(given, state)
    {
    }

    int run()
    {
        reportOpenPorts(this->settings.keys, this->modes);
        this->openLinks();
        this->openShards();
        this->openAdmin();
        this->ledger.start();
        this->links->start();
        for (const auto &shard : this->shards) {
            shard->start();
        }
        Log::info("started", {{"host", this->settings.host.value()}, {"callers", this->settings.callers}});
        this->serve();
        for (const auto &shard : this->shards) {
            shard->stop();
        }
        this->ledger.stop();
        Log::info("stopped");
        return 0;
    }

private:
    void openLinks()
    {
        LinkDuty::Options options;
        options.host = this->settings.host;
        options.dataCentre = this->settings.dataCentre;
        options.scheduler = this->settings.scheduler;
        options.keys = this->settings.keys.fleet;
        auto created =
            LinkDuty::create(options, this->held, [this](LinkEvent event) { this->deliver(std::move(event)); });
        if (!created) {
            throw WireError(created.error());
        }
        this->links = std::move(*created);
    }

    void openShards()
    {
        const EntryCommon common{this->settings, this->state, *this->links, this->held, this->metrics, this->ledger};
        std::random_device random;
        const std::uint64_t boot = (static_cast<std::uint64_t>(random()) << 32U) | random();
        for (std::size_t i = 0; i < this->settings.ioThreads; ++i) {
            this->shards.push_back(std::make_unique<Shard>(common, i, boot));
            if (const auto failed = this->shards.back()->listen()) {
                throw WireError(*failed);
            }
        }
    }

    void openAdmin()
    {
        AdminServer::Options options;
        options.address = this->settings.admin;
        options.status = [this] {
            return this->statusJson();
        };
        options.drain = [] {
            stopSignal = 1;
        };
        options.operators = this->settings.keys.operators;
        options.host = this->settings.host;
        options.process = "entry";
        auto created = AdminServer::create(std::move(options), this->registry);
        if (!created) {
            throw WireError(created.error());
        }
        this->admin = std::move(*created);
    }

    void deliver(LinkEvent event)
    {
        const auto *news = std::get_if<OwnerNews>(&event);
        if (news == nullptr) {
            for (const auto &shard : this->shards) {
                shard->post(event);
            }
            return;
        }
        const auto index = RequestIds::shardOf(news->request);
        if (!index || *index >= this->shards.size() || !this->shards[*index]->post(event)) {
            Log::warning("owner_news_dropped", {{"request", news->request.value()}});
        }
    }

    bool isCutOff(const EntryView &view) const
    {
        return !view.declaration || steadyNow() - view.heard > this->settings.freshness;
    }

    void tellModes(const EntryView &view)
    {
        bool hasOwnerless = false;
        for (const CellRoute &route : view.cells) {
            hasOwnerless = hasOwnerless || !route.owner;
        }
        this->modes.set("no_configuration", this->isCutOff(view));
        this->modes.set("owner_unreachable", hasOwnerless);
        this->modes.set("peers_refused", this->links->hasRefusedLately());
        this->modes.set("no_resume_keys", this->state.resumeTokens() == nullptr);
    }

    void serve()
    {
        std::signal(SIGTERM, onSignal);
        std::signal(SIGINT, onSignal);
        while (!this->state.isDraining() || !this->state.mayExit(steadyNow())) {
            if (stopSignal != 0 && !this->state.isDraining()) {
                Log::info("draining", {{"requests", this->state.inProgress()}});
                this->state.startDraining(steadyNow());
            }
            const auto view = this->links->view();
            this->tellModes(*view);
            this->metrics.ownerLinks(this->links->openLinks());
            this->admin->setReady(!this->state.isDraining() && !this->isCutOff(*view));
            std::this_thread::sleep_for(mainTick);
        }
    }

    std::string statusJson() const
    {
        const auto view = this->links->view();
        nlohmann::json cells = nlohmann::json::array();
        for (const CellRoute &route : view->cells) {
            cells.push_back({{"model", route.news.cell.model.value()},
                             {"data_centre", route.news.cell.dataCentre.value()},
                             {"owner", route.news.owner.value()}});
        }
        const char *phase = this->isCutOff(*view) ? (view->declaration ? "cut_off" : "learning") : "serving";
        const nlohmann::json status = {{"process", "entry"},
                                       {"host", this->settings.host.value()},
                                       {"data_centre", this->settings.dataCentre.value()},
                                       {"version", view->version.value()},
                                       {"state", this->state.isDraining() ? "draining" : phase},
                                       {"cells", cells},
                                       {"degraded", toJson(this->modes)},
                                       {"requests", this->state.inProgress()}};
        return status.dump();
    }

    EntrySettings settings;
    EntryState state;
    std::shared_ptr<prometheus::Registry> registry;
    EntryMetrics metrics;
    HeldRequests held;
    DegradedModes modes;
    LedgerDuty ledger;
    std::vector<std::unique_ptr<Shard>> shards;
    std::unique_ptr<LinkDuty> links; // ends before the shards it delivers to
    std::unique_ptr<AdminServer> admin;
};

} // namespace

int runEntry(const EntrySettings &settings)
{
    Log::open("entry", settings.logLevel);
    return EntryProgram(settings).run();
}

} // namespace fescuesill
