// One thread runs every commit to its end, so a commit is trivially atomic: all conditions are looked at before the
// first write. Versions of one key go on counting after a delete, so that a reader who missed the delete sees that the
// row is another one.
//
// The log is kept whole: it is what a history checker reads, and a test run writes some ten thousand rows.

#include "testing/fakeplatform/table.h"

#include <algorithm>
#include <chrono>

namespace fescuesill::standin
{

CommitResult Table::commit(const std::vector<TableWrite> &writes)
{
    for (std::size_t i = 0; i < writes.size(); ++i) {
        const TableWrite &write = writes[i];
        if (write.ifVersion && *write.ifVersion != this->currentVersion(write.key)) {
            return CommitConflict{i, this->row(write.key).value_or(TableRow{write.key, nullptr, 0})};
        }
    }
    const auto time = std::chrono::steady_clock::now().time_since_epoch();
    const auto microseconds = std::chrono::duration_cast<std::chrono::microseconds>(time).count();
    std::vector<std::int64_t> written;
    ++this->commits;
    for (const TableWrite &write : writes) {
        const std::int64_t version = ++this->versions[write.key];
        if (write.isDelete) {
            this->live.erase(write.key);
        } else {
            this->live[write.key] = TableRow{write.key, write.value, version};
        }
        const auto sequence = static_cast<std::int64_t>(this->records.size()) + 1;
        this->records.push_back({sequence, microseconds, this->commits, write, version});
        written.push_back(version);
    }
    return written;
}

std::optional<TableRow> Table::row(const std::string &key) const
{
    const auto found = this->live.find(key);
    return found == this->live.end() ? std::nullopt : std::optional<TableRow>(found->second);
}

std::vector<TableRow> Table::rows(const std::string &prefix, const std::string &after, std::size_t limit) const
{
    std::vector<TableRow> found;
    auto next = after < prefix ? this->live.lower_bound(prefix) : this->live.upper_bound(after);
    for (; next != this->live.end() && found.size() < limit; ++next) {
        if (next->first.compare(0, prefix.size(), prefix) != 0) {
            break;
        }
        found.push_back(next->second);
    }
    return found;
}

std::vector<LogRecord> Table::log(std::int64_t after, std::size_t limit) const
{
    const auto first = std::clamp<std::int64_t>(after, 0, static_cast<std::int64_t>(this->records.size()));
    const auto count = std::min(limit, this->records.size() - static_cast<std::size_t>(first));
    return {this->records.begin() + first, this->records.begin() + first + static_cast<std::ptrdiff_t>(count)};
}

std::int64_t Table::currentVersion(const std::string &key) const
{
    const auto found = this->live.find(key);
    return found == this->live.end() ? 0 : found->second.version;
}

} // namespace fescuesill::standin
