#pragma once

// The parts of fescuesill-slopes: each prints one JSON line for each size, from this process's own clocks and counters.

#include <string>
#include <vector>

namespace fescuesill
{

// Processor time and resident memory of this process.
double cpuSeconds();
double residentBytes();

// TCP as the kernel counts it, over the sockets of this process that use a local or a remote port.
struct TcpTraffic {
    double bytes = 0; // websocket or HTTP, as handed to TCP
    double segments = 0;

    // With 52 bytes of IPv4 and TCP headers (timestamps on) for each segment, acknowledgements included.
    double onTheWire() const;
};
enum class PortSide {
    Local,
    Remote,
};
// Sent and received by the sockets that have this port on this side.
TcpTraffic tcpSent(int port, PortSide side);
TcpTraffic tcpReceived(int port, PortSide side);

// Links of entries to one scheduler, on loopback: at rest, and with the news of 48 cells each second on every one.
void measureLinks(const std::vector<int> &counts);
// What the news of the cells costs to write and to read.
void measureCellNews(const std::vector<int> &cells);
// Polling by the owner of a cell, against a stand-in engine that runs at this address; every engine is that one.
void measureEnginePolls(const std::string &address, const std::vector<int> &engines);
// A gateway's configuration of so many routes: read whole, and a change of it.
void measureConfiguration(const std::vector<int> &sizes);

} // namespace fescuesill
