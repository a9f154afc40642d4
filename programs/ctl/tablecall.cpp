// A call that surely wrote nothing (refused, over the rate) and one without a reply are different events.

#include "tablecall.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <ctime>
#include <random>

namespace fescuesill::ctl
{

namespace
{

// Between two tries at a table that refuses or is silent.
constexpr Duration retryPause = 300ms;

} // namespace

TableEvent tryRead(Session &session, const std::string &key)
{
    try {
        const std::optional<Row> row = session.get(key);
        return table::RowRead{row ? std::optional<TableRow>({row->value, row->version}) : std::nullopt};
    } catch (const PlatformError &) {
        session.pause(retryPause);
        return table::ReadFailed{};
    }
}

TableEvent tryWrite(Session &session, const std::vector<TableWrite> &writes)
{
    std::vector<RowWrite> rows;
    rows.reserve(writes.size());
    for (const TableWrite &item : writes) {
        rows.push_back(RowWrite::put(item.key, item.value, item.ifVersion));
    }
    try {
        session.commit(rows);
        return table::Written{};
    } catch (const PlatformError &error) {
        if (const auto *conflict = std::get_if<Conflict>(&error.fault())) {
            return table::Conflict{TableRow{conflict->current.value, conflict->current.version}};
        }
        session.pause(retryPause);
        if (error.mayHaveTakenEffect()) {
            return table::NoReply{};
        }
        return table::Refused{};
    }
}

std::string newChangeId()
{
    std::random_device random;
    const std::uint64_t number = (static_cast<std::uint64_t>(random()) << 32U) | random();
    return fmt::format("{:%Y-%m-%dT%H:%M:%SZ}-{:016x}", fmt::gmtime(std::time(nullptr)), number);
}

} // namespace fescuesill::ctl
