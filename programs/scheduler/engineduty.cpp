#include "programs/scheduler/engineduty.h"

#include "programs/scheduler/engineorders.h"
#include "wire/clock.h"
#include "wire/coroutine.h"
#include "wire/engineclient.h"
#include "wire/log.h"
#include "wire/ring.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <set>
#include <thread>

// One coroutine for each engine and kind of poll, so that an engine that hangs holds up its own polls only. A poll ends
// when its engine is no longer watched: each watch has a generation, and a coroutine of an older one returns.
//
// Reports are level-triggered: if the decider's ring is full a report is dropped, and the next one says the same.

namespace fescuesill
{
namespace
{

namespace asio = boost::asio;

// Cancellations under way at once for one scheduler; more come again with the next list of the engine.
constexpr std::size_t mostCancellations = 512;
constexpr const char *prefillRole = "prefill";

CacheReported cacheReported(const EngineId &engine, const EngineCacheEvents &read, std::int64_t after)
{
    CacheReported reported;
    reported.engine = engine;
    std::int64_t expected = after + 1;
    for (const EngineCacheEvent &event : read.events) {
        reported.gap = reported.gap || event.sequence != expected;
        expected = event.sequence + 1;
        const auto kind = event.isAdded ? CacheEvent::Kind::Added : CacheEvent::Kind::Evicted;
        reported.events.push_back(CacheEvent{kind, PrefixHash{event.prefix}});
    }
    return reported;
}

std::vector<EngineStream> streamsOf(const std::vector<RunningStream> &running)
{
    std::vector<EngineStream> streams;
    streams.reserve(running.size());
    for (const RunningStream &stream : running) {
        streams.push_back(EngineStream{stream.stream, stream.entry, stream.isAttached});
    }
    return streams;
}

} // namespace

struct EngineDuty::Impl {
    Impl(Options given, Output callback)
        : options(std::move(given))
        , output(std::move(callback))
        , client(context, EngineClient::Options{})
        , orders(context, client, EngineOrders::Options{options.host, options.platform})
        , ring(options.ring, [this] { asio::post(this->context, [this] { this->drainRing(); }); })
    {
    }

    void drainRing()
    {
        while (auto task = this->ring.tryPop()) {
            std::visit([this](const auto &alternative) { this->handle(alternative); }, *task);
        }
    }

    void handle(const WatchEngines &watch)
    {
        std::map<EngineId, Watched> before;
        before.swap(this->watched);
        for (const Engine &engine : watch.engines) {
            const auto known = before.find(engine.id);
            const bool isSame = known != before.end() && known->second.engine.address == engine.address;
            Watched &now = this->watched[engine.id];
            now.engine = engine;
            now.generation = isSame ? known->second.generation : ++this->lastGeneration;
            if (!isSame) {
                this->startPolls(engine.id, now.generation);
            }
        }
    }

    void handle(const CancelStream &cancel)
    {
        const auto found = this->watched.find(cancel.engine);
        const bool isNew = this->cancelling.size() < mostCancellations && this->cancelling.insert(cancel.stream).second;
        if (found == this->watched.end() || !isNew) {
            return;
        }
        startCoroutine(this->context,
                       [this, cancel, address = found->second.engine.address](const asio::yield_context &yield) {
                           this->cancel(cancel, address, yield);
                       });
    }

    void handle(const OrderRole &order)
    {
        startCoroutine(this->context,
                       [this, order](const asio::yield_context &yield) { this->orders.carryOut(order, yield); });
    }

    void cancel(const CancelStream &cancel, const std::string &address, const asio::yield_context &yield)
    {
        try {
            this->client.cancel(address, cancel.stream, cancel.reader, yield);
            Log::info("orphan_cancelled", {{"stream", cancel.stream.value()}, {"engine", cancel.engine.value()}});
        } catch (const EngineError &failed) {
            Log::warning(
                "orphan_not_cancelled",
                {{"stream", cancel.stream.value()}, {"engine", cancel.engine.value()}, {"error", failed.what()}});
        }
        this->cancelling.erase(cancel.stream);
    }

