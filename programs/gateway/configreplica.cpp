// A change applies only to the row that it was computed from, and its result is compared with the digest of the target
// row. The replica therefore always equals exactly one row of the store, even if updates are lost, duplicated or late.
// Only later rows are accepted, so the configuration never reverts.
//
// An update may arrive before the read of its base row completes, because a large row takes seconds on a slow link.
// Such a change is kept until the base row has been read, so that the row need not be read a second time.

#include "programs/gateway/configreplica.h"

#include "wire/log.h"
#include "wire/routingchangecodec.h"

namespace fescuesill
{
namespace
{

// Larger changes are read from the store, whose links have more bandwidth than the leader's.
constexpr std::size_t maxChangedItems = 500; // routes and workspaces

std::uint64_t numberOf(RowVersion row)
{
    return static_cast<std::uint64_t>(row.value());
}

RowVersion rowOf(std::uint64_t number)
{
    return RowVersion(static_cast<std::int64_t>(number));
}

// The configuration before the first row.
const RoutingConfig &emptyConfig()
{
    static const RoutingConfig empty;
    return empty;
}

} // namespace

peer::ConfigUpdate updateOf(const ConfigStep &step)
{
    peer::ConfigUpdate update{numberOf(step.row), numberOf(step.beforeRow), {}};
    const RoutingConfig &before = step.before ? *step.before : emptyConfig();
    if (step.config->routes.all().size() > before.routes.all().size() + maxChangedItems) {
        return update; // a comparison would only find that the change is too large
    }
    const RoutingChange change = changeBetween(before, *step.config);
    if (sizeOf(change) <= maxChangedItems) {
        update.change = encodeRoutingChange(change);
    }
    return update;
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
    this->applyPendingChanges();
    step.row = this->heldRow;
    step.config = this->held;
    return step;
}

ConfigReplica::UpdateOutcome ConfigReplica::takeUpdate(const peer::ConfigUpdate &update)
{
    const RowVersion row = rowOf(update.rowVersion);
    if (row <= this->newestRow) {
        return UpdateOutcome::Known;
    }
    if (update.change.empty()) {
        return UpdateOutcome::RowNeeded;
    }
    const RowVersion from = rowOf(update.after);
    const bool isComplete = from == RowVersion();
    if (isComplete || (this->held && from == this->heldRow)) {
        if (!this->apply(isComplete ? emptyConfig() : *this->held, row, update.change)) {
            return UpdateOutcome::RowNeeded;
        }
        this->applyPendingChanges();
        return UpdateOutcome::Applied;
    }
    if (this->pendingChanges.size() < maxPendingChanges) {
        this->pendingChanges.insert_or_assign(from, PendingChange{row, update.change});
    }
    return UpdateOutcome::RowNeeded;
}

bool ConfigReplica::apply(const RoutingConfig &base, RowVersion row, const std::string &change)
{
    const auto decoded = decodeRoutingChange(change);
    if (!decoded) {
        Log::warning("config_change_refused", {{"row", row.value()}, {"reason", decoded.error().what()}});
        return false;
    }
    auto changed = applyChange(base, *decoded);
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

void ConfigReplica::applyPendingChanges()
{
    this->pendingChanges.erase(this->pendingChanges.begin(), this->pendingChanges.lower_bound(this->heldRow));
    for (auto next = this->pendingChanges.find(this->heldRow); next != this->pendingChanges.end();
         next = this->pendingChanges.find(this->heldRow)) {
        const PendingChange change = std::move(next->second);
        this->pendingChanges.erase(next);
        if (change.row <= this->newestRow || !this->apply(*this->held, change.row, change.change)) {
            return;
        }
    }
}

} // namespace fescuesill
