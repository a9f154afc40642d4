#include "testing/configworld.h"

#include <fmt/format.h>

// Operators act through the table only. Hosts read it every two seconds, and ask every host that they reach for its
// version. Faults strike the operators' actions and the first ticks of host 0: a cut takes it from table and hosts for
// a minute, a freeze keeps it from doing anything, and it takes work the moment it thaws; a kill makes a new process
// five seconds later.

namespace fescuesill
{
namespace
{

constexpr int hostCount = 4;
constexpr int struckTicks = 3;
constexpr int firstHostActor = 10;
constexpr Duration tick = 2s;
constexpr Duration horizon = 150s;
constexpr Duration cutLength = 60s;
constexpr Duration freezeLength = 60s;
constexpr Duration restart = 5s;

ConfigRecord recordOf(std::int64_t version, const std::string &changeId)
{
    return {ConfigVersion(version), "eleni", "why", changeId, "text of " + changeId};
}

} // namespace

ConfigWorld::Operator::Operator(Simulation &simulation, FaultRun &run, int number)
    : process(simulation, run, number)
    , record(recordOf(4, fmt::format("change-{}", number)))
{
}

ConfigWorld::Host::Host(Simulation &simulation, FaultRun &run, int number)
    : process(simulation, run, firstHostActor + number)
    , id(fmt::format("host-{}", number))
    , store({}, simulation.now)
{
}

ConfigWorld::ConfigWorld(FaultRun &run, TableReaders readers)
    : run(run)
    , readers(readers)
{
    this->table.commit({{configCurrentKey, encode(recordOf(3, "change-0")), absent}});
}

void ConfigWorld::runToEnd()
{
    for (int number = 0; number < hostCount; ++number) {
        this->hosts.push_back(std::make_unique<Host>(this->simulation, this->run, number));
        this->simulation.after(10ms * number, [this, number] { this->hostTicks(number); });
    }
    this->simulation.after(5s, [this] {
        for (int number = 1; number <= 2; ++number) {
            this->operators.push_back(std::make_unique<Operator>(this->simulation, this->run, number));
            this->operatorAsks(*this->operators.back());
        }
    });
    this->simulation.runUntilIdle();
}

std::string ConfigWorld::falsehood() const
{
    const auto row = this->table.read(configHistoryKey(ConfigVersion(4)));
    const std::string winner = row ? decodeConfigRecord(row->value)->changeId : "";
    for (const auto &op : this->operators) {
        if (!op->told) {
            continue;
        }
        const bool won = op->record.changeId == winner;
        const bool saidYes = op->told == ConfigOutcome::Accepted;
        const bool saidNo = op->told == ConfigOutcome::Lost || op->told == ConfigOutcome::NotMade;
        if ((saidYes && !won) || (saidNo && won) || op->told == ConfigOutcome::Malformed) {
            return fmt::format("{} was told {} and the winner is '{}'", op->record.changeId,
                               static_cast<int>(*op->told), winner);
        }
    }
    return "";
}

std::string ConfigWorld::outcome() const
{
    return this->accepted ? "an operator was told accepted" : "none was";
}

void ConfigWorld::operatorAsks(Operator &op)
{
    ++op.asked;
    op.change = std::make_unique<ConfigChange>(op.record, ConfigVersion(3), ConfigChange::Options{});
    this->operatorDoes(op, op.change->start());
}

void ConfigWorld::operatorDoes(Operator &op, const ConfigChangeAction &action)
{
    const auto next = [this, &op](const ConfigChangeEvent &event) {
        this->operatorDoes(op, op.change->on(event));
    };
    if (const auto *read = std::get_if<config_action::Read>(&action)) {
        op.process.act<ConfigChangeEvent>(
            {"operator reads", true},
            [this, key = read->key]() -> ConfigChangeEvent { return table::RowRead{this->table.read(key)}; },
            table::ReadFailed{}, table::ReadFailed{}, next);
    } else if (const auto *write = std::get_if<config_action::Write>(&action)) {
        const auto effect = [this, writes = write->writes]() -> ConfigChangeEvent {
            const SimTable::WriteResult result = this->table.commit(writes);
            return std::visit([](const auto &written) -> ConfigChangeEvent { return written; }, result);
        };
        op.process.act<ConfigChangeEvent>({"operator writes", true}, effect, table::NoReply{}, table::Refused{}, next);
    } else {
        op.told = std::get<config_action::Finish>(action).outcome;
        if (op.told == ConfigOutcome::Accepted) {
            this->noteAcceptance(op.record);
        }
        const bool askAgain = op.told == ConfigOutcome::Unknown && op.asked < 3;
        if (askAgain) {
            this->simulation.after(61s, [this, &op] { this->operatorAsks(op); });
        }
    }
}

// The operator's command tells every host that it reaches what was accepted: if the table fails right after the commit,
// no host could read it.
void ConfigWorld::noteAcceptance(const ConfigRecord &record)
{
    this->accepted = true;
    this->history.add(this->simulation.now, history::ConfigAccepted{record.version, record.changeId});
    for (const auto &host : this->hosts) {
        if (!this->isCut(*host) && !this->isFrozen(*host)) {
            host->store.onPeerRecord(HostId("operator"), record, this->simulation.now);
        }
    }
}

void ConfigWorld::hostTicks(std::size_t index)
{
    Host &host = *this->hosts[index];
    if (this->simulation.now > Instant(1000s) + horizon) {
        return;
    }
    if (!this->isFrozen(host)) {
        // Before anything else: a thawed host has requests in its queue.
        if (host.store.service(this->simulation.now) == ConfigService::Serving) {
            this->history.add(this->simulation.now, history::WorkTaken{host.id, host.store.version()});
        }
        const bool struck = index == 0 && this->simulation.now < Instant(1000s) + tick * (struckTicks + 3)
            && this->simulation.now >= Instant(1000s) + tick * 2;
        if (struck) {
            const Fault fault = this->run.strike(firstHostActor, "host learns");
            this->onHostFault(host, fault);
            if (this->readers != TableReaders::All) {
                this->onHostFault(*this->hosts[1], fault);
            }
        }
        if (!this->isFrozen(host)) {
            if (this->isReadDue(host)) {
                this->hostReadsTable(host);
            }
            this->hostAsksPeers(host);
        }
    }
    this->simulation.after(tick, [this, index] { this->hostTicks(index); });
}

void ConfigWorld::onHostFault(Host &host, Fault fault)
{
    switch (fault) {
    case Fault::KillBefore:
    case Fault::KillAfter:
        host.store = ConfigStore({}, this->simulation.now + restart);
        host.reading = TableReading({});
        host.frozenUntil = this->simulation.now + restart;
        break;
    case Fault::FreezeBefore:
    case Fault::FreezeAfter:
    case Fault::FreezeForDays:
        host.frozenUntil = this->simulation.now + freezeLength;
        break;
    case Fault::Cut:
    case Fault::LostReply:
        host.cutUntil = this->simulation.now + cutLength;
        break;
    case Fault::OutageShort:
        this->simulation.tableDownUntil = this->simulation.now + 2s;
        break;
    case Fault::OutageLong:
        this->simulation.tableDownUntil = this->simulation.now + 60s;
        break;
    default:
        break;
    }
}

void ConfigWorld::hostReadsTable(Host &host)
{
    const bool down = this->simulation.now < this->simulation.tableDownUntil;
    const bool isKeptOut = this->readers == TableReaders::OnlyTwo && !this->isReader(host);
    if (down || isKeptOut || this->isCut(host)) {
        host.store.onTableFailed(this->simulation.now);
        host.reading.onFailed(this->simulation.now);
        return;
    }
    const auto row = this->table.read(configCurrentKey);
    host.store.onTableRead(*decodeConfigRecord(row->value), this->simulation.now);
    host.reading.onRead(this->simulation.now);
}

bool ConfigWorld::isReader(const Host &host) const
{
    return this->readers == TableReaders::All || &host == this->hosts[0].get() || &host == this->hosts[1].get();
}

bool ConfigWorld::isReadDue(const Host &host) const
{
    TableReading::Situation situation;
    situation.isReader = this->isReader(host);
    situation.isServing = host.store.service(this->simulation.now) == ConfigService::Serving;
    situation.reachesMajority = host.reach.isMajority();
    situation.isBehind = host.store.wanted().has_value();
    return host.reading.isDue(situation, this->simulation.now);
}

void ConfigWorld::hostAsksPeers(Host &host)
{
    PeerReach reach;
    for (const auto &peer : this->hosts) {
        if (peer->id == host.id) {
            continue;
        }
        ++reach.known;
        ++reach.probed;
        if (this->isCut(host) || this->isCut(*peer) || this->isFrozen(*peer)) {
            continue;
        }
        ++reach.answered;
        const auto age = peer->reading.age(this->simulation.now);
        if (peer->store.service(this->simulation.now) != ConfigService::Serving) {
            continue;
        }
        host.store.onPeerVersion(peer->id, peer->store.version(), this->simulation.now);
        if (host.store.wanted()) {
            host.store.onPeerRecord(peer->id, *peer->store.inForce(), this->simulation.now);
        }
        if (age) {
            host.reading.onPeerReadAge(*age, this->simulation.now);
        }
    }
    host.reach = reach;
    host.store.onReach(reach, this->simulation.now);
}

bool ConfigWorld::isCut(const Host &host) const
{
    return this->simulation.now < host.cutUntil;
}

bool ConfigWorld::isFrozen(const Host &host) const
{
    return this->simulation.now < host.frozenUntil;
}

} // namespace fescuesill
