// A stand-in that is told to stop stops in the middle of what it does, as a process that dies would: tests of the
// product's planned stop use the product's own binaries.

#include "testing/standin/serve.h"

#include <boost/asio/signal_set.hpp>
#include <cstdio>
#include <cstdlib>

namespace fescuesill::standin
{

int serve(asio::io_context &io, const std::string &name, const std::string &address, const HttpServer::Handler &handler)
{
    try {
        const HttpServer server(io, address, handler);
        std::printf("%s listening on %s\n", name.c_str(), server.address().c_str());
        std::fflush(stdout);
        asio::signal_set signals(io, SIGTERM, SIGINT);
        signals.async_wait([](const boost::system::error_code &error, int) {
            if (!error) {
                std::_Exit(0);
            }
        });
        io.run();
    } catch (const std::exception &error) {
        std::fprintf(stderr, "%s: %s\n", name.c_str(), error.what());
        return 1;
    }
    return 0;
}

} // namespace fescuesill::standin
