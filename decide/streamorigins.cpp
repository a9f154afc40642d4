// A wrong answer mixes versions in a stream, so whatever is not known counts as unknown: a stream that no host has
// reported here, while several versions may have begun it, and any such stream for some time after this host has
// started or may have missed changes of the lists, since it has not seen which versions served before.
//
// A list that is read without a gap is still no evidence of the present: a host that was frozen or cut off has not
// noticed it yet, while other hosts may have begun streams at engines that it does not list. Each engine is listed
// before any host uses it. So where the version is inferred, the lists must have been complete at some instant after
// the caller asked, which is after the stream began.

#include "decide/streamorigins.h"

#include <algorithm>
#include <utility>

namespace fescuesill
{

void StreamOrigins::onListed(const ServiceId &service, const std::set<SoftwareVersion> &versions,
                             const std::set<SoftwareVersion> &seen, Instant now)
{
    const auto [found, isNew] = this->services.try_emplace(service, Versions{now, {}});
    auto &lastListed = found->second.lastListed;
    for (const SoftwareVersion &version : seen) {
        lastListed[version].reset();
    }
    for (auto &[version, last] : lastListed) {
        if (versions.count(version) == 0 && !last) {
            last = now;
        }
    }
    for (const SoftwareVersion &version : versions) {
        lastListed[version].reset();
    }
    for (auto version = lastListed.begin(); version != lastListed.end();) {
        const bool isForgotten = version->second && now - *version->second > this->memory();
        version = isForgotten ? lastListed.erase(version) : std::next(version);
    }
}

void StreamOrigins::onBegun(const BegunStream &stream, Instant now)
{
    const bool isNew = this->streams.find(stream.request) == this->streams.end();
    this->onKnown(stream, now);
    if (isNew && this->isMixed(stream.service, now) && this->newStreams.size() < this->options.maxStreams) {
        this->newStreams.push_back(stream);
    }
}

void StreamOrigins::onKnown(const BegunStream &stream, Instant now)
{
    this->expire(now);
    this->streams[stream.request] = stream;
    this->byAge.emplace_back(stream.since, stream.request);
}

void StreamOrigins::expire(Instant now)
{
    while (!this->byAge.empty()) {
        const auto &[since, request] = this->byAge.front();
        const bool isOver = now - since > this->options.keep || this->streams.size() >= this->options.maxStreams;
        if (!isOver) {
            return;
        }
        const auto found = this->streams.find(request);
        if (found != this->streams.end() && found->second.since <= since) {
            this->streams.erase(found);
        }
        this->byAge.pop_front();
    }
}

std::vector<SoftwareVersion> StreamOrigins::possible(const Versions &versions, Instant now) const
{
    std::vector<SoftwareVersion> found;
    for (const auto &[version, last] : versions.lastListed) {
        if (!last || now - *last <= this->memory()) {
            found.push_back(version);
        }
    }
    return found;
}

bool StreamOrigins::isMixed(const ServiceId &service, Instant now) const
{
    const auto found = this->services.find(service);
    return found != this->services.end() && this->possible(found->second, now).size() > 1;
}

void StreamOrigins::onOutdated(Instant now)
{
    this->options.isFirstStart = false;
    for (auto &[service, versions] : this->services) {
        versions.since = now;
    }
}

void StreamOrigins::onConfirmed(Instant at)
{
    this->confirmedAt = std::max(this->confirmedAt.value_or(at), at);
}

VersionLookup StreamOrigins::lookUp(const RequestId &request, const ServiceId &service, Instant asked,
                                    Instant now) const
{
    if (const auto reported = this->find(request, service)) {
        return version_lookup::Found{*reported, true};
    }
    const bool isOfOtherService = this->streams.count(request) > 0; // the route has been moved or split anew
    const auto only = this->onlyVersion(service, now);
    if (isOfOtherService || !only) {
        return version_lookup::Unknown{};
    }
    if (!this->confirmedAt || *this->confirmedAt < asked) {
        return version_lookup::Unconfirmed{};
    }
    return version_lookup::Found{*only, false};
}

std::optional<SoftwareVersion> StreamOrigins::find(const RequestId &request, const ServiceId &service) const
{
    const auto stream = this->streams.find(request);
    const bool isKnown = stream != this->streams.end() && stream->second.service == service;
    return isKnown ? std::optional(stream->second.version) : std::nullopt;
}

bool StreamOrigins::isOfAnother(const RequestId &request, const WorkspaceId &workspace) const
{
    const auto stream = this->streams.find(request);
    return stream != this->streams.end() && stream->second.workspace != workspace;
}

std::optional<SoftwareVersion> StreamOrigins::onlyVersion(const ServiceId &service, Instant now) const
{
    const auto versions = this->services.find(service);
    if (versions == this->services.end()) {
        return std::nullopt;
    }
    const bool hasSeenAll = this->options.isFirstStart || now - versions->second.since > this->memory();
    const auto found = this->possible(versions->second, now);
    return hasSeenAll && found.size() == 1 ? std::optional(found.front()) : std::nullopt;
}

std::vector<BegunStream> StreamOrigins::begun(Instant now) const
{
    std::vector<BegunStream> found;
    for (const auto &[request, stream] : this->streams) {
        if (now - stream.since <= this->options.keep && this->isMixed(stream.service, now)) {
            found.push_back(stream);
        }
    }
    return found;
}

bool StreamOrigins::isMoreMixed(Instant now)
{
    std::set<ServiceId> mixed;
    for (const auto &[service, versions] : this->services) {
        if (this->possible(versions, now).size() > 1) {
            mixed.insert(service);
        }
    }
    const bool isMore =
        !std::includes(this->mixedServices.begin(), this->mixedServices.end(), mixed.begin(), mixed.end());
    this->mixedServices = std::move(mixed);
    return isMore;
}

std::vector<BegunStream> StreamOrigins::takeNew(Instant now)
{
    std::vector<BegunStream> taken = std::exchange(this->newStreams, {});
    return this->isMoreMixed(now) ? this->begun(now) : taken;
}

} // namespace fescuesill
