// A key that is revoked must not be admitted later than a bound after the operator's change, also by a host that can't
// learn of the change. So a host admits keys only for a limited time after its configuration was known to be the
// newest. A key that the configuration does not have may have been added since, so an outdated host does not refuse it
// as unknown either.

#include "decide/calleridentity.h"

namespace fescuesill
{

CallerIdentity identify(const RoutingConfig &config, const std::optional<Duration> &age, const KeyTrust &trust,
                        const Route &route, const PresentedKey &key)
{
    if (!config.workspaces) {
        return caller_identity::Anonymous{};
    }
    if (std::holds_alternative<presented_key::None>(key)) {
        return route.isOpen ? CallerIdentity(caller_identity::Anonymous{}) : caller_identity::UnknownKey{};
    }
    const auto *presented = std::get_if<presented_key::Digest>(&key);
    if (presented == nullptr) {
        return caller_identity::UnknownKey{};
    }
    const bool isCurrent = age && *age <= trust.limit;
    const Workspace *workspace = config.workspaces->holderOf(presented->digest);
    if (!isCurrent && (trust.isStrict || workspace == nullptr)) {
        return caller_identity::Outdated{};
    }
    return workspace == nullptr ? CallerIdentity(caller_identity::UnknownKey{}) : caller_identity::Member{workspace};
}

} // namespace fescuesill
