// A change applies to the one row that it was made from, and its result is compared with the digest of the row that it
// leads to. So a host is at one row of the store or at another, never between two, whatever news it missed, got twice
// or late. Only later rows are taken, so nothing reverts.
//
// News may overtake a read of the row that it leads on from: a large row takes seconds on a slow link. Such a change
// waits for the row, which then need not be read once more.

#include "programs/gateway/configreplica.h"

#include "wire/log.h"
#include "wire/routingchangecodec.h"

namespace fescuesill
{
namespace
{

// More routes are read from the store, which has more room on its links than a leader has on its own.
constexpr std::size_t mostChangedRoutes = 500;

std::uint64_t numberOf(RowVersion row)
{
    return static_cast<std::uint64_t>(row.value());
}

RowVersion rowOf(std::uint64_t number)
{
    return RowVersion(static_cast<std::int64_t>(number));
}

} // namespace

peer::ConfigUpdate newsOf(const ConfigStep &step)
{
    peer::ConfigUpdate news{numberOf(step.row), numberOf(step.beforeRow), {}};
    if (step.before) {
        const RoutingChange change = changeBetween(*step.before, *step.config);
        if (change.set.size() + change.removed.size() <= mostChangedRoutes) {
            news.change = encodeRoutingChange(change);
        }
    }
    return news;
}

std::optional<ConfigStep> ConfigReplica::takeRow(RowVersion row, std::shared_ptr<const RoutingConfig> decoded)
{
    if (row <= this->newestRow) {
        return std::nullopt;
    }
    this->newestRow = row;
    if (!decoded) {
        return std::nullopt;
    }
    ConfigStep step{this->heldRow, this->held, row, decoded};
    this->held = std::move(decoded);
    this->heldRow = row;
    this->applyWaiting();
    step.row = this->heldRow;
    step.config = this->held;
    return step;
}

ConfigReplica::NewsOutcome ConfigReplica::takeNews(const peer::ConfigUpdate &news)
{
    const RowVersion row = rowOf(news.rowVersion);
    if (row <= this->newestRow) {
        return NewsOutcome::Known;
    }
    if (news.change.empty()) {
        return NewsOutcome::RowNeeded;
    }
    const RowVersion from = rowOf(news.after);
    if (this->held && from == this->heldRow) {
        if (!this->apply(row, news.change)) {
            return NewsOutcome::RowNeeded;
        }
        this->applyWaiting();
        return NewsOutcome::Applied;
    }
    if (this->waiting.size() < mostWaiting) {
        this->waiting.insert_or_assign(from, Waiting{row, news.change});
    }
    return NewsOutcome::RowNeeded;
}

bool ConfigReplica::apply(RowVersion row, const std::string &change)
{
    const auto decoded = decodeRoutingChange(change);
    if (!decoded) {
        Log::warning("config_change_refused", {{"row", row.value()}, {"reason", decoded.error().what()}});
        return false;
    }
    auto changed = applyChange(*this->held, *decoded);
    if (!changed) {
        Log::warning("config_change_refused", {{"row", row.value()}, {"reason", changed.error().text}});
        return false;
    }
    Log::info("config_changed",
              {{"row", row.value()},
               {"after", this->heldRow.value()},
               {"bytes", static_cast<std::int64_t>(change.size())},
               {"set", static_cast<std::int64_t>(decoded->set.size())},
               {"removed", static_cast<std::int64_t>(decoded->removed.size())}});
    this->held = std::make_shared<const RoutingConfig>(std::move(*changed));
    this->heldRow = row;
    this->newestRow = row;
    return true;
}

void ConfigReplica::applyWaiting()
{
    this->waiting.erase(this->waiting.begin(), this->waiting.lower_bound(this->heldRow));
    for (auto next = this->waiting.find(this->heldRow); next != this->waiting.end();
         next = this->waiting.find(this->heldRow)) {
        const Waiting change = std::move(next->second);
        this->waiting.erase(next);
        if (change.row <= this->newestRow || !this->apply(change.row, change.change)) {
            return;
        }
    }
}

} // namespace fescuesill
