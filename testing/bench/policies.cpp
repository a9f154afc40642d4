#include "cell.h"

namespace fescuesill::bench
{

static const std::map<std::string, PolicyKind> &kinds()
{
    static const std::map<std::string, PolicyKind> all{{"ours", PolicyKind::Ours},
                                                       {"round-robin", PolicyKind::RoundRobin},
                                                       {"least-loaded", PolicyKind::LeastLoaded},
                                                       {"prefix-only", PolicyKind::PrefixOnly},
                                                       {"prefill-first", PolicyKind::PrefillFirst}};
    return all;
}

std::optional<PolicyKind> policyNamed(const std::string &name)
{
    const auto found = kinds().find(name);
    return found == kinds().end() ? std::nullopt : std::make_optional(found->second);
}

std::vector<std::string> policyNames()
{
    std::vector<std::string> names;
    for (const auto &[name, kind] : kinds()) {
        names.push_back(name);
    }
    return names;
}

Policy makePolicy(PolicyKind kind, Cell &cell)
{
    if (kind == PolicyKind::Ours) {
        return OurPolicy(cell);
    }
    return Baseline(cell, kind);
}

} // namespace fescuesill::bench
