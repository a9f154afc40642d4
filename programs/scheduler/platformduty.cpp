#include "programs/scheduler/platformduty.h"

#include "wire/clock.h"
#include "wire/coroutine.h"
#include "wire/log.h"
#include "wire/platformclient.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <random>
#include <thread>

// Three loops on one thread; the third is ledgersweeper.cpp. The record in force is some 100 KB at the two-year size:
// reading it every second on every host would take the platform's bandwidth for nothing. A change writes config/current
// and config/history/VERSION in one commit, so a host at version 7 reads the row of version 8: absent, a few bytes,
// until there is a change. Every fullEvery reads it reads config/current all the same, for a host that was away while
// old history was cleared. Pauses are spread by a fifth so that hosts which start together do not read together for
// ever.

namespace fescuesill
{
namespace
{

namespace asio = boost::asio;

constexpr int fullEvery = 30;
constexpr double spread = 0.2;
// Of reads: without a byte, and in all. The configuration and the host list grow with the fleet.
constexpr BodyLimits readBody{1200ms, 15s};

PlatformClient::Options clientOptions(const PlatformDuty::Options &options)
{
    PlatformClient::Options client;
    client.address = options.address;
    client.readBody = readBody;
    return client;
}

} // namespace

struct PlatformDuty::Impl {
    Impl(Options given, Output callback)
        : options(std::move(given))
        , output(std::move(callback))
        , client(context, clientOptions(options))
        , random(std::random_device()())
        , sweeper(context, client, options.sweeper)
    {
    }

    void readVersions(const asio::yield_context &yield)
    {
        for (;;) {
            this->readVersion(yield);
            this->pause(this->options.versionEvery, yield);
        }
    }

    void readVersion(const asio::yield_context &yield)
    {
        try {
            const ConfigVersion next = this->highest + ConfigVersion(1);
            const bool isFull = this->reads++ % fullEvery == 0;
            if (!isFull && !this->options.isReadDue()) {
                return;
            }
            if (!isFull && !this->client.get(configHistoryKey(next), yield)) {
                this->output(TableUnchanged{});
                return;
            }
            this->readCurrent(yield);
        } catch (const PlatformError &failed) {
            Log::debug("table_unreachable", {{"error", failed.what()}});
            this->output(TableFailed{});
        }
    }

    void readCurrent(const asio::yield_context &yield)
    {
        const auto row = this->client.get(configCurrentKey, yield);
        if (!row) {
            this->output(TableConfig{});
            return;
        }
        const auto record = decodeConfigRecord(row->value);
        if (!record) {
            Log::error("config_row_malformed", {{"error", record.error().text}});
            this->output(TableFailed{});
            return;
        }
        this->highest = std::max(this->highest, record->version);
        this->output(TableConfig{*record});
    }

    void readHostLists(const asio::yield_context &yield)
    {
        for (;;) {
            try {
                this->output(HostList{this->client.hosts(yield)});
            } catch (const PlatformError &failed) {
                Log::debug("host_list_unreachable", {{"error", failed.what()}});
            }
            this->pause(this->options.hostsEvery, yield);
        }
    }

    void pause(Duration duration, const asio::yield_context &yield)
    {
        std::uniform_real_distribution<double> factor(1.0 - spread, 1.0 + spread);
        asio::steady_timer timer(this->context, std::chrono::duration_cast<Duration>(duration * factor(this->random)));
        boost::system::error_code ignored;
        timer.async_wait(yield[ignored]);
    }

    Options options;
    Output output;
    asio::io_context context{1};
    PlatformClient client;
    std::mt19937_64 random;
    LedgerSweeper sweeper;
    ConfigVersion highest; // read so far
    int reads = 0;
    std::thread thread;
};

PlatformDuty::PlatformDuty(Options options, Output output)
    : impl(std::make_unique<Impl>(std::move(options), std::move(output)))
{
}

PlatformDuty::~PlatformDuty()
{
    this->stop();
}

void PlatformDuty::start()
{
    Impl *const made = this->impl.get();
    startCoroutine(made->context, [made](const asio::yield_context &yield) { made->readVersions(yield); });
    startCoroutine(made->context, [made](const asio::yield_context &yield) { made->readHostLists(yield); });
    startCoroutine(made->context, [made](const asio::yield_context &yield) { made->sweeper.run(yield); });
    made->thread = std::thread([made] { made->context.run(); });
}

LedgerSweep::Counts PlatformDuty::sweepCounts() const
{
    return this->impl->sweeper.counts();
}

void PlatformDuty::stop()
{
    this->impl->context.stop();
    if (this->impl->thread.joinable()) {
        this->impl->thread.join();
    }
}

} // namespace fescuesill
