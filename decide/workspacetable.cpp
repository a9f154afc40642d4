#include "decide/workspacetable.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace fescuesill
{
namespace
{

bool isLimit(double value)
{
    return std::isfinite(value) && value >= 0;
}

std::string problemOf(const Workspace &workspace)
{
    if (workspace.id.isEmpty()) {
        return "a workspace needs a name";
    }
    if (workspace.plainTokens < Tokens(0)) {
        return "the tokens of a plain call must not be negative";
    }
    if (workspace.quota && !(isLimit(workspace.quota->perSecond) && isLimit(workspace.quota->burst))) {
        return "the quota must be numbers of 0 or more";
    }
    const bool hasEmptyKey =
        std::any_of(workspace.keys.begin(), workspace.keys.end(), [](const KeyDigest &key) { return key.isEmpty(); });
    return hasEmptyKey ? "a key must not be empty" : "";
}

} // namespace

bool operator==(const Quota &a, const Quota &b)
{
    return a.perSecond == b.perSecond && a.burst == b.burst;
}

bool operator==(const Workspace &a, const Workspace &b)
{
    const auto fieldsOf = [](const Workspace &one) {
        return std::tie(one.id, one.keys, one.rank, one.unit, one.plainTokens, one.quota);
    };
    return fieldsOf(a) == fieldsOf(b);
}

QuotaUnits costOf(const Workspace &workspace, const std::optional<Tokens> &stated)
{
    if (workspace.unit == QuotaUnit::Calls) {
        return QuotaUnits(1);
    }
    return QuotaUnits(stated.value_or(workspace.plainTokens).value());
}

tl::expected<WorkspaceTable, WorkspaceError> WorkspaceTable::create(std::vector<Workspace> workspaces)
{
    WorkspaceTable table;
    for (std::size_t index = 0; index < workspaces.size(); ++index) {
        const Workspace &workspace = workspaces[index];
        if (auto problem = problemOf(workspace); !problem.empty()) {
            return tl::make_unexpected(WorkspaceError{workspace.id, std::move(problem)});
        }
        if (!table.byId.emplace(workspace.id, index).second) {
            return tl::make_unexpected(WorkspaceError{workspace.id, "two workspaces of this name"});
        }
        for (const KeyDigest &key : workspace.keys) {
            const auto [held, isNew] = table.byKey.emplace(key, index);
            if (!isNew && held->second != index) {
                return tl::make_unexpected(WorkspaceError{workspace.id, "another workspace holds one of its keys"});
            }
        }
    }
    table.workspaces = std::move(workspaces);
    return table;
}

const Workspace *WorkspaceTable::holderOf(const KeyDigest &key) const
{
    const auto found = this->byKey.find(key);
    return found == this->byKey.end() ? nullptr : &this->workspaces[found->second];
}

const Workspace *WorkspaceTable::find(const WorkspaceId &id) const
{
    const auto found = this->byId.find(id);
    return found == this->byId.end() ? nullptr : &this->workspaces[found->second];
}

} // namespace fescuesill
