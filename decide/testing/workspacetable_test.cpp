#include "decide/workspacetable.h"

#include <cmath>
#include <gtest/gtest.h>

namespace fescuesill
{
namespace
{

Workspace workspace(const std::string &name, const std::vector<std::string> &keys)
{
    Workspace made;
    made.id = WorkspaceId(name);
    for (const std::string &key : keys) {
        made.keys.emplace_back(key);
    }
    return made;
}

TEST(WorkspaceTable, FindsTheHolderOfAKey)
{
    const auto table =
        WorkspaceTable::create({workspace("a", {"k1", "k2"}), workspace("b", {"k3"}), workspace("c", {})});
    ASSERT_TRUE(table);
    EXPECT_EQ(table->holderOf(KeyDigest("k2")), table->find(WorkspaceId("a")));
    EXPECT_EQ(table->holderOf(KeyDigest("k3"))->id, WorkspaceId("b"));
    EXPECT_EQ(table->holderOf(KeyDigest("k4")), nullptr);
    EXPECT_EQ(table->find(WorkspaceId("d")), nullptr);
}

TEST(WorkspaceTable, RejectsWhatCannotBeDecided)
{
    const auto with = [](void (*alter)(Workspace &)) {
        Workspace made = workspace("a", {"k1"});
        alter(made);
        return std::vector<Workspace>{made};
    };
    const struct {
        const char *name;
        std::vector<Workspace> workspaces;
        bool isValid;
    } cases[] = {
        {"none", {}, true},
        {"a key twice in one workspace", {workspace("a", {"k1", "k1"})}, true},
        {"no name", {workspace("", {"k1"})}, false},
        {"an empty key", {workspace("a", {""})}, false},
        {"the same name", {workspace("a", {"k1"}), workspace("a", {"k2"})}, false},
        {"the same key", {workspace("a", {"k1"}), workspace("b", {"k1"})}, false},
        {"a quota of zero", with([](Workspace &one) {
             one.quota = Quota{0, 0};
         }),
         true},
        {"a huge quota", with([](Workspace &one) {
             one.quota = Quota{1e300, 1e300};
         }),
         true},
        {"a negative rate", with([](Workspace &one) {
             one.quota = Quota{-1, 0};
         }),
         false},
        {"a negative burst", with([](Workspace &one) {
             one.quota = Quota{1, -1};
         }),
         false},
        {"a rate that is no number", with([](Workspace &one) {
             one.quota = Quota{std::nan(""), 0};
         }),
         false},
        {"an infinite burst", with([](Workspace &one) {
             one.quota = Quota{1, HUGE_VAL};
         }),
         false},
        {"negative tokens", with([](Workspace &one) { one.plainTokens = Tokens(-1); }), false},
    };
    for (const auto &each : cases) {
        EXPECT_EQ(WorkspaceTable::create(each.workspaces).has_value(), each.isValid) << each.name;
    }
}

TEST(WorkspaceTable, CountsCallsOrTokens)
{
    Workspace made = workspace("a", {});
    made.plainTokens = Tokens(200);
    EXPECT_EQ(costOf(made, Tokens(9000)), QuotaUnits(1));
    made.unit = QuotaUnit::Tokens;
    EXPECT_EQ(costOf(made, Tokens(9000)), QuotaUnits(9000));
    EXPECT_EQ(costOf(made, std::nullopt), QuotaUnits(200));
}

} // namespace
} // namespace fescuesill
