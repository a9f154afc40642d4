// Decode memory and prompt reading run out at different loads, and a deployment's split between them is a guess. Where
// generations wait for memory while prefill engines are idle enough to spare one, one is ordered over. An order costs
// little, but the engine is away while it changes, and an engine that goes to and fro serves nobody: it moves only
// where the pool that gives still has half of its time left afterwards.
//
// Only the holder of the lease orders, and asks its lease right before the first byte. An order that gets no answer may
// be carried out later; the count of orders that the engine had accepted makes it void where another came first.

#include "programs/gateway/stageorders.h"

#include "wire/clock.h"
#include "wire/log.h"

namespace fescuesill
{
namespace
{

constexpr Duration orderLimit{500ms}; // one short call
constexpr Duration leastPause{15s}; // until an engine is ordered again: a late order may be carried out 12 s after
constexpr double slowReads = 4; // times the fastest of late: three others before each
constexpr Duration beyondChange{2s}; // until the registry shows it, and work that still runs there
constexpr int leastPerPool = 2; // one may crash

// The split that is right lasts for the day, so it pays to move soon: generations that wait for 300 ms are about to
// miss their target. What keeps engines from moving back is the spare time that the giving pool must keep.
RoleShift::Options shiftOptions()
{
    RoleShift::Options options;
    options.shortUse = 0.85;
    options.spareUse = 0.5; // a third of the engines that read may crash, and those left still carry the load
    options.sustained = 300ms;
    options.pause = 1s;
    options.leastPerPool = leastPerPool;
    return options;
}

} // namespace

// Ordered and not to be seen yet in the registry. Counted as moved: else every tick of the seconds that a change takes
// would order one more, until no engine is left in the pool that gives.
bool StageOrders::isPending(const Service &service, const EndpointRecord &engine, Instant now)
{
    const auto ordered = service.ordered.find(engine.id);
    return ordered != service.ordered.end() && ordered->second.to != engine.part
        && now < ordered->second.at + leastPause;
}

int StageOrders::pendingOf(const Service &service, const std::vector<EndpointRecord> &engines, Instant now)
{
    return static_cast<int>(std::count_if(
        engines.begin(), engines.end(), [&](const EndpointRecord &engine) { return isPending(service, engine, now); }));
}

void StageOrders::onTick(const StoreDuty &store, Instant now)
{
    const auto &config = this->services.fleet.inForce();
    if (!config || !store.mayOrder()) {
        return;
    }
    for (const auto &[id, service] : config->services) {
        if (service.engines) {
            this->consider(id, *service.engines, store, now);
        }
    }
}

void StageOrders::consider(const ServiceId &id, const EngineTraits &traits, const StoreDuty &store, Instant now)
{
    FleetView &fleet = this->services.fleet;
    const auto perTokenUs = fleet.prefills().microsecondsPerToken();
    const auto load = this->services.gates.stageLoad(id);
    if (!perTokenUs || !load) {
        return;
    }
    RoleShift::View view;
    Service &service = this->shifts.try_emplace(id, Service{RoleShift(shiftOptions()), {}}).first->second;
    const int toDecodeNow = pendingOf(service, fleet.enginesOf(id, EndpointPart::Prefill), now);
    const int toPrefillNow = pendingOf(service, fleet.enginesOf(id, EndpointPart::Decode), now);
    view.prefillEngines =
        static_cast<int>(fleet.enginesOf(id, EndpointPart::Prefill).size()) - toDecodeNow + toPrefillNow;
    view.decodeEngines =
        static_cast<int>(fleet.enginesOf(id, EndpointPart::Decode).size()) - toPrefillNow + toDecodeNow;
    view.prefillBusy = load->promptTokensPerSecond * *perTokenUs / 1e6 / std::max(1, view.prefillEngines);
    view.decodeUse = load->decodeUse;
    view.waiting = load->isWaiting || fleet.prefills().slowdown() > slowReads;
    const auto wanted = service.shift.observe(view, now);
    if (!wanted) {
        return;
    }
    const bool toDecode = *wanted == Pool::Decode;
    const auto engine = this->chooseEngine(id, toDecode ? EndpointPart::Prefill : EndpointPart::Decode, service, now);
    if (!engine) {
        return;
    }
    Log::info("stage_wanted",
              {{"engine", engine->id.value()},
               {"stage", toDecode ? "decode" : "prefill"},
               {"prefill_busy", view.prefillBusy},
               {"decode_use", view.decodeUse},
               {"prefills", view.prefillEngines},
               {"decodes", view.decodeEngines}});
    const EndpointPart to = toDecode ? EndpointPart::Decode : EndpointPart::Prefill;
    service.ordered[engine->id] = {to, now};
    this->order(*engine, to, traits, store);
}

// From the data centre that has most of that part, so that each keeps some.
std::optional<EndpointRecord> StageOrders::chooseEngine(const ServiceId &id, EndpointPart from, Service &service,
                                                        Instant now) const
{
    std::map<DataCentreId, int> counts;
    const auto records = this->services.fleet.enginesOf(id, from);
    for (const EndpointRecord &record : records) {
        ++counts[record.dataCentre];
    }
    std::optional<EndpointRecord> chosen;
    for (const EndpointRecord &record : records) {
        if (!isPending(service, record, now) && (!chosen || counts[record.dataCentre] > counts[chosen->dataCentre])) {
            chosen = record;
        }
    }
    return chosen;
}

void StageOrders::order(const EndpointRecord &engine, EndpointPart part, const EngineTraits &traits,
                        const StoreDuty &store)
{
    const Duration lasts = traits.stageChange + beyondChange;
    startCoroutine(this->services.io, [this, engine, part, lasts, &store](const asio::yield_context &yield) {
        try {
            this->sendOrder(engine, part, lasts, store, yield);
        } catch (const HttpError &error) {
            Log::info("stage_order_unanswered", {{"engine", engine.id.value()}, {"reason", error.what()}});
        }
    });
}

// The hosts hear of it before the engine does: it refuses work while it changes, and each refusal is paid from the
// budget of retries that all hosts share.
void StageOrders::sendOrder(const EndpointRecord &engine, EndpointPart part, Duration lasts, const StoreDuty &store,
                            const asio::yield_context &yield)
{
    HttpClient &client = this->services.client;
    const auto report =
        readReport(client.call(engine.address, reportRequest(engine.id), {orderLimit, Reuse::Never}, yield));
    if (!report || report->isChanging || report->part == part) {
        Log::info("stage_order_needless", {{"engine", engine.id.value()}});
        return;
    }
    const EngineId id(engine.id.value());
    this->announce({id, lasts});
    const auto fencing = store.mayOrder();
    if (!fencing) {
        Log::info("stage_order_withheld", {{"engine", engine.id.value()}, {"reason", "the lease ended"}});
        this->announce({id, Duration(0)});
        return;
    }
    const HttpRequest request =
        stageOrderRequest({engine.id, part, this->services.settings.host, *fencing, report->acceptedOrders});
    const HttpResponse response = client.call(engine.address, request, {orderLimit, Reuse::Never}, yield);
    Log::info("stage_ordered",
              {{"engine", engine.id.value()},
               {"fencing", fencing->value()},
               {"taken", isOrderTaken(response)},
               {"status", response.status}});
    if (!isOrderTaken(response)) {
        this->announce({id, Duration(0)});
    }
}

} // namespace fescuesill
