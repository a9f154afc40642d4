#pragma once

// One host's copy of the routing configuration, kept current by reads of the store and by updates from the leader.
//
//     ConfigReplica replica;
//     if (const auto step = replica.takeRow(row, decoded)) {        // read from the store
//         use(step->config);
//         send(updateOf(*step));                                    // on the leader, to its followers
//     }
//     if (replica.takeUpdate(update) == ConfigReplica::UpdateOutcome::RowNeeded) { ... read the row ... }

#include "decide/routingconfig.h"
#include "wire/messages.h"

#include <map>
#include <memory>
#include <optional>

namespace fescuesill
{

// The step from one row of the store to a later one. `before` is null for the first row.
struct ConfigStep {
    RowVersion beforeRow;
    std::shared_ptr<const RoutingConfig> before;
    RowVersion row;
    std::shared_ptr<const RoutingConfig> config;
};

// The message for followers: the row's version, and the change from the previous row if that is small. Before the first
// row the configuration is empty, so the change contains all of it.
peer::ConfigUpdate updateOf(const ConfigStep &step);

class ConfigReplica
{
public:
    static constexpr std::size_t maxPendingChanges = 16; // changes whose base row has not been read yet

    enum class UpdateOutcome {
        Known, // this host already has that row or a later one
        Applied,
        RowNeeded, // the row must be read from the store
    };

    // Takes a row that was read; `decoded` is null if the row could not be decoded. Returns nothing if the row is not
    // newer than the last one or could not be decoded.
    std::optional<ConfigStep> takeRow(RowVersion row, std::shared_ptr<const RoutingConfig> decoded);
    UpdateOutcome takeUpdate(const peer::ConfigUpdate &update);

    const std::shared_ptr<const RoutingConfig> &config() const
    {
        return this->held;
    }
    // False if the newest row could not be decoded.
    bool isNewestHeld() const
    {
        return this->held && this->heldRow == this->newestRow;
    }
    // The newest row that was read or reached by a change, even if it could not be decoded.
    RowVersion row() const
    {
        return this->newestRow;
    }

private:
    struct PendingChange {
        RowVersion row; // the row that results from the change
        std::string change;
    };

    bool apply(const RoutingConfig &base, RowVersion row, const std::string &change);
    void applyPendingChanges();

    std::shared_ptr<const RoutingConfig> held;
    RowVersion heldRow;
    RowVersion newestRow;
    std::map<RowVersion, PendingChange> pendingChanges; // by base row
};

} // namespace fescuesill
