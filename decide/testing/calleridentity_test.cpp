#include "decide/calleridentity.h"

#include <gtest/gtest.h>

namespace fescuesill
{
namespace
{

constexpr Duration limit{4500ms};

enum class Result {
    Anonymous,
    Member,
    UnknownKey,
    Outdated,
};

RoutingConfig configWithWorkspace()
{
    Workspace workspace;
    workspace.id = WorkspaceId("a");
    workspace.keys = {KeyDigest("valid")};
    RoutingConfig config;
    config.workspaces = WorkspaceTable::create({workspace}).value();
    return config;
}

TEST(CallerIdentity, DependsOnTheKeyTheRouteAndTheAgeOfTheConfiguration)
{
    const PresentedKey none = presented_key::None{};
    const PresentedKey malformed = presented_key::Malformed{};
    const PresentedKey valid = presented_key::Digest{KeyDigest("valid")};
    const PresentedKey other = presented_key::Digest{KeyDigest("other")};
    const std::optional<Duration> fresh = 1s;
    const std::optional<Duration> old = limit + 1us;
    const struct {
        const char *name;
        PresentedKey key;
        bool isOpen;
        std::optional<Duration> age;
        bool isStrict;
        Result result;
    } cases[] = {
        {"a valid key", valid, false, fresh, true, Result::Member},
        {"at the end of the limit", valid, false, limit, true, Result::Member},
        {"a valid key on an open route", valid, true, fresh, true, Result::Member},
        {"no key", none, false, fresh, true, Result::UnknownKey},
        {"no key on an open route", none, true, fresh, true, Result::Anonymous},
        {"no key on an open route, outdated", none, true, old, true, Result::Anonymous},
        {"a malformed key", malformed, false, fresh, true, Result::UnknownKey},
        {"a malformed key on an open route", malformed, true, fresh, true, Result::UnknownKey},
        {"another key", other, false, fresh, true, Result::UnknownKey},
        {"another key on an open route", other, true, fresh, true, Result::UnknownKey},
        {"a valid key, outdated", valid, false, old, true, Result::Outdated},
        {"a valid key on an open route, outdated", valid, true, old, true, Result::Outdated},
        {"a valid key, never known to be the newest", valid, false, std::nullopt, true, Result::Outdated},
        {"another key, outdated", other, false, old, true, Result::Outdated},
        {"a valid key, outdated, not strict", valid, false, old, false, Result::Member},
        {"another key, outdated, not strict", other, false, old, false, Result::Outdated},
        {"another key, not strict", other, false, fresh, false, Result::UnknownKey},
    };
    const RoutingConfig config = configWithWorkspace();
    for (const auto &each : cases) {
        Route route;
        route.isOpen = each.isOpen;
        const CallerIdentity caller = identify(config, each.age, {limit, each.isStrict}, route, each.key);
        EXPECT_EQ(static_cast<Result>(caller.index()), each.result) << each.name;
        if (const auto *member = std::get_if<caller_identity::Member>(&caller)) {
            EXPECT_EQ(member->workspace->id, WorkspaceId("a")) << each.name;
        }
    }
}

TEST(CallerIdentity, NeedsNoKeyWithoutWorkspaces)
{
    const PresentedKey keys[] = {presented_key::None{}, presented_key::Malformed{},
                                 presented_key::Digest{KeyDigest("x")}};
    for (const PresentedKey &key : keys) {
        const CallerIdentity caller = identify(RoutingConfig(), std::nullopt, {limit, true}, Route(), key);
        EXPECT_TRUE(std::holds_alternative<caller_identity::Anonymous>(caller));
    }
}

} // namespace
} // namespace fescuesill
