#include "programs/scheduler/platformduty.h"

#include "wire/clock.h"
#include "wire/coroutine.h"
#include "wire/log.h"
#include "wire/platformclient.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <random>
#include <thread>

// Two loops on one thread. The version loop reads the small row config/version and, only where that is higher than what
// was read before, the whole record: reading 100 KB every second on every host would take the platform's bandwidth for
// nothing. Pauses are spread by a fifth so that hosts which start together do not read together for ever.

namespace fescuesill
{
namespace
{

namespace asio = boost::asio;

constexpr const char *versionKey = "config/version";
constexpr double spread = 0.2;

} // namespace

struct PlatformDuty::Impl {
    Impl(Options given, Output callback)
        : options(std::move(given))
        , output(std::move(callback))
        , client(context, PlatformClient::Options{options.address})
        , random(std::random_device()())
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
            const auto row = this->client.get(versionKey, yield);
            if (row && row->value == this->lastVersion) {
                this->output(TableUnchanged{});
                return;
            }
            this->readRecord(yield);
            this->lastVersion = row ? row->value : std::string();
        } catch (const PlatformError &failed) {
            Log::debug("table_unreachable", {{"error", failed.what()}});
            this->output(TableFailed{});
        }
    }

    void readRecord(const asio::yield_context &yield)
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
    std::string lastVersion;
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
    made->thread = std::thread([made] { made->context.run(); });
}

void PlatformDuty::stop()
{
    this->impl->context.stop();
    if (this->impl->thread.joinable()) {
        this->impl->thread.join();
    }
}

} // namespace fescuesill
