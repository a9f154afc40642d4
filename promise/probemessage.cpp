#include "promise/probemessage.h"

// The sizes are estimates for the traffic budget: the lengths of the texts and a fixed overhead for the CBOR encoding.

namespace fescuesill
{
namespace
{

// The lengths and small numbers that are encoded with the texts of one element.
constexpr std::size_t memberFrame = 15;
constexpr std::size_t factFrame = 12;
constexpr std::size_t messageFrame = 19;

} // namespace

bool isAliveOrLeaving(MemberState state)
{
    return state == MemberState::Alive || state == MemberState::Leaving;
}

std::size_t sizeOf(const MemberInfo &info)
{
    return info.host.value().size() + info.dataCentre.value().size() + info.address.size() + memberFrame;
}

std::size_t sizeOf(const Fact &fact)
{
    return fact.name.size() + fact.bytes.size() + factFrame;
}

std::size_t sizeOf(const ProbeMessage &message)
{
    std::size_t size = messageFrame + message.from.value().size() + message.to.value().size();
    size += message.target.value().size();
    for (const MemberInfo &info : message.members) {
        size += sizeOf(info);
    }
    for (const Fact &fact : message.facts) {
        size += sizeOf(fact);
    }
    return size;
}

} // namespace fescuesill
