#pragma once

// A configuration change in virtual time: two operators who start from one version, four hosts that read the table, ask
// each other and take work, and the table.
//
//     ConfigWorld world(run, TableReaders::All);
//     world.runToEnd();
//     HistoryChecker({}).check(world.history);

#include "promise/configchange.h"
#include "promise/configstore.h"
#include "promise/tablereading.h"
#include "testing/history.h"
#include "testing/simulation.h"

#include <memory>

namespace fescuesill
{

// Who reads the table. With Two, hosts 0 and 1 read for all and faults strike both; the others read themselves only
// where they cannot rely on that (promise/tablereading.h), or, with OnlyTwo, never reach the table.
enum class TableReaders {
    All,
    Two,
    OnlyTwo,
};

class ConfigWorld
{
public:
    ConfigWorld(FaultRun &run, TableReaders readers);

    void runToEnd();
    // Whether each operator was told the truth; otherwise what was wrong.
    std::string falsehood() const;
    std::string outcome() const;

    History history;

private:
    struct Operator {
        Operator(Simulation &simulation, FaultRun &run, int number);
        SimProcess process;
        ConfigRecord record;
        std::unique_ptr<ConfigChange> change;
        int asked = 0;
        std::optional<ConfigOutcome> told;
    };
    struct Host {
        Host(Simulation &simulation, FaultRun &run, int number);
        SimProcess process;
        HostId id;
        ConfigStore store;
        TableReading reading{{}};
        PeerReach reach;
        Instant cutUntil{};
        Instant frozenUntil{};
    };

    void operatorAsks(Operator &op);
    void operatorDoes(Operator &op, const ConfigChangeAction &action);
    void hostTicks(std::size_t index);
    void onHostFault(Host &host, Fault fault);
    void hostReadsTable(Host &host);
    void hostAsksPeers(Host &host);
    bool isReader(const Host &host) const;
    bool isReadDue(const Host &host) const;
    bool isCut(const Host &host) const;
    bool isFrozen(const Host &host) const;
    void noteAcceptance(const ConfigRecord &record);

    FaultRun &run;
    TableReaders readers;
    Simulation simulation;
    SimTable table;
    std::vector<std::unique_ptr<Operator>> operators;
    std::vector<std::unique_ptr<Host>> hosts;
    bool accepted = false; // and its operator was told so
};

} // namespace fescuesill
