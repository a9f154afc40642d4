#pragma once

// Remembers which software version began each stream, so that a stream that its caller takes up, at whatever host,
// goes on at that version or is refused.
//
//     StreamOrigins origins(StreamOrigins::Options{});
//     origins.onListed(service, versions, now);               // the versions that serve, whenever they change
//     origins.onBegun({id, service, version, now}, now);      // an engine has reserved a place for the stream
//     const auto version = origins.find(id, service, now);    // empty: unknown, so the stream must not go on
//     for (const BegunStream &stream : origins.begun(now)) { ... tell another host ... }

#include "fescuesill/ids.h"
#include "fescuesill/units.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace fescuesill
{

struct BegunStream {
    RequestId request; // that brought, or may bring, the first event
    ServiceId service;
    SoftwareVersion version;
    Instant since;
};

class StreamOrigins
{
public:
    struct Options {
        // Longer than callers wait for a stream, from their first request to the end of the last.
        Duration keep{30s};
        // How long a version may still have begun streams after it was last listed: at hosts that learn late that its
        // engines left. Added to `keep`.
        Duration lateListing{15s};
        std::size_t maxStreams = 200000; // a hundred bytes each; beyond this the oldest are forgotten
        // All hosts start together for the first time, so no stream is older than this process.
        bool isFirstStart = false;
    };

    explicit StreamOrigins(const Options &given)
        : options(given)
    {
    }

    // Sets the versions of all engines that the service lists, also of those that are leaving.
    void onListed(const ServiceId &service, const std::set<SoftwareVersion> &versions, Instant now);
    void onBegun(const BegunStream &stream, Instant now);

    // The version that began the stream. Of a stream that was never reported, it is known only if no other version has
    // served for longer than a stream lives.
    std::optional<SoftwareVersion> find(const RequestId &request, const ServiceId &service, Instant now) const;
    // Whether several versions may have begun streams that still live.
    bool isMixed(const ServiceId &service, Instant now) const;
    // The remembered streams of services with several versions. Those of others need not be told to anybody.
    std::vector<BegunStream> begun(Instant now) const;

private:
    struct Versions {
        Instant since; // of the first list
        std::map<SoftwareVersion, std::optional<Instant>> lastListed; // empty while it is listed
    };

    Duration memory() const
    {
        return this->options.keep + this->options.lateListing;
    }
    // The versions that may have begun streams that still live.
    std::vector<SoftwareVersion> possible(const Versions &versions, Instant now) const;
    void expire(Instant now);

    Options options;
    std::map<ServiceId, Versions> services; // of the current or an earlier configuration
    std::unordered_map<RequestId, BegunStream> streams;
    std::deque<std::pair<Instant, RequestId>> byAge; // may name streams that were reported again later
};

} // namespace fescuesill
