#include "fleet.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>

namespace fescuesill
{

constexpr int dataCentres = 6;
constexpr int cellFactBytes = 20; // a summary in CBOR

static std::string cellName(int cell)
{
    return fmt::format("cell/model-{}/dc-{}", cell / dataCentres, cell % dataCentres);
}

static bool knows(const Membership &host, const std::string &name)
{
    const std::vector<Fact> facts = host.facts();
    return std::any_of(facts.begin(), facts.end(), [&](const Fact &fact) { return fact.name == name; });
}

Fleet::Fleet(int size, int cells, Duration period)
    : cells(cells)
    , periodTicks(static_cast<int>(period / fleetTick))
    , versions(static_cast<std::size_t>(cells))
{
    std::vector<MemberInfo> all;
    for (int i = 0; i < size; ++i) {
        MemberInfo info;
        info.host = HostId(fmt::format("host-{:03}", i));
        info.dataCentre = DataCentreId(fmt::format("dc-{}", i % dataCentres));
        info.incarnation = 1;
        info.address = fmt::format("10.0.{}.{}:8090", i / 200, i % 200 + 1);
        all.push_back(info);
    }
    for (int i = 0; i < size; ++i) {
        const auto seed = static_cast<std::uint64_t>(i) + 1;
        this->hosts.push_back(std::make_unique<Membership>(all[i], Membership::Options{}, seed, this->now));
        this->hosts.back()->onHostList(all, this->now);
    }
}

void Fleet::run(int ticks)
{
    for (int i = 0; i < ticks; ++i) {
        this->now += fleetTick;
        ++this->ticks;
        this->publishCells();
        std::vector<ProbeMessage> out;
        for (const ProbeMessage &message : this->flying) {
            this->take(this->at(message.to).onMessage(message, this->now), out);
        }
        for (const auto &host : this->hosts) {
            this->take(host->tick(this->now), out);
        }
        this->flying = std::move(out);
    }
}

double Fleet::spread(const std::string &name, bool isUrgent)
{
    Membership &first = *this->hosts.front();
    if (isUrgent) {
        first.publishUrgent(name, 1, std::string(16, 'x'), this->now);
    } else {
        first.publish(name, 1, std::string(16, 'x'), this->now);
    }
    for (int count = 1; count < 20 * 60; ++count) {
        this->run(1);
        if (std::all_of(this->hosts.begin(), this->hosts.end(), [&](const auto &host) { return knows(*host, name); })) {
            return count * std::chrono::duration<double>(fleetTick).count();
        }
    }
    return -1;
}

double Fleet::Lateness::at(double share) const
{
    if (this->seconds.empty()) {
        return -1;
    }
    const auto index = static_cast<std::size_t>(share * static_cast<double>(this->seconds.size() - 1));
    return this->seconds[index];
}

void Fleet::look(std::vector<Waiting> &waiting, Lateness &lateness)
{
    std::map<std::string, int> numbers;
    for (int cell = 0; cell < this->cells; ++cell) {
        numbers[cellName(cell)] = cell;
    }
    for (std::size_t host = 0; host < this->hosts.size(); ++host) {
        std::vector<std::uint64_t> known(static_cast<std::size_t>(this->cells));
        for (const Fact &fact : this->hosts[host]->facts()) {
            const auto found = numbers.find(fact.name);
            if (found != numbers.end()) {
                known[static_cast<std::size_t>(found->second)] = fact.version;
            }
        }
        for (Waiting &one : waiting) {
            if (!one.has[host] && known[static_cast<std::size_t>(one.cell)] >= one.version) {
                one.has[host] = true;
                lateness.seconds.push_back((this->ticks - one.publishedAt)
                                           * std::chrono::duration<double>(fleetTick).count());
            }
        }
    }
}

Fleet::Lateness Fleet::lateness(Duration length)
{
    constexpr int lookEvery = 5; // ticks: a quarter of a second
    Lateness lateness;
    std::vector<Waiting> waiting;
    std::vector<std::uint64_t> seen = this->versions;
    const int half = static_cast<int>(length / fleetTick / 2);
    for (int i = 1; i <= 2 * half; ++i) {
        this->run(1);
        // Only summaries of the first half, so that each has the time of the other half to arrive.
        for (int cell = 0; i <= half && cell < this->cells; ++cell) {
            const auto index = static_cast<std::size_t>(cell);
            if (this->versions[index] != seen[index]) {
                seen[index] = this->versions[index];
                waiting.push_back({cell, seen[index], this->ticks, std::vector<bool>(this->hosts.size())});
            }
        }
        if (i % lookEvery == 0) {
            this->look(waiting, lateness);
        }
    }
    const double total = static_cast<double>(waiting.size() * this->hosts.size());
    for (const Waiting &one : waiting) {
        const auto missing = std::count(one.has.begin(), one.has.end(), false);
        lateness.missing += static_cast<double>(missing) / total;
        const double age = (this->ticks - one.publishedAt) * std::chrono::duration<double>(fleetTick).count();
        lateness.seconds.insert(lateness.seconds.end(), static_cast<std::size_t>(missing), age);
    }
    std::sort(lateness.seconds.begin(), lateness.seconds.end());
    return lateness;
}

Membership &Fleet::at(const HostId &host)
{
    return *this->hosts[std::stoul(host.value().substr(5))];
}

void Fleet::take(std::vector<ProbeMessage> fresh, std::vector<ProbeMessage> &out)
{
    for (ProbeMessage &message : fresh) {
        ++this->messages;
        this->bytes += static_cast<std::int64_t>(sizeOf(message));
        out.push_back(std::move(message));
    }
}

void Fleet::publishCells()
{
    for (int cell = 0; cell < this->cells; ++cell) {
        if (this->ticks % this->periodTicks != cell * 7 % this->periodTicks) {
            continue;
        }
        const auto owner = static_cast<std::size_t>(cell) % this->hosts.size();
        this->versions[static_cast<std::size_t>(cell)] = static_cast<std::uint64_t>(this->ticks);
        this->hosts[owner]->publish(cellName(cell), static_cast<std::uint64_t>(this->ticks),
                                    std::string(cellFactBytes, 'x'), this->now);
    }
}

} // namespace fescuesill
