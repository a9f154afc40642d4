// The public interface of CellState: validates the options and forwards all calls. The order of the decisions is
// described at the top of cellplacing.cpp.

#include "decide/cellscheduler.h"

#include "decide/cellstate.h"

namespace fescuesill
{

tl::expected<CellScheduler, DecideError> CellScheduler::create(const Options &options)
{
    if (options.keepShare < 0 || options.keepShare > 1) {
        return tl::unexpected(DecideError{"keepShare", "0 to 1"});
    }
    if (options.attempts < 1) {
        return tl::unexpected(DecideError{"attempts", "1 or more"});
    }
    if (options.prefixBlock < Tokens(1)) {
        return tl::unexpected(DecideError{"prefixBlock", "1 token or more"});
    }
    if (options.queue.lowRankShare < 0 || options.queue.lowRankShare > 1) {
        return tl::unexpected(DecideError{"queue.lowRankShare", "0 to 1"});
    }
    const bool rates = options.prefillPerToken > Duration(0) && options.decodeStep > Duration(0)
        && options.transferPerToken >= Duration(0) && options.pollInterval > Duration(0);
    if (!rates) {
        return tl::unexpected(DecideError{"prefillPerToken, decodeStep, transferPerToken, pollInterval", "above 0"});
    }
    return CellScheduler(std::make_unique<CellState>(options));
}

CellScheduler::CellScheduler(std::unique_ptr<CellState> state)
    : state(std::move(state))
{
}
CellScheduler::CellScheduler(CellScheduler &&) noexcept = default;
CellScheduler &CellScheduler::operator=(CellScheduler &&) noexcept = default;
CellScheduler::~CellScheduler() = default;

void CellScheduler::setEngines(const std::vector<EngineSpec> &engines, Instant now)
{
    this->state->setEngines(engines, now);
}
void CellScheduler::onLoadReport(const EngineId &engine, const LoadReport &report, Instant now)
{
    this->state->onLoadReport(engine, report, now);
}
void CellScheduler::onCacheEvents(const EngineId &engine, const std::vector<CacheEvent> &events, bool gap)
{
    this->state->onCacheEvents(engine, events, gap);
}
void CellScheduler::onEngineLost(const EngineId &engine, Instant now)
{
    this->state->onEngineLost(engine, now);
}
void CellScheduler::submit(const PlaceRequest &request, Instant now)
{
    this->state->submit(request, now);
}
void CellScheduler::onPrefillDone(const RequestId &request, const PrefillResult &result, Instant now)
{
    this->state->onPrefillDone(request, result, now);
}
void CellScheduler::onPrefillFailed(const RequestId &request, PrefillFault fault, Instant now)
{
    this->state->onPrefillFailed(request, fault, now);
}
void CellScheduler::onFirstToken(const RequestId &request, Instant now)
{
    this->state->onFirstToken(request, now);
}
void CellScheduler::onProgress(const RequestId &request, Tokens output, Instant now)
{
    this->state->onProgress(request, output, now);
}
void CellScheduler::onDecodeFailed(const RequestId &request, DecodeFault fault, bool kvHeld, Instant now)
{
    this->state->onDecodeFailed(request, fault, kvHeld, now);
}
void CellScheduler::onFinished(const RequestId &request, Instant now)
{
    this->state->onFinished(request, now);
}
void CellScheduler::onCancelled(const RequestId &request, Instant now)
{
    this->state->onCancelled(request, now);
}
void CellScheduler::adopt(const HeldRequest &held, Instant now)
{
    this->state->adopt(held, now);
}
std::vector<Action> CellScheduler::poll(Instant now)
{
    return this->state->poll(now);
}
std::optional<Instant> CellScheduler::nextWake() const
{
    return this->state->nextWake();
}
CellSummary CellScheduler::summary(Instant now) const
{
    return this->state->summary(now);
}
const CellCounters &CellScheduler::counters() const
{
    return this->state->counters;
}

} // namespace fescuesill
