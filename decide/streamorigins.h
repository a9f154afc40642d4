#pragma once

// Remembers which software version began each stream, so that a stream that its caller takes up, at whatever host,
// goes on at that version or is refused.
//
//     StreamOrigins origins(StreamOrigins::Options{});
//     origins.onListed(service, versions, now);               // the versions that serve, whenever they change
//     origins.onBegun({id, service, version, now}, now);      // an engine has reserved a place for the stream
//     origins.onOutdated(now);                                // changes of the lists may have been missed
//     origins.onConfirmed(readAt);                            // the lists were complete at that instant
//     std::visit(Overloaded{
//         [](const version_lookup::Found &found) { ... the stream may go on at found.version ... },
//         [](version_lookup::Unconfirmed) { ... confirm the lists, then ask again ... },
//         [](version_lookup::Unknown) { ... it must not go on ... }},
//         origins.lookUp(id, service, askedAt, now));
//     for (const BegunStream &stream : origins.takeNew(now)) { ... report it to the deputy ... }

#include "fescuesill/ids.h"
#include "fescuesill/units.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <variant>
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

namespace version_lookup
{
struct Found {
    SoftwareVersion version;
    bool isReported = false; // otherwise it is the only one that can have begun the stream
};
// Only one version is listed, but the lists may be older than the stream.
struct Unconfirmed {
};
struct Unknown {
};
} // namespace version_lookup

using VersionLookup = std::variant<version_lookup::Found, version_lookup::Unconfirmed, version_lookup::Unknown>;

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
    void onListed(const ServiceId &service, const std::set<SoftwareVersion> &versions, Instant now)
    {
        this->onListed(service, versions, versions, now);
    }
    // The same. `seen`: all versions that were listed since the last call, also those that are listed no more.
    void onListed(const ServiceId &service, const std::set<SoftwareVersion> &versions,
                  const std::set<SoftwareVersion> &seen, Instant now);
    void onBegun(const BegunStream &stream, Instant now);
    // The same for one that other hosts know already, so that it is not among the new ones.
    void onKnown(const BegunStream &stream, Instant now);

    // From the last list until now, versions may have served that this host has not seen.
    void onOutdated(Instant now);
    // All engines that were listed at that instant, of the clock that also advances while the host is suspended, are in
    // the lists or have been.
    void onConfirmed(Instant at);

    // The version that began the stream, for a caller that takes it up. `asked`: when the caller's request was first
    // known here, or earlier, by the clock of onConfirmed(). All other instants are of the other clock.
    VersionLookup lookUp(const RequestId &request, const ServiceId &service, Instant asked, Instant now) const;
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
    // Those of them that were reported since the last call, and all of them where a service has several versions for
    // the first time: streams that began before then may be taken up as well.
    std::vector<BegunStream> takeNew(Instant now);

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
    // Whether a service has several versions that had a single one at the last call.
    bool isMoreMixed(Instant now);

    Options options;
    std::optional<Instant> confirmedAt; // the lists were complete
    std::map<ServiceId, Versions> services; // of the current or an earlier configuration
    std::unordered_map<RequestId, BegunStream> streams;
    std::deque<std::pair<Instant, RequestId>> byAge; // may name streams that were reported again later
    std::set<ServiceId> mixedServices; // with several versions, at the last call of takeNew()
    std::vector<BegunStream> newStreams; // of services with several versions, until they are taken
};

} // namespace fescuesill
