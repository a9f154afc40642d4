#include "wire/connectionreport.h"

#include "wire/clock.h"
#include "wire/log.h"

#include <boost/asio/error.hpp>
#include <boost/beast/core/error.hpp>

namespace fescuesill
{
namespace
{

namespace asio = boost::asio;

// A shorter wait may have ended before a sound connection was opened.
constexpr Duration minConnectTime{50ms};

// Whether the failed connection says something about the path to the endpoint, and not about this host or the call.
bool isPathFault(const boost::system::error_code &error, Duration waited)
{
    if (error == boost::beast::error::timeout) {
        return waited >= minConnectTime;
    }
    return error == asio::error::connection_refused || error == asio::error::connection_reset
        || error == asio::error::timed_out || error == asio::error::host_unreachable
        || error == asio::error::network_unreachable;
}

} // namespace

void reportConnection(EndpointPaths &paths, const std::string &address, const boost::system::error_code &error,
                      Duration waited)
{
    const Instant now = steadyNow();
    if (error) {
        if (isPathFault(error, waited) && paths.onConnectFailed(address, now)) {
            Log::warning("endpoints_unreachable", {{"last", address}, {"reason", error.message()}});
        }
        return;
    }
    const Instant since = paths.changedAt();
    if (paths.onConnected(address, now)) {
        Log::info("endpoints_reachable", {{"endpoint", address}, {"after_ms", (now - since).count() / 1000}});
    }
}

} // namespace fescuesill
