#include "programs/gateway/gatewayprogram.h"
#include "wire/daemon.h"

int main(int argc, char **argv)
{
    const fescuesill::Daemon daemon{"fescuesill-gateway",
                                    "Forwards calls by route to the endpoints registered with the platform."};
    return fescuesill::runDaemon(daemon, argc, argv, fescuesill::GatewaySettings::fromFile, fescuesill::runGateway);
}
