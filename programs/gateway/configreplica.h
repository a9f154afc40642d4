#pragma once

// The routing configuration as one host has it, brought from row to row by reads of the store or by the leader's news.
//
//     ConfigReplica replica;
//     if (const auto step = replica.takeRow(row, decoded)) {        // read from the store
//         use(step->config);
//         send(newsOf(*step));                                      // on the leader, to its followers
//     }
//     if (replica.takeNews(news) == ConfigReplica::NewsOutcome::RowNeeded) { ... read the row ... }

#include "decide/routingconfig.h"
#include "wire/messages.h"

#include <map>
#include <memory>
#include <optional>

namespace fescuesill
{

// From one row of the store to a later one. `before` is null for the first.
struct ConfigStep {
    RowVersion beforeRow;
    std::shared_ptr<const RoutingConfig> before;
    RowVersion row;
    std::shared_ptr<const RoutingConfig> config;
};

// The row, and the change that leads to it where that is small.
peer::ConfigUpdate newsOf(const ConfigStep &step);

class ConfigReplica
{
public:
    static constexpr std::size_t mostWaiting = 16; // changes that wait for the row that they lead on from

    enum class NewsOutcome {
        Known, // this host has that row, or a later one
        Applied,
        RowNeeded, // it has to be read from the store
    };

    // A row as it was read, null where it could not be decoded. None where this host had it, or has nothing new by it.
    std::optional<ConfigStep> takeRow(RowVersion row, std::shared_ptr<const RoutingConfig> decoded);
    NewsOutcome takeNews(const peer::ConfigUpdate &news);

    const std::shared_ptr<const RoutingConfig> &config() const
    {
        return this->held;
    }
    // The newest row that was read or reached by a change, also where it could not be decoded.
    RowVersion row() const
    {
        return this->newestRow;
    }

private:
    struct Waiting {
        RowVersion row; // that the change leads to
        std::string change;
    };

    bool apply(RowVersion row, const std::string &change);
    void applyWaiting();

    std::shared_ptr<const RoutingConfig> held;
    RowVersion heldRow;
    RowVersion newestRow;
    std::map<RowVersion, Waiting> waiting; // by the row that each leads on from
};

} // namespace fescuesill
