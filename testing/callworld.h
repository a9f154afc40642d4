#pragma once

// One booking in virtual time: a caller that repeats its key at the next entry, entries that run Attempt, the ledger's
// table and an endpoint, and an operator who settles the row. Everything goes into a history.
//
//     CallWorld world(run, CallWorld::Options{});
//     world.runToEnd();
//     HistoryChecker({}).check(world.history);

#include "promise/attempt.h"
#include "promise/ledgersettlement.h"
#include "testing/history.h"
#include "testing/simulation.h"

#include <memory>

namespace fescuesill
{

class CallWorld
{
public:
    struct Options {
        bool resultQuery = false;
        int tries = 7; // of the caller, the last one after six days, within Attempt::Options::retention
        // An operator looks at the endpoint once the caller has given up, and settles the row by what stands there
        // then.
        bool operatorSettles = false;
    };

    CallWorld(FaultRun &run, Options options);

    void runToEnd();

    History history;
    // answered, ran, unknown, stated not run, stated not run and ran, not run, gone
    std::string outcome() const;
    int tableWrites = 0;
    // What the operator was told and is not so; empty: nothing.
    std::string falsehood() const;

private:
    struct Operator {
        Operator(Simulation &simulation, FaultRun &run, LedgerSettlement settlement)
            : process(simulation, run, operatorActor)
            , settlement(std::move(settlement))
        {
        }
        SimProcess process;
        LedgerSettlement settlement;
        std::optional<SettlementOutcome> told;
    };
    static constexpr int operatorActor = 100;

    struct Entry {
        Entry(Simulation &simulation, FaultRun &run, int actor, AttemptCall call)
            : process(simulation, run, actor)
            , attempt(std::move(call), {})
        {
        }
        SimProcess process;
        Attempt attempt;
        RequestId request;
        int number = 0;
    };

    void callerSends();
    void callerComesBack(int number, Duration wait);
    void callerHears(int number, const std::variant<EndpointAnswer, Refusal> &with);
    void step(Entry &entry, const AttemptEvent &event);
    void perform(Entry &entry, const AttemptAction &action);
    void operatorLooks();
    void stepOperator(const SettlementAction &action);
    EndpointAnswer execute(const RequestId &request);

    FaultRun &run;
    FaultRun calm{{}};
    Options options;
    Simulation simulation;
    SimTable table;
    std::vector<std::unique_ptr<Entry>> entries;
    std::unique_ptr<Operator> settling;
    std::optional<EndpointAnswer> result; // the endpoint's first, under the key
    int executions = 0;
    int current = 0; // the try whose reply the caller waits for; 0 when it waits for none
    bool done = false;
    std::string state = "unknown";
};

} // namespace fescuesill
