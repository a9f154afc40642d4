#include "wire/openports.h"

#include "wire/log.h"

namespace fescuesill
{

void reportOpenPorts(const KeySettings &keys, DegradedModes &modes)
{
    if (keys.arePeersOpen) {
        modes.set("peers_open", true);
        Log::warning("peers_open",
                     {{"hint", "[keys] fleet is not set: links and probes are accepted without authentication"}});
    }
    if (keys.isAdminOpen) {
        modes.set("admin_open", true);
        Log::warning(
            "admin_open",
            {{"hint", "[keys] operator is not set: commands such as drain are accepted without authentication"}});
    }
}

} // namespace fescuesill