    void startPolls(const EngineId &engine, std::uint64_t generation)
    {
        startCoroutine(this->context, [this, engine, generation](const asio::yield_context &yield) {
            this->pollLoad(engine, generation, yield);
        });
        startCoroutine(this->context, [this, engine, generation](const asio::yield_context &yield) {
            this->pollStreams(engine, generation, yield);
        });
    }

    // Null when the engine is no longer watched by this generation.
    const Engine *watchedBy(const EngineId &engine, std::uint64_t generation) const
    {
        const auto found = this->watched.find(engine);
        const bool isCurrent = found != this->watched.end() && found->second.generation == generation;
        return isCurrent ? &found->second.engine : nullptr;
    }

    void pollLoad(const EngineId &id, std::uint64_t generation, const asio::yield_context &yield)
    {
        int failures = 0;
        std::int64_t cacheSequence = 0;
        while (const Engine *engine = this->watchedBy(id, generation)) {
            const std::string address = engine->address;
            try {
                const EngineLoad load = this->client.load(address, yield);
                failures = 0;
                this->output(LoadReported{id, loadReport(load)});
                if (load.role == prefillRole) {
                    cacheSequence = this->readCacheEvents(id, address, cacheSequence, yield);
                }
            } catch (const EngineError &failed) {
                ++failures;
                if (failures == this->options.silentPolls) {
                    Log::warning("engine_silent", {{"engine", id.value()}, {"error", failed.what()}});
                    this->output(EngineSilent{id});
                }
            }
            this->pause(this->options.loadEvery, yield);
        }
    }

    std::int64_t readCacheEvents(const EngineId &id, const std::string &address, std::int64_t after,
                                 const asio::yield_context &yield)
    {
        const EngineCacheEvents read = this->client.cacheEvents(address, after, yield);
        if (!read.events.empty()) {
            this->output(cacheReported(id, read, after));
        }
        return read.next;
    }

    void pollStreams(const EngineId &id, std::uint64_t generation, const asio::yield_context &yield)
    {
        while (const Engine *engine = this->watchedBy(id, generation)) {
            const std::string address = engine->address;
            try {
                this->output(EngineStreams{id, streamsOf(this->client.list(address, yield))});
            } catch (const EngineError &failed) {
                Log::debug("streams_not_read", {{"engine", id.value()}, {"error", failed.what()}});
            }
            this->pause(this->options.streamsEvery, yield);
        }
    }

    void pause(Duration duration, const asio::yield_context &yield)
    {
        asio::steady_timer timer(this->context, duration);
        boost::system::error_code ignored;
        timer.async_wait(yield[ignored]);
    }

    struct Watched {
        Engine engine;
        std::uint64_t generation = 0;
    };

    Options options;
    Output output;
    asio::io_context context{1};
    EngineClient client;
    EngineOrders orders;
    std::map<EngineId, Watched> watched;
    std::uint64_t lastGeneration = 0;
    std::set<StreamId> cancelling;
    Ring<EngineTask> ring;
    std::thread thread;
};

EngineDuty::EngineDuty(Options options, Output output)
    : impl(std::make_unique<Impl>(std::move(options), std::move(output)))
{
}

EngineDuty::~EngineDuty()
{
    this->stop();
}

void EngineDuty::start()
{
    Impl *const made = this->impl.get();
    made->thread = std::thread([made] {
        const auto work = asio::make_work_guard(made->context);
        made->context.run();
    });
}

void EngineDuty::stop()
{
    this->impl->context.stop();
    if (this->impl->thread.joinable()) {
        this->impl->thread.join();
    }
}

bool EngineDuty::push(EngineTask &&task)
{
    return this->impl->ring.tryPush(std::move(task));
}

} // namespace fescuesill
