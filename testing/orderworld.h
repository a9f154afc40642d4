#pragma once

// Orders to one engine in virtual time: an old owner and its successor, who wish for different roles, each with a loop
// that compares report and wish.
//
//     OrderWorld world(run, checksFencing);
//     world.runToEnd();
//     world.broken();        // empty, or what went wrong

#include "promise/engineordering.h"
#include "testing/simulation.h"

#include <memory>

namespace fescuesill
{

class OrderWorld
{
public:
    OrderWorld(FaultRun &run, bool checksFencing);

    void runToEnd();
    std::string broken() const;
    std::string outcome() const;

private:
    struct Owner {
        Owner(Simulation &simulation, FaultRun &run, int number, std::string wish);
        SimProcess process;
        HostId id;
        std::string wish;
        int number;
        int orders = 0;
        std::unique_ptr<EngineOrdering> ordering;
        bool owns = true;
        Instant lastActive;
    };

    void reconcile(Owner &owner);
    void replaceQuietOwner();
    void step(Owner &owner, const OrderEvent &event);
    void perform(Owner &owner, const OrderAction &action);
    OrderEvent engineTakes(const Owner &owner, FencingNumber fencing);

    FaultRun &run;
    bool checksFencing;
    Simulation simulation;
    SimTable table;
    std::vector<std::unique_ptr<Owner>> owners;
    std::string value = "decode";
    FencingNumber highestSeen;
    int lateOrders = 0; // of the old owner, after an order of the new one
    bool newOwnerOrdered = false;
};

} // namespace fescuesill
