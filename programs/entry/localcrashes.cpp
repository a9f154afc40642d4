#include "programs/entry/localcrashes.h"

#include "wire/clock.h"
#include "wire/log.h"

namespace fescuesill
{
namespace
{

constexpr Duration blockDuration = CrashTracker::Options{}.memory;

} // namespace

RequestTrait contentOf(const HttpRequest &request)
{
    return RequestTrait::wholeRequest(request.method + '\n' + request.target + '\n' + request.body);
}

CrashedRun endOf(const std::string &endpoint, Instant begun)
{
    const Instant now = steadyNow();
    return {{EndpointId(endpoint), now.time_since_epoch().count()}, begun, now};
}

std::optional<Duration> LocalCrashes::blockedFor(RequestTrait request, Instant now)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->tracker.expire(now);
    this->blocks.expire(now);
    this->empty = this->tracker.size() == 0 && this->blocks.isEmpty();
    return this->blocks.blockedFor({request}, now);
}

void LocalCrashes::onCrash(const CrashedRun &run, RequestTrait request)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->tracker.onCrash(run, {request});
    this->empty = false;
    for (const RequestTraits &traits : this->tracker.blocked()) {
        if (this->blocks.block(traits, blockDuration, Trials::None, run.ended)) {
            Log::warning("requests_blocked", {{"traits", traits.front().value()}});
        }
    }
}

void LocalCrashes::onServed(RequestTrait request)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->tracker.onServed({request});
    this->blocks.keepOnly(this->tracker.blocked());
}

} // namespace fescuesill
