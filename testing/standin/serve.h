#pragma once

// What the mains of the stand-ins share.
//
//     return serve("fakeplatform", "127.0.0.1:0", [&](Exchange &exchange) { platform.handle(exchange); });

#include "testing/standin/httpserver.h"

namespace fescuesill::standin
{

// Prints "NAME listening on IP:PORT" and serves until SIGTERM or SIGINT, which end the process at once.
int serve(asio::io_context &io, const std::string &name, const std::string &address,
          const HttpServer::Handler &handler);

} // namespace fescuesill::standin
