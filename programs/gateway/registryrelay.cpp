// A host lists the table at its start and where the store no longer keeps the changes since its last read. A later list
// is compared with the rows known here and forwarded as changes: if each follower had to list the table as well, a
// store that drops its history would be called twice by each host of the fleet.
//
// A list does not show rows that came and went since the last read. Followers are notified of that as well, since a
// host that may have missed an endpoint infers nothing about the versions that served.
//
// An update starts where the last one ended, since the store's version moves on without changes of this table.

#include "programs/gateway/registryrelay.h"

#include <algorithm>

namespace fescuesill
{
namespace
{

peer::RegistryRow messageOf(const StoreRow &row)
{
    return {static_cast<std::uint64_t>(row.version), row.key, row.value, row.isRemoved};
}

} // namespace

void RegistryRelay::onListed(const std::vector<StoreRow> &rows, std::int64_t version)
{
    std::map<std::string, std::int64_t> listed;
    std::vector<peer::RegistryRow> changed;
    for (const StoreRow &row : rows) {
        listed[row.key] = row.version;
        const auto known = this->present.find(row.key);
        if (known == this->present.end() || known->second < row.version) {
            changed.push_back(messageOf(row));
        }
    }
    for (const auto &[key, known] : this->present) {
        if (listed.count(key) == 0) {
            changed.push_back({static_cast<std::uint64_t>(version), key, {}, true});
        }
    }
    std::sort(changed.begin(), changed.end(),
              [](const peer::RegistryRow &one, const peer::RegistryRow &other) { return one.version < other.version; });
    this->present = std::move(listed);
    if (!this->newest) {
        this->recent.restart(version);
        this->forwarded = version;
    } else {
        this->recent.add(changed, *this->newest, version);
        this->recent.onGap(version);
    }
    this->newest = std::max(this->newest.value_or(version), version);
}

void RegistryRelay::onGap(std::int64_t version)
{
    this->recent.onGap(version);
}

void RegistryRelay::onChanged(const std::vector<StoreRow> &rows, std::int64_t before, std::int64_t version)
{
    std::vector<peer::RegistryRow> changed;
    changed.reserve(rows.size());
    for (const StoreRow &row : rows) {
        changed.push_back(messageOf(row));
        if (row.isRemoved) {
            this->present.erase(row.key);
        } else {
            this->present[row.key] = row.version;
        }
    }
    this->recent.add(changed, before, version);
    this->newest = std::max(this->newest.value_or(version), version);
}

std::optional<peer::RegistryUpdate> RegistryRelay::nextUpdate()
{
    if (!this->newest) {
        return std::nullopt;
    }
    const bool isGap = !this->recent.covers(this->forwarded);
    peer::RegistryUpdate update = this->recent.after(isGap ? *this->newest : this->forwarded);
    if (update.rows.empty() && !isGap && !update.hasGap) {
        return std::nullopt;
    }
    this->forwarded = *this->newest;
    return update;
}

std::optional<peer::RegistryUpdate> RegistryRelay::changesAfter(std::int64_t version) const
{
    return this->recent.covers(version) ? std::optional(this->recent.after(version)) : std::nullopt;
}

void RegistryRelay::skip()
{
    this->forwarded = this->newest.value_or(this->forwarded);
}

void RegistryRelay::addFollower(LinkId link, std::uint64_t version)
{
    if (this->newFollowers.size() < maxNewFollowers) {
        this->newFollowers[link] = version;
    }
}

void RegistryRelay::removeFollowers()
{
    this->newFollowers.clear();
}

std::vector<std::pair<LinkId, peer::RegistryUpdate>> RegistryRelay::followerUpdates()
{
    std::vector<std::pair<LinkId, peer::RegistryUpdate>> updates;
    for (auto follower = this->newFollowers.begin(); follower != this->newFollowers.end();) {
        const auto current = follower++;
        const auto has = static_cast<std::int64_t>(current->second);
        if (!this->newest || has > *this->newest) {
            continue;
        }
        updates.emplace_back(current->first, this->recent.after(this->recent.covers(has) ? has : *this->newest));
        this->newFollowers.erase(current);
    }
    return updates;
}

} // namespace fescuesill
