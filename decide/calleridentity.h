#pragma once

// Decides on whose behalf a call is made, from the key that it carries.
//
//     const CallerIdentity caller = identify(config, age, limit, route, key);
//     std::visit(Overloaded{[](const caller_identity::Member &member) { ... member.workspace ... },
//                           [](const caller_identity::Anonymous &) { ... },
//                           [](const caller_identity::UnknownKey &) { ... 401 ... },
//                           [](const caller_identity::Outdated &) { ... 503: another host may know ... }},
//                caller);

#include "decide/routingconfig.h"

#include <variant>

namespace fescuesill
{

namespace presented_key
{
struct None {
};
struct Malformed { // not the expected scheme, or several keys
};
struct Digest {
    KeyDigest digest;
};
} // namespace presented_key

// What a call carries as its key.
using PresentedKey = std::variant<presented_key::None, presented_key::Malformed, presented_key::Digest>;

namespace caller_identity
{
struct Anonymous { // the configuration has no workspaces, or the route is open and the call carries no key
};
struct Member {
    const Workspace *workspace = nullptr; // of the configuration
};
struct UnknownKey {
};
struct Outdated { // this host can't tell whether the key is valid now
};
} // namespace caller_identity

using CallerIdentity = std::variant<caller_identity::Anonymous, caller_identity::Member, caller_identity::UnknownKey,
                                    caller_identity::Outdated>;

// How long a configuration may be used for keys after it was last known to be the newest.
struct KeyTrust {
    // A revoked key must not be admitted for longer. The limit applies to all keys if `isStrict`, and otherwise only to
    // the refusal of keys that the configuration does not have.
    Duration limit{0};
    bool isStrict = false;
};

// `age` is the time since the configuration was last known to be the newest; empty if it never was.
CallerIdentity identify(const RoutingConfig &config, const std::optional<Duration> &age, const KeyTrust &trust,
                        const Route &route, const PresentedKey &key);

} // namespace fescuesill
