#pragma once

// Reports the outcome of a direct connection to an endpoint to EndpointPaths, and logs when this host loses its path to
// all endpoints or has one again.
//
//     const auto error = connection.connect(endpoint, deadline, yield);
//     reportConnection(paths, address, error, steadyNow() - begin);

#include "decide/endpointpaths.h"

#include <boost/system/error_code.hpp>

namespace fescuesill
{

void reportConnection(EndpointPaths &paths, const std::string &address, const boost::system::error_code &error,
                      Duration waited);

} // namespace fescuesill
