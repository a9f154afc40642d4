#include "testing/slopes/measures.h"
#include "wire/address.h"
#include "wire/peernode.h"

#include <fmt/format.h>

#include <atomic>
#include <chrono>
#include <thread>

// Both ends are in this process, so processor time and memory are those of an entry's end and a scheduler's end
// together; bytes are told apart by the port.

namespace fescuesill
{
namespace
{

constexpr int firstPort = 23100;
constexpr auto quiet = std::chrono::seconds(10);
constexpr auto settling = std::chrono::seconds(2);
constexpr int dataCentres = 6;

peer::AllCells cellsOf(int count)
{
    peer::AllCells all;
    for (int i = 0; i < count; ++i) {
        peer::CellUpdate news;
        news.cell = {ModelId(fmt::format("model-{}", i / dataCentres)),
                     DataCentreId(fmt::format("dc-{}", i % dataCentres))};
        news.owner = HostId(fmt::format("host-{:03}", i));
        news.ownerAddress = fmt::format("10.0.1.{}:8090", i + 1);
        news.queueDelay = 12ms;
        news.prefillPerToken = 40us;
        news.memoryUse = 0.61 + i * 0.001;
        news.freePieces = Pieces(40 + i);
        all.cells.push_back(news);
    }
    return all;
}

struct Ends {
    Ends(int port, int count)
        : address(fmt::format("127.0.0.1:{}", port))
    {
        PeerNode::Options listening;
        listening.listen = this->address;
        PeerNode::Handlers accepting;
        accepting.opened = [this](LinkId link) {
            this->accepted.push_back(link);
        };
        accepting.received = [](LinkId, const peer::Message &) {
        };
        accepting.closed = [](LinkId) {
        };
        this->owner = PeerNode::create(listening, accepting).value();
        PeerNode::Handlers connecting = accepting;
        connecting.opened = [this](LinkId) {
            ++this->open;
        };
        this->entries = PeerNode::create({}, connecting).value();
        this->owner->start();
        this->entries->start();
        for (int i = 0; i < count; ++i) {
            this->entries->connect(this->address);
        }
        while (this->open < count) {
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
    }

    std::string address;
    std::vector<LinkId> accepted; // on the owner's thread; read once all are open
    std::atomic<int> open{0};
    std::unique_ptr<PeerNode> owner;
    std::unique_ptr<PeerNode> entries;
};

void measure(int port, int count, const peer::AllCells &news, const char *what)
{
    const double memory = residentBytes();
    Ends ends(port, count);
    std::this_thread::sleep_for(settling);
    const double held = residentBytes() - memory;
    const TcpTraffic ownerBefore = tcpSent(port, PortSide::Local);
    const TcpTraffic entryBefore = tcpSent(port, PortSide::Remote);
    const double cpu = cpuSeconds();
    const auto start = std::chrono::steady_clock::now();
    while (std::chrono::steady_clock::now() - start < quiet) {
        if (!news.cells.empty()) {
            for (const LinkId link : ends.accepted) {
                ends.owner->send(link, peer::ConfigInForce{"", true});
                ends.owner->send(link, news);
            }
        }
        std::this_thread::sleep_for(std::chrono::seconds(1));
    }
    const double seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
    const double spent = cpuSeconds() - cpu;
    const double linkSeconds = count * seconds;
    const auto perLink = [&](double later, double earlier) {
        return (later - earlier) / linkSeconds;
    };
    const TcpTraffic owner = tcpSent(port, PortSide::Local);
    const TcpTraffic entry = tcpSent(port, PortSide::Remote);
    fmt::print("{{\"links\":\"{}\",\"count\":{},\"owner_sends_bytes_per_second_per_link\":{:.0f},"
               "\"owner_sends_on_the_wire\":{:.0f},\"entry_sends_bytes_per_second_per_link\":{:.0f},"
               "\"entry_sends_on_the_wire\":{:.0f},\"core_percent_both_ends_per_link\":{:.4f},"
               "\"resident_kb_both_ends_per_link\":{:.1f}}}\n",
               what, count, perLink(owner.bytes, ownerBefore.bytes),
               perLink(owner.onTheWire(), ownerBefore.onTheWire()), perLink(entry.bytes, entryBefore.bytes),
               perLink(entry.onTheWire(), entryBefore.onTheWire()), 100 * spent / linkSeconds, held / count / 1024);
    std::fflush(stdout);
}

} // namespace

void measureLinks(const std::vector<int> &counts)
{
    int port = firstPort;
    for (const int count : counts) {
        measure(port++, count, {}, "at rest");
        measure(port++, count, cellsOf(48), "with the news of 48 cells each second");
    }
}

void measureCellNews(const std::vector<int> &cells)
{
    constexpr int rounds = 200;
    for (const int count : cells) {
        const peer::AllCells news = cellsOf(count);
        std::string bytes;
        const double start = cpuSeconds();
        for (int i = 0; i < rounds; ++i) {
            bytes = peer::encodeMessage(news);
        }
        const double written = cpuSeconds();
        for (int i = 0; i < rounds; ++i) {
            if (!peer::decodeMessage(bytes)) {
                fmt::print(stderr, "the news does not come back\n");
                return;
            }
        }
        fmt::print("{{\"news\":\"AllCells\",\"cells\":{},\"bytes\":{},\"write_us\":{:.0f},\"read_us\":{:.0f}}}\n",
                   count, bytes.size(), 1e6 * (written - start) / rounds, 1e6 * (cpuSeconds() - written) / rounds);
    }
    fmt::print("{{\"news\":\"ConfigInForce\",\"bytes\":{}}}\n",
               peer::encodeMessage(peer::ConfigInForce{"", true}).size());
}

} // namespace fescuesill
