// Rows of one transaction share a version. If the limit drops some of them, the whole version counts as dropped: a host
// that is older than this version is not served, and a host that has it needs none of its rows.

#include "programs/gateway/recentrows.h"

#include <algorithm>

namespace fescuesill
{

void RecentRows::restart(std::int64_t version)
{
    this->rows.clear();
    this->since = version;
    this->newest = version;
}

void RecentRows::add(const std::vector<peer::RegistryRow> &changed, std::int64_t before, std::int64_t version)
{
    if (!this->since) {
        this->since = before;
    }
    this->rows.insert(this->rows.end(), changed.begin(), changed.end());
    this->newest = std::max(this->newest, version);
    while (this->rows.size() > maxRows) {
        this->since = static_cast<std::int64_t>(this->rows.front().version);
        this->rows.pop_front();
    }
}

void RecentRows::onGap(std::int64_t version)
{
    this->gapEnd = std::max(this->gapEnd, version);
}

bool RecentRows::covers(std::int64_t version) const
{
    return this->since && version >= *this->since && version <= this->newest;
}

peer::RegistryUpdate RecentRows::after(std::int64_t version) const
{
    const auto first = static_cast<std::uint64_t>(version);
    peer::RegistryUpdate update{first, static_cast<std::uint64_t>(this->newest), {}, version < this->gapEnd};
    for (const peer::RegistryRow &row : this->rows) {
        if (row.version > first) {
            update.rows.push_back(row);
        }
    }
    return update;
}

} // namespace fescuesill
