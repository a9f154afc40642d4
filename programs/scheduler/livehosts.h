#pragma once

// Hosts as the platform, the links and membership each write them.
//
//     membership.onHostList(membersOf(platformHosts), now);
//     node.send(link, peer::LiveHosts{liveHostsOf(membership)});

#include "promise/membership.h"
#include "wire/messages.h"
#include "wire/platformclient.h"

#include <vector>

namespace fescuesill
{

std::vector<MemberInfo> membersOf(const std::vector<PlatformHost> &hosts);
std::vector<MemberInfo> membersOf(const std::vector<peer::LiveHost> &hosts);
// All that are not dead.
std::vector<peer::LiveHost> liveHostsOf(const Membership &membership);
bool sameHosts(const std::vector<peer::LiveHost> &a, const std::vector<peer::LiveHost> &b);

} // namespace fescuesill
