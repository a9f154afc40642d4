// PoolPlan decides how many engines each pool should have. This class chooses the engines and sends the orders.
//
// Only the holder of the lease sends orders, and it checks its lease right before the first byte. An order without a
// reply may still be carried out later; it states how many orders the engine had accepted, so the engine rejects it if
// another order came first. No host sends work to an engine that is changing, or that an unanswered order may still
// change, because each refusal uses up the retry budget that all hosts share.

#include "programs/gateway/stageorders.h"

#include "wire/clock.h"
#include "wire/log.h"

namespace fescuesill
{
namespace
{

constexpr Duration orderLimit{500ms}; // one short call
// For prefills already on their way to the engine when the change was announced.
constexpr Duration announcementDelay{200ms};
constexpr Duration maxOrderDelay{12s}; // until an order without a reply takes effect
constexpr Duration minOrderInterval{15s}; // between two orders to one engine
constexpr Duration changeMargin{2s}; // for work that still runs there, and until the registry shows the change
// A crashed engine usually restarts within seconds, so it counts as part of its pool for this long. If it does not
// return, the delay costs the pool nothing.
constexpr Duration missingLimit{10s};

} // namespace

bool StageOrders::isPending(const Service &service, const EndpointRecord &engine, Instant now)
{
    const auto ordered = service.ordered.find(engine.id);
    return ordered != service.ordered.end() && ordered->second.to != engine.part
        && now < ordered->second.at + minOrderInterval;
}

void StageOrders::onTick(const StoreWatcher &store, Instant now)
{
    const auto &config = this->services.fleet.activeConfig();
    if (!config || !store.fencingForOrder()) {
        return;
    }
    for (const auto &[id, service] : config->services) {
        if (service.engines) {
            this->planService(id, *service.engines, store, now);
        }
    }
}

void StageOrders::recordEngines(const ServiceId &id, Service &service, Instant now) const
{
    for (const EndpointPart part : {EndpointPart::Prefill, EndpointPart::Decode}) {
        for (const EndpointRecord &engine : this->services.fleet.enginesOf(id, part)) {
            const bool pending = isPending(service, engine, now);
            service.seen[engine.address] = {pending ? service.ordered.at(engine.id).to : part, now};
        }
    }
    for (auto seen = service.seen.begin(); seen != service.seen.end();) {
        seen = now >= seen->second.at + missingLimit ? service.seen.erase(seen) : std::next(seen);
    }
    for (auto order = service.ordered.begin(); order != service.ordered.end();) {
        order = now >= order->second.at + minOrderInterval ? service.ordered.erase(order) : std::next(order);
    }
}

PoolSizes StageOrders::sizes(const Service &service)
{
    PoolSizes sizes;
    for (const auto &[address, seen] : service.seen) {
        ++(seen.part == EndpointPart::Prefill ? sizes.prefill : sizes.decode);
    }
    return sizes;
}

std::optional<PoolNeed> StageOrders::need(const ServiceId &id, const EngineTraits &traits) const
{
    const auto load = this->services.gates.stageLoad(id);
    if (!load || traits.memory.value() <= 0) {
        return std::nullopt;
    }
    return PoolNeed{load->prefillEngines, load->heldTokens / static_cast<double>(traits.memory.value())};
}

void StageOrders::planService(const ServiceId &id, const EngineTraits &traits, const StoreWatcher &store, Instant now)
{
    Service &service = this->plans.try_emplace(id, Service{PoolPlan(PoolPlan::Options{}), {}, {}}).first->second;
    this->recordEngines(id, service, now);
    const auto need = this->need(id, traits);
    const PoolSizes split = sizes(service);
    if (!need || split.prefill == 0 || split.decode == 0) {
        return;
    }
    const auto move = service.plan.observe(split, *need, now);
    if (!move) {
        return;
    }
    const bool toDecode = move->pool == Pool::Decode;
    const EndpointPart to = toDecode ? EndpointPart::Decode : EndpointPart::Prefill;
    for (int moved = 0; moved < move->engines; ++moved) {
        const auto engine =
            this->chooseEngine(id, toDecode ? EndpointPart::Prefill : EndpointPart::Decode, service, now);
        if (!engine) {
            return;
        }
        Log::info("stage_wanted",
                  {{"engine", engine->id.value()},
                   {"stage", toDecode ? "decode" : "prefill"},
                   {"prefill_need", need->prefill},
                   {"decode_need", need->decode},
                   {"prefills", split.prefill},
                   {"decodes", split.decode}});
        service.ordered[engine->id] = {to, now};
        this->order(*engine, to, traits, store);
    }
}

// Chooses from the data centre with the most engines of that stage, so that each data centre keeps some.
std::optional<EndpointRecord> StageOrders::chooseEngine(const ServiceId &id, EndpointPart from, const Service &service,
                                                        Instant now) const
{
    std::map<DataCentreId, int> counts;
    auto records = this->services.fleet.enginesOf(id, from);
    records.erase(std::remove_if(records.begin(), records.end(),
                                 [&](const EndpointRecord &engine) {
                                     return isPending(service, engine, now) || !this->services.fleet.usable(engine.id);
                                 }),
                  records.end());
    for (const EndpointRecord &record : records) {
        ++counts[record.dataCentre];
    }
    std::optional<EndpointRecord> chosen;
    for (const EndpointRecord &record : records) {
        if (!chosen || counts[record.dataCentre] > counts[chosen->dataCentre]) {
            chosen = record;
        }
    }
    return chosen;
}

void StageOrders::order(const EndpointRecord &engine, EndpointPart part, const EngineTraits &traits,
                        const StoreWatcher &store)
{
    const Duration lasts = traits.stageChange + changeMargin;
    startCoroutine(this->services.io, [this, engine, part, lasts, &store](const asio::yield_context &yield) {
        try {
            this->sendOrder(engine, part, lasts, store, yield);
        } catch (const HttpError &error) {
            Log::info("stage_order_unanswered", {{"engine", engine.id.value()}, {"reason", error.what()}});
        }
    });
}

void StageOrders::sendOrder(const EndpointRecord &engine, EndpointPart part, Duration lasts, const StoreWatcher &store,
                            const asio::yield_context &yield)
{
    HttpClient &client = this->services.client;
    // Through another host, engines would get orders from two hosts.
    CallOptions ownCall{orderLimit, Reuse::Never};
    ownCall.via = Via::OwnHost;
    const HttpResponse stated = client.call(engine.address, reportRequest(engine.id), ownCall, yield);
    this->services.notices.onAnswer(engine, stated);
    const auto report = readReport(stated);
    if (!report || report->isChanging || report->part == part) {
        Log::info("stage_order_needless", {{"engine", engine.id.value()}});
        return;
    }
    const EngineId id(engine.id.value());
    this->announce({id, lasts + maxOrderDelay});
    boost::system::error_code ignored;
    asio::steady_timer timer(this->services.io, announcementDelay);
    timer.async_wait(yield[ignored]);
    const auto fencing = store.fencingForOrder();
    if (!fencing) {
        Log::info("stage_order_withheld", {{"engine", engine.id.value()}, {"reason", "the lease ended"}});
        this->announce({id, Duration(0)});
        return;
    }
    const HttpRequest request =
        stageOrderRequest({engine.id, part, this->services.settings.host, *fencing, report->acceptedOrders});
    const HttpResponse response = client.call(engine.address, request, ownCall, yield);
    this->services.notices.onAnswer(engine, response);
    Log::info("stage_ordered",
              {{"engine", engine.id.value()},
               {"fencing", fencing->value()},
               {"taken", isOrderAccepted(response)},
               {"status", response.status}});
    this->announce({id, isOrderAccepted(response) ? lasts : Duration(0)});
}

} // namespace fescuesill
