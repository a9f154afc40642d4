// fescuesill-slopes [HOSTS…]: what the pure cores cost as the fleet grows, one JSON line for each size.
// fescuesill-slopes links [LINKS…]: links between entries and one scheduler, and the news that goes over them.
// fescuesill-slopes polls IP:PORT [ENGINES…]: an owner's polling of a stand-in engine that runs there.
//
// Membership runs in virtual time, every host of the fleet in this one process, with messages that arrive one tick
// later. Processor time is this process's own; it depends on the machine, its growth with the size much less.

#include "declare/declaration.h"
#include "declare/difference.h"
#include "promise/membership.h"
#include "testing/slopes/measures.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>
#include <memory>
#include <string>

using namespace fescuesill;

namespace
{

constexpr Duration tick = 50ms;
constexpr int warmUpTicks = 20 * 600; // ten minutes: the rumours of a fleet that starts all at once have been passed on
constexpr int measuredTicks = 20 * 20;
constexpr int dataCentres = 6;
constexpr int cellFactBytes = 20; // a summary in CBOR

class Fleet
{
public:
    Fleet(int size, int cells)
        : cells(cells)
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

    void run(int ticks)
    {
        for (int i = 0; i < ticks; ++i) {
            this->now += tick;
            if (++this->ticks % 20 == 0) {
                this->publishCells();
            }
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

    // Seconds until a fact of one host is known to all; -1 where a minute is not enough.
    double spread(const std::string &name, bool isUrgent)
    {
        Membership &first = *this->hosts.front();
        if (isUrgent) {
            first.publishUrgent(name, 1, std::string(16, 'x'), this->now);
        } else {
            first.publish(name, 1, std::string(16, 'x'), this->now);
        }
        for (int count = 1; count < 20 * 60; ++count) {
            this->run(1);
            if (std::all_of(this->hosts.begin(), this->hosts.end(),
                            [&](const auto &host) { return knows(*host, name); })) {
                return count * std::chrono::duration<double>(tick).count();
            }
        }
        return -1;
    }

    std::int64_t bytes = 0;
    std::int64_t messages = 0;

private:
    static bool knows(const Membership &host, const std::string &name)
    {
        const std::vector<Fact> facts = host.facts();
        return std::any_of(facts.begin(), facts.end(), [&](const Fact &fact) { return fact.name == name; });
    }

    Membership &at(const HostId &host)
    {
        return *this->hosts[std::stoul(host.value().substr(5))];
    }

    void take(std::vector<ProbeMessage> fresh, std::vector<ProbeMessage> &out)
    {
        for (ProbeMessage &message : fresh) {
            ++this->messages;
            this->bytes += static_cast<std::int64_t>(sizeOf(message));
            out.push_back(std::move(message));
        }
    }

    void publishCells()
    {
        for (int cell = 0; cell < this->cells; ++cell) {
            const auto owner = static_cast<std::size_t>(cell) % this->hosts.size();
            this->hosts[owner]->publish(fmt::format("cell/model-{}/dc-{}", cell / dataCentres, cell % dataCentres),
                                        static_cast<std::uint64_t>(this->ticks), std::string(cellFactBytes, 'x'),
                                        this->now);
        }
    }

    std::vector<std::unique_ptr<Membership>> hosts;
    std::vector<ProbeMessage> flying;
    int cells;
    Instant now{1000s};
    int ticks = 0;
};

void measureMembership(int size, int cells)
{
    const double before = residentBytes();
    Fleet fleet(size, cells);
    fleet.run(warmUpTicks);
    const double memory = (residentBytes() - before) / size;
    const std::int64_t bytes = fleet.bytes;
    const std::int64_t messages = fleet.messages;
    const double start = cpuSeconds();
    fleet.run(measuredTicks);
    const double spent = cpuSeconds() - start;
    const std::int64_t sentBytes = fleet.bytes - bytes;
    const std::int64_t sentMessages = fleet.messages - messages;
    const double hostSeconds = size * std::chrono::duration<double>(tick).count() * measuredTicks;
    const double urgent = fleet.spread("config", true);
    const double ordinary = fleet.spread("ordinary", false);
    fmt::print("{{\"core\":\"membership\",\"hosts\":{},\"cells\":{},\"core_percent_per_host\":{:.4f},\"sent_bytes_per_"
               "second\":{:.0f},"
               "\"sent_messages_per_second\":{:.2f},\"resident_kb_per_host\":{:.0f},\"urgent_fact_to_all_seconds\":{:."
               "2f},\"fact_to_all_seconds\":{:.2f}}}\n",
               size, cells, 100 * spent / hostSeconds, static_cast<double>(sentBytes) / hostSeconds,
               static_cast<double>(sentMessages) / hostSeconds, memory / 1024, urgent, ordinary);
}

std::string declarationOf(int engines)
{
    std::string text = "[class patient]\nrank = 2\nfirst_token = 5s\n";
    for (int i = 0; i < dataCentres; ++i) {
        text += fmt::format("[data_centre dc-{}]\nregion = r{}\n", i, i % 3);
    }
    for (int i = 0; i < engines; ++i) {
        text += fmt::format("[engine engine-{}]\naddress = 10.{}.{}.{}:8000\ndata_centre = dc-{}\nmodel = model-{}\n"
                            "role = {}\npieces = 20\nchecks_fencing = yes\n",
                            i, i / 10000, i / 100 % 100, i % 100 + 1, i % dataCentres, i % 8,
                            i / 8 % 3 == 0 ? "prefill" : "decode");
    }
    for (int i = 0; i < 8; ++i) {
        text += fmt::format("[service service-{}]\nclass = patient\nkind = model\nmodel = model-{}\n", i, i);
    }
    return text;
}

void measureDeclaration(int engines)
{
    constexpr int rounds = 20;
    const std::string text = declarationOf(engines);
    const double start = cpuSeconds();
    for (int i = 0; i < rounds; ++i) {
        if (!Declaration::parse(text, "slopes")) {
            fmt::print(stderr, "the generated declaration has a fault\n");
            std::exit(1);
        }
    }
    const double parsed = cpuSeconds();
    const Declaration declaration = Declaration::parse(text, "slopes").value();
    const double compare = cpuSeconds();
    for (int i = 0; i < rounds; ++i) {
        Difference::between(declaration, declaration);
    }
    fmt::print(
        "{{\"core\":\"declaration\",\"engines\":{},\"text_kb\":{:.0f},\"parse_ms\":{:.2f},\"difference_ms\":{:.2f}}}\n",
        engines, static_cast<double>(text.size()) / 1024, 1000 * (parsed - start) / rounds,
        1000 * (cpuSeconds() - compare) / rounds);
}

void measureCores(const std::vector<int> &sizes)
{
    for (const int hosts : sizes) {
        for (const int cells : {3, 48}) {
            measureMembership(hosts, cells);
        }
    }
    for (const int engines : {24, 75, 150, 300, 600}) {
        measureDeclaration(engines);
    }
}

} // namespace

int main(int argc, char **argv)
{
    const std::vector<std::string> words(argv + 1, argv + argc);
    const bool isLinks = !words.empty() && words[0] == "links";
    const bool isPolls = words.size() > 1 && words[0] == "polls";
    const int named = isPolls ? 2 : (isLinks ? 1 : 0);
    std::vector<int> sizes;
    std::transform(words.begin() + named, words.end(), std::back_inserter(sizes),
                   [](const std::string &text) { return std::stoi(text); });
    if (isLinks) {
        measureCellNews({3, 48});
        measureLinks(sizes.empty() ? std::vector<int>{3, 9, 36, 340} : sizes);
    } else if (isPolls) {
        measureEnginePolls(words[1], sizes.empty() ? std::vector<int>{1, 4, 13} : sizes);
    } else {
        measureCores(sizes.empty() ? std::vector<int>{3, 9, 36, 85, 170, 340} : sizes);
    }
    return 0;
}
