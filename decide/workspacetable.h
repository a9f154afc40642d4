#pragma once

// The workspaces of a configuration: who holds which key, and what each may use.
//
//     const auto table = WorkspaceTable::create(std::move(listed));   // error: a name or a key is listed twice
//     const Workspace *workspace = table->holderOf(digest);           // null: no workspace holds the key
//     const QuotaUnits cost = costOf(*workspace, statedTokens);

#include "fescuesill/ids.h"
#include "fescuesill/units.h"

#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <unordered_map>
#include <vector>

namespace fescuesill
{

// What a quota counts: calls, or tokens.
using QuotaUnits = Count<struct QuotaUnitsTag>;

enum class QuotaUnit {
    Calls,
    Tokens,
};

// The calls of all hosts together, as a token bucket.
struct Quota {
    double perSecond = 0; // in units of the workspace
    double burst = 0;
};
bool operator==(const Quota &a, const Quota &b);

struct Workspace {
    WorkspaceId id;
    std::vector<KeyDigest> keys;
    std::optional<int> rank; // of its calls, in place of the route's; lower goes first
    QuotaUnit unit = QuotaUnit::Calls;
    Tokens plainTokens; // of a call that does not state its tokens
    std::optional<Quota> quota; // empty: no limit
};
bool operator==(const Workspace &a, const Workspace &b);

// What one call takes of the workspace's quota. `stated` is the prompt and the most output of a call that states them.
QuotaUnits costOf(const Workspace &workspace, const std::optional<Tokens> &stated);

struct WorkspaceError {
    WorkspaceId workspace;
    std::string text;
};

class WorkspaceTable
{
public:
    WorkspaceTable() = default;
    // Rejects workspaces without a name, two of the same name, a key that two of them hold, and limits that are no
    // positive numbers.
    static tl::expected<WorkspaceTable, WorkspaceError> create(std::vector<Workspace> workspaces);

    const Workspace *holderOf(const KeyDigest &key) const;
    const Workspace *find(const WorkspaceId &id) const;
    const std::vector<Workspace> &all() const
    {
        return this->workspaces;
    }

private:
    std::vector<Workspace> workspaces;
    std::unordered_map<WorkspaceId, std::size_t> byId;
    std::unordered_map<KeyDigest, std::size_t> byKey;
};

} // namespace fescuesill
