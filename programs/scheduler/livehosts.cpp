#include "programs/scheduler/livehosts.h"

namespace fescuesill
{
namespace
{

MemberInfo memberOf(const PlatformHost &host)
{
    MemberInfo member;
    member.host = host.host;
    member.dataCentre = host.dataCentre;
    member.address = host.scheduler;
    member.state = host.state == HostState::Leaving ? MemberState::Leaving : MemberState::Alive;
    return member;
}

MemberInfo memberOf(const peer::LiveHost &host)
{
    MemberInfo member;
    member.host = host.host;
    member.dataCentre = host.dataCentre;
    member.address = host.schedulerAddress;
    member.state = host.leaving ? MemberState::Leaving : MemberState::Alive;
    return member;
}

template<typename Host>
std::vector<MemberInfo> convert(const std::vector<Host> &hosts)
{
    std::vector<MemberInfo> members;
    members.reserve(hosts.size());
    for (const Host &host : hosts) {
        members.push_back(memberOf(host));
    }
    return members;
}

} // namespace

std::vector<MemberInfo> membersOf(const std::vector<PlatformHost> &hosts)
{
    return convert(hosts);
}

std::vector<MemberInfo> membersOf(const std::vector<peer::LiveHost> &hosts)
{
    return convert(hosts);
}

std::vector<peer::LiveHost> liveHostsOf(const Membership &membership)
{
    std::vector<peer::LiveHost> live;
    for (const MemberInfo &member : membership.members()) {
        if (member.state != MemberState::Dead) {
            const bool isLeaving = member.state == MemberState::Leaving;
            live.push_back(peer::LiveHost{member.host, member.dataCentre, member.address, isLeaving});
        }
    }
    return live;
}

bool sameHosts(const std::vector<peer::LiveHost> &a, const std::vector<peer::LiveHost> &b)
{
    return peer::encodeMessage(peer::LiveHosts{a}) == peer::encodeMessage(peer::LiveHosts{b});
}

} // namespace fescuesill
