#pragma once

// Remembers which software version began each stream, so that a stream that its caller takes up, at whatever host,
// goes on at that version or is refused.
//
//     StreamOrigins origins(StreamOrigins::Options{});
//     origins.onListed(service, versions, now);               // the versions that serve, whenever they change
//     origins.onBegun({id, service, version, now}, now);      // an engine has reserved a place for the stream
//     auto version = origins.find(id, service);               // empty: nobody has reported the stream here
//     version = version ? version : origins.onlyVersion(service, now); // empty: unknown, so it must not go on
//     origins.onOutdated(now);                                // the lists of versions can't be read
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
    WorkspaceId workspace = {}; // on whose behalf it runs; empty if it has none
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

    // From the last list until now, versions may have served that this host has not seen.
    void onOutdated(Instant now);

    // The reported version of a stream.
    std::optional<SoftwareVersion> find(const RequestId &request, const ServiceId &service) const;
    // Whether the stream was reported as begun on behalf of another workspace, which alone may take it up.
    bool isOfAnother(const RequestId &request, const WorkspaceId &workspace) const;
    // The version of every stream that still lives, if no other has served for longer than a stream lives.
    std::optional<SoftwareVersion> onlyVersion(const ServiceId &service, Instant now) const;
    // Whether several versions may have begun streams that still live.
    bool isMixed(const ServiceId &service, Instant now) const;
    // The remembered streams of services with several versions. Those of others need not be told to anybody.
    std::vector<BegunStream> begun(Instant now) const;

private:
    struct Versions {
        Instant since; // this host has seen all versions since then
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
