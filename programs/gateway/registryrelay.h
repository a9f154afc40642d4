#pragma once

// What a host forwards of the registry to the hosts that follow it. No I/O: the caller reads the store and sends.
//
//     RegistryRelay relay;
//     relay.onListed(rows, version);              // the whole table
//     relay.onChanged(rows, before, version);     // the rows that changed after `before`
//     if (const auto update = relay.nextUpdate()) { ... send it to all followers ... }
//     relay.addFollower(link, knownVersion);
//     for (const auto &[link, update] : relay.followerUpdates()) { ... send it to that follower ... }

#include "platform/storeclient.h"
#include "programs/gateway/recentrows.h"
#include "wire/linkid.h"

#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace fescuesill
{

class RegistryRelay
{
public:
    static constexpr std::size_t maxNewFollowers = 4096; // hosts that connect to a new leader at the same time

    void onListed(const std::vector<StoreRow> &rows, std::int64_t version);
    void onChanged(const std::vector<StoreRow> &rows, std::int64_t before, std::int64_t version);
    // The host that forwards to this one has missed changes up to that version.
    void onGap(std::int64_t version);
    // The changes since the last update to all followers; empty if there are none. If more rows changed than are kept,
    // the update starts at the current version, and followers that are behind it read the table themselves.
    std::optional<peer::RegistryUpdate> nextUpdate();
    // All changes after that version; empty if they are no longer held, or if the version is newer than this host's.
    std::optional<peer::RegistryUpdate> changesAfter(std::int64_t version) const;
    // Counts all changes up to now as forwarded.
    void skip();

    void addFollower(LinkId link, std::uint64_t version);
    void removeFollowers();
    // The first update of each new follower. One that is newer than this host is kept until this host has caught up.
    // One that is older than the changes kept here gets an update that starts after its version, and reads the store
    // itself.
    std::vector<std::pair<LinkId, peer::RegistryUpdate>> followerUpdates();

private:
    std::map<std::string, std::int64_t> present; // the rows of the table, with their versions
    RecentRows recent;
    std::optional<std::int64_t> newest; // empty before the first read of the table
    std::int64_t forwarded = 0; // version at the end of the last update to all followers
    std::map<LinkId, std::uint64_t> newFollowers; // without an update yet, with the version that each has
};

} // namespace fescuesill
