// Rows of one transaction share a version. Where the bound drops some of them, the version counts as dropped whole: a
// host that has less is not served, and one that has it needs none of them.

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
    if (this->rows.empty() && this->since == 0) {
        this->since = before;
    }
    this->rows.insert(this->rows.end(), changed.begin(), changed.end());
    this->newest = std::max(this->newest, version);
    while (this->rows.size() > mostRows) {
        this->since = static_cast<std::int64_t>(this->rows.front().version);
        this->rows.pop_front();
    }
}

bool RecentRows::reaches(std::int64_t version) const
{
    return version >= this->since && version <= this->newest;
}

peer::RegistryUpdate RecentRows::after(std::int64_t version) const
{
    const auto first = static_cast<std::uint64_t>(version);
    peer::RegistryUpdate news{first, static_cast<std::uint64_t>(this->newest), {}};
    for (const peer::RegistryRow &row : this->rows) {
        if (row.version > first) {
            news.rows.push_back(row);
        }
    }
    return news;
}

} // namespace fescuesill
