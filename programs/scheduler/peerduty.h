#pragma once

// The duty that speaks with other processes: probes between schedulers, the spread of the configuration, and the links
// of entries. One thread.
//
//     auto peers = PeerDuty::create(options, [&](DirectorEvent &&event) { return decisions.push(std::move(event)); });
//     peers->start();
//     peers->push(PeerEvent(TableConfig{record}));         // from the platform's duty; false: ring full
//     peers->send(link, message);                          // from the deciding duty
//     peers->status();

#include "programs/scheduler/directormessages.h"
#include "promise/configstore.h"
#include "promise/membership.h"
#include "promise/tablereading.h"
#include "wire/platformclient.h"
#include "wire/probesocket.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace fescuesill
{

struct TableConfig {
    std::optional<ConfigRecord> record;
};
// Accepted by the table, as the operator's command says.
struct ToldConfig {
    ConfigRecord record;
};
// Read, and no higher than the version in force here.
struct TableUnchanged {
};
struct TableFailed {
};
struct HostList {
    std::vector<PlatformHost> hosts;
};
// This host leaves: its cells go to others.
struct LeaveFleet {
};

using PeerEvent =
    std::variant<TableConfig, ToldConfig, TableUnchanged, TableFailed, HostList, PublishSummary, LeaveFleet>;

struct PeerStatus {
    ConfigVersion version; // in force here
    bool isDeclarationMalformed = false; // a higher one is known and cannot be read
    ConfigService service = ConfigService::Learning;
    std::vector<MemberInfo> members;
    std::vector<peer::CellUpdate> cells;
    std::size_t owned = 0;
    std::size_t links = 0;
    std::size_t followers = 0; // entries that take their news here
    ProbeTraffic traffic;
    std::uint64_t refusedLinks = 0;
    std::uint64_t replacedConnections = 0;
    bool hasRefusedLately = false; // a link, for want of a proof
    bool tableReachable = false; // by the last read of this host itself
    std::optional<Duration> tableReadAge; // of the youngest read by anyone that is known of here
};

class PeerDuty
{
public:
    struct Options {
        HostId host;
        DataCentreId dataCentre;
        std::string address; // of links and probes
        std::shared_ptr<const KeyRing> keys = {}; // null: links and probes prove nothing
        std::size_t links = 2048; // of entries and schedulers
        std::vector<std::string> seeds; // other schedulers, for a start while the platform is down
        Membership::Options membership;
        ConfigStore::Options config;
        TableReading::Options reading;
        Duration tick{50ms};
        Duration news{1s}; // to entries, when nothing changed
        // Events from other duties; each brings a few a second.
        std::size_t ring = 4096;
    };

    using Decide = std::function<bool(DirectorEvent &&)>;

    static tl::expected<std::unique_ptr<PeerDuty>, WireError> create(Options options, Decide decide);
    ~PeerDuty();
    PeerDuty(const PeerDuty &) = delete;
    PeerDuty &operator=(const PeerDuty &) = delete;

    void start();
    bool push(PeerEvent &&event);
    void send(LinkId link, const peer::Message &message);
    PeerStatus status() const;
    // Whether the platform's duty is to read the configuration row now.
    bool isTableReadDue() const;

private:
    struct Impl;
    explicit PeerDuty(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> impl;
};

} // namespace fescuesill
