#pragma once

// The gateway process: forwards calls to the endpoints that are registered with the users' platform.
//
//     return runGateway(settings);          // returns after SIGTERM and the graceful stop

#include "programs/gateway/gatewaysettings.h"

namespace fescuesill
{

int runGateway(const GatewaySettings &settings);

} // namespace fescuesill
