#include "promise/probemessage.h"

// The sizes are estimates for the budget: text lengths and a fixed frame for what CBOR puts around the members.

namespace fescuesill
{
namespace
{

// Lengths and small numbers around the texts of one element.
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
