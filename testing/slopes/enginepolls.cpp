#include "programs/scheduler/engineduty.h"
#include "testing/slopes/measures.h"
#include "wire/address.h"

#include <fmt/format.h>

#include <atomic>
#include <chrono>
#include <thread>

namespace fescuesill
{
namespace
{

constexpr auto quiet = std::chrono::seconds(10);
constexpr auto settling = std::chrono::seconds(3);

WatchEngines engines(const std::string &address, int count)
{
    WatchEngines watch;
    for (int i = 0; i < count; ++i) {
        Engine engine;
        engine.id = EngineId(fmt::format("engine-{}", i));
        engine.address = address;
        watch.engines.push_back(engine);
    }
    return watch;
}

} // namespace

void measureEnginePolls(const std::string &address, const std::vector<int> &counts)
{
    const int port = Address::parse(address).value().port;
    for (const int count : counts) {
        std::atomic<int> reports{0};
        EngineDuty duty({}, [&reports](DirectorEvent &&) {
            ++reports;
            return true;
        });
        duty.start();
        duty.push(engines(address, count));
        std::this_thread::sleep_for(settling);
        const TcpTraffic before = tcpSent(port, PortSide::Remote);
        const TcpTraffic receivedBefore = tcpReceived(port, PortSide::Remote);
        const double cpu = cpuSeconds();
        const int earlier = reports;
        std::this_thread::sleep_for(quiet);
        const double seconds = std::chrono::duration<double>(quiet).count();
        const TcpTraffic later = tcpSent(port, PortSide::Remote);
        const TcpTraffic received = tcpReceived(port, PortSide::Remote);
        const double spent = cpuSeconds() - cpu;
        fmt::print("{{\"polls\":\"engines\",\"engines\":{},\"reports_per_second_per_engine\":{:.1f},"
                   "\"sent_bytes_per_second_per_engine\":{:.0f},\"sent_on_the_wire\":{:.0f},"
                   "\"received_bytes_per_second_per_engine\":{:.0f},\"received_on_the_wire\":{:.0f},"
                   "\"core_percent_per_engine\":{:.3f}}}\n",
                   count, (reports - earlier) / seconds / count, (later.bytes - before.bytes) / seconds / count,
                   (later.onTheWire() - before.onTheWire()) / seconds / count,
                   (received.bytes - receivedBefore.bytes) / seconds / count,
                   (received.onTheWire() - receivedBefore.onTheWire()) / seconds / count,
                   100 * spent / seconds / count);
        std::fflush(stdout);
    }
}

} // namespace fescuesill
