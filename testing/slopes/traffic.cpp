#include "testing/slopes/measures.h"

#include <arpa/inet.h>
#include <cstddef>
#include <ctime>
#include <filesystem>
#include <fstream>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

// Interface counters hold the traffic of every process on the machine; TCP_INFO holds that of one socket, with the
// acknowledgements that carry nothing.

namespace fescuesill
{
namespace
{

constexpr double headerBytes = 52;

int portOf(int socket, PortSide side)
{
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    auto *const raw = reinterpret_cast<sockaddr *>(&address);
    const int failed = side == PortSide::Local ? getsockname(socket, raw, &size) : getpeername(socket, raw, &size);
    return failed != 0 || address.sin_family != AF_INET ? -1 : ntohs(address.sin_port);
}

std::vector<tcp_info> infosOf(int port, PortSide side)
{
    std::vector<tcp_info> infos;
    for (const auto &entry : std::filesystem::directory_iterator("/proc/self/fd")) {
        const int socket = std::stoi(entry.path().filename().string());
        tcp_info info{};
        socklen_t size = sizeof(info);
        if (portOf(socket, side) == port && getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) == 0) {
            infos.push_back(info);
        }
    }
    return infos;
}

} // namespace

double cpuSeconds()
{
    timespec spent{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &spent);
    return static_cast<double>(spent.tv_sec) + static_cast<double>(spent.tv_nsec) * 1e-9;
}

double residentBytes()
{
    std::ifstream file("/proc/self/statm");
    double total = 0;
    double resident = 0;
    file >> total >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

double TcpTraffic::onTheWire() const
{
    return this->bytes + headerBytes * this->segments;
}

TcpTraffic tcpSent(int port, PortSide side)
{
    TcpTraffic sum;
    for (const tcp_info &info : infosOf(port, side)) {
        sum.bytes += static_cast<double>(info.tcpi_bytes_sent);
        sum.segments += info.tcpi_segs_out;
    }
    return sum;
}

TcpTraffic tcpReceived(int port, PortSide side)
{
    TcpTraffic sum;
    for (const tcp_info &info : infosOf(port, side)) {
        sum.bytes += static_cast<double>(info.tcpi_bytes_received);
        sum.segments += info.tcpi_segs_in;
    }
    return sum;
}

} // namespace fescuesill
