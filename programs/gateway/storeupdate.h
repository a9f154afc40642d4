#pragma once

// What the store watcher reports to the forwarding thread.

#include "decide/routingconfig.h"
#include "promise/endpointregistry.h"
#include "promise/leadership.h"
#include "wire/linkid.h"
#include "wire/messages.h"

#include <memory>
#include <optional>
#include <variant>
#include <vector>

namespace fescuesill
{

namespace store_update
{
struct Config {
    std::shared_ptr<const RoutingConfig> config;
};
// The configuration was the newest at that instant, of the clock that also advances while the host is suspended.
struct ConfigCurrent {
    Instant at;
};
struct Listed {
    std::vector<EndpointRecord> records;
};
struct Changed {
    EndpointRecord record;
};
struct Removed {
    EndpointId id;
};
// The row of that key names no endpoint.
struct Unreadable {
    EndpointId id;
};
// Endpoints may have come and gone since the last update without being in one.
struct Missed {
};
// The answer to StoreWatcher::checkRegistry(), after the changes that the check found. Empty if the registry can't be
// read: then the check has failed.
struct RegistryChecked {
    std::optional<Instant> at; // all changes until then are known; of the clock that also advances while suspended
};
// The current leader, according to the last read of the lease; empty if none is known.
struct Leader {
    std::optional<LeaseRow> holder;
    bool isSelf = false;
    RowVersion term; // the version of the lease
};
// A message for the hosts that follow this one.
struct PeerUpdate {
    peer::Message message;
    std::optional<LinkId> follower; // to all if empty
};
// A message for the leader, from a host that reads the store for it.
struct LeaderUpdate {
    peer::Message message;
};
// Whether this host's own reads of the registry succeed. Sent only while other hosts follow this one.
struct OwnReads {
    bool isWorking = false;
};
// The registry can't be read by this host, nor by the host that it follows; or it can be read again.
struct Lost {
};
struct Restored {
    Instant lastFailure; // the start of the last read that failed; the store returned after it
};
} // namespace store_update

using StoreUpdate =
    std::variant<store_update::Config, store_update::Listed, store_update::Changed, store_update::Removed,
                 store_update::Unreadable, store_update::Missed, store_update::RegistryChecked, store_update::Lost,
                 store_update::Restored, store_update::Leader, store_update::PeerUpdate, store_update::LeaderUpdate,
                 store_update::OwnReads, store_update::ConfigCurrent>;

} // namespace fescuesill
