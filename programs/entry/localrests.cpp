// An entry knows an endpoint by its address alone, and its declaration may never say that it leaves. So an endpoint
// that says so rests for the longest time that any may ask for; the next one at that address is used after that.

#include "programs/entry/localrests.h"

#include "platform/calldialect.h"
#include "wire/clock.h"
#include "wire/log.h"

namespace fescuesill
{
namespace
{

constexpr Duration leavingRest = EndpointRests::Options{}.longest;

} // namespace

bool LocalRests::isResting(const std::string &address, Instant now)
{
    if (this->empty) {
        return false;
    }
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->rests.expire(now);
    this->empty = this->rests.size() == 0;
    return this->rests.isResting(EndpointId(address));
}

void LocalRests::onAnswer(const std::string &address, const HttpResponse &response)
{
    const bool isLeaving = statesLeaving(response);
    const auto rest = isLeaving ? std::optional(leavingRest) : readRest(response);
    if (!rest) {
        return;
    }
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (this->rests.onAsked(EndpointId(address), *rest, steadyNow())) {
        Log::info(isLeaving ? "endpoint_states_leaving" : "endpoint_rests",
                  {{"endpoint", address}, {"for_ms", rest->count() / 1000}});
    }
    this->empty = this->rests.size() == 0;
}

} // namespace fescuesill
