// A wrong answer mixes versions in a stream, so whatever is not known counts as unknown: a stream that no host has
// reported here, while several versions may have begun it, and any such stream for some time after this host has
// started or could not read the lists, since it has not seen which versions served before.

#include "decide/streamorigins.h"

namespace fescuesill
{

void StreamOrigins::onListed(const ServiceId &service, const std::set<SoftwareVersion> &versions, Instant now)
{
    const auto [found, isNew] = this->services.try_emplace(service, Versions{now, {}});
    auto &lastListed = found->second.lastListed;
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

} // namespace fescuesill
