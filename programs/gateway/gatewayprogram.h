#pragma once

// The gateway process: forwards calls to the endpoints that the users' platform knows of.
//
//     return runGateway(settings);          // until SIGTERM and the planned stop that follows

#include "programs/gateway/gatewaysettings.h"

namespace fescuesill
{

int runGateway(const GatewaySettings &settings);

} // namespace fescuesill
