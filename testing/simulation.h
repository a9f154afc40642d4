#pragma once

// Virtual time, a table that may be down, and processes whose actions meet faults.
//
//     Simulation simulation;
//     SimProcess process(simulation, run, 0);
//     process.act<Event>({"insert", true}, [&] { return effect(); }, noReply, refused, [&](Event e) { next(e); });
//     simulation.runUntilIdle();

#include "promise/tablerow.h"
#include "testing/faultplan.h"

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace fescuesill
{

class Simulation
{
public:
    void after(Duration delay, std::function<void()> what)
    {
        this->queue.emplace(this->now + delay, std::move(what));
    }
    void runUntilIdle()
    {
        while (!this->queue.empty()) {
            auto next = this->queue.extract(this->queue.begin());
            this->now = next.key();
            next.mapped()();
        }
    }

    Instant now{1000s};
    Instant tableDownUntil{};

private:
    std::multimap<Instant, std::function<void()>> queue; // equal times stay in order
};

// The platform's table: rows with versions, all-or-nothing commits.
class SimTable
{
public:
    using WriteResult = std::variant<table::Written, table::Conflict>;

    WriteResult commit(const std::vector<TableWrite> &writes)
    {
        for (const TableWrite &write : writes) {
            const auto row = this->rows.find(write.key);
            const RowVersion version = row == this->rows.end() ? absent : row->second.version;
            if (version != write.ifVersion) {
                return table::Conflict{this->read(write.key)};
            }
        }
        for (const TableWrite &write : writes) {
            this->rows[write.key] = TableRow{write.value, write.ifVersion + RowVersion(1)};
        }
        return table::Written{writes.front().ifVersion + RowVersion(1)};
    }
    std::optional<TableRow> read(const std::string &key) const
    {
        const auto row = this->rows.find(key);
        return row == this->rows.end() ? std::nullopt : std::optional<TableRow>(row->second);
    }

private:
    std::map<std::string, TableRow> rows;
};

struct SimAction {
    std::string kind;
    bool onTable = false;
    Duration timeout{500ms};
};

class SimProcess
{
public:
    SimProcess(Simulation &simulation, FaultRun &run, int actor)
        : simulation(simulation)
        , run(run)
        , actor(actor)
    {
    }

    // Performs the action under the fault that strikes it; done gets the event, unless the process has died.
    template<typename Event>
    void act(const SimAction &action, std::function<Event()> effect, Event noReply, Event refused,
             std::function<void(Event)> done)
    {
        const Fault fault = this->run.strike(this->actor, action.kind);
        this->startOutage(fault);
        if (fault == Fault::Cancel && this->onCancel) {
            this->onCancel();
        }
        if (fault == Fault::KillBefore) {
            this->alive = false;
            return;
        }
        const auto reach = [this, action, effect = std::move(effect), refused] {
            const bool down = action.onTable && this->simulation.now < this->simulation.tableDownUntil;
            return down ? refused : effect();
        };
        const auto finish = [this, done = std::move(done)](const Event &event) {
            if (this->alive) {
                done(event);
            }
        };
        const auto arrive = [this, reach, finish](Duration leaveAfter, Duration replyAfter) {
            this->simulation.after(leaveAfter + way, [this, reach, finish, replyAfter] {
                const Event event = reach();
                this->simulation.after(replyAfter, [finish, event] { finish(event); });
            });
        };
        const auto silence = [&] {
            this->simulation.after(action.timeout, [finish, noReply] { finish(noReply); });
        };
        switch (fault) {
        case Fault::KillAfter:
            arrive(Duration(0), way);
            this->simulation.after(way / 2, [this] { this->alive = false; });
            break;
        case Fault::FreezeBefore:
            arrive(frozen, way);
            break;
        case Fault::FreezeAfter:
            arrive(Duration(0), frozen);
            break;
        case Fault::FreezeForDays:
            arrive(Duration(0), 24h * 5);
            break;
        case Fault::Cut:
            silence();
            break;
        case Fault::LostReply:
            this->simulation.after(way, [reach] { reach(); });
            silence();
            break;
        case Fault::LateEffect:
            this->simulation.after(4s, [reach] { reach(); });
            silence();
            break;
        case Fault::Refused:
            this->simulation.after(way, [finish, refused] { finish(refused); });
            break;
        case Fault::Slow:
            arrive(Duration(0), action.timeout - 2 * way);
            break;
        default:
            arrive(Duration(0), way);
        }
    }

    bool alive = true;
    std::function<void()> onCancel;

private:
    static constexpr Duration way = 1ms; // from one process to another
    static constexpr Duration frozen = 20s;

    void startOutage(Fault fault)
    {
        if (fault == Fault::OutageShort) {
            this->simulation.tableDownUntil = this->simulation.now + 2s;
        } else if (fault == Fault::OutageLong) {
            this->simulation.tableDownUntil = this->simulation.now + 60s;
        }
    }

    Simulation &simulation;
    FaultRun &run;
    int actor;
};

} // namespace fescuesill
