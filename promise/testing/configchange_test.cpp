#include "promise/configchange.h"

#include <gtest/gtest.h>

namespace fescuesill
{
namespace
{

using namespace config_action;

ConfigRecord recordOf(std::int64_t version, const char *changeId)
{
    return {ConfigVersion(version), "eleni", "why", changeId, "text"};
}

TableRow rowOf(std::int64_t version, const char *changeId)
{
    return {encode(recordOf(version, changeId)), RowVersion(version + 10)};
}

ConfigChange changeFrom(std::int64_t base)
{
    return {recordOf(base + 1, "mine"), ConfigVersion(base), {}};
}

ConfigOutcome outcomeOf(const ConfigChangeAction &action)
{
    const auto *finish = std::get_if<Finish>(&action);
    EXPECT_NE(finish, nullptr);
    return finish == nullptr ? ConfigOutcome::Malformed : finish->outcome;
}

TEST(ConfigChange, WritesOnTopOfItsBaseWithAHistoryRow)
{
    ConfigChange change = changeFrom(3);
    change.start();
    const ConfigChangeAction action = change.on(table::RowRead{rowOf(3, "old")});
    const auto &writes = std::get<Write>(action).writes;
    ASSERT_EQ(writes.size(), 2U);
    EXPECT_EQ(writes[0].ifVersion, RowVersion(13));
    EXPECT_EQ(writes[1].key, "config/history/4");
    EXPECT_EQ(writes[1].ifVersion, absent);
    EXPECT_EQ(outcomeOf(change.on(table::Written{RowVersion(14)})), ConfigOutcome::Accepted);
}

// Two operators change version 3 at the same time. The one whose change is not accepted receives the other change.
TEST(ConfigChange, TheLoserOfARaceReceivesTheOtherChange)
{
    ConfigChange change = changeFrom(3);
    change.start();
    change.on(table::RowRead{rowOf(3, "old")});
    change.on(table::Conflict{});
    const ConfigChangeAction action = change.on(table::RowRead{rowOf(4, "theirs")});
    EXPECT_EQ(outcomeOf(action), ConfigOutcome::Lost);
    EXPECT_EQ(std::get<Finish>(action).other->changeId, "theirs");
}

// The write takes effect and its reply is lost; another operator's change is accepted on top of it before the row is
// read again. The first change must be reported as accepted.
TEST(ConfigChange, ALostReplyIsResolvedByTheChangeId)
{
    ConfigChange direct = changeFrom(3);
    direct.start();
    direct.on(table::RowRead{rowOf(3, "old")});
    direct.on(table::NoReply{});
    EXPECT_EQ(outcomeOf(direct.on(table::RowRead{rowOf(4, "mine")})), ConfigOutcome::Accepted);

    ConfigChange overtaken = changeFrom(3);
    overtaken.start();
    overtaken.on(table::RowRead{rowOf(3, "old")});
    overtaken.on(table::NoReply{});
    const ConfigChangeAction action = overtaken.on(table::RowRead{rowOf(5, "theirs")});
    EXPECT_EQ(std::get<Read>(action).key, "config/history/4");
    EXPECT_EQ(outcomeOf(overtaken.on(table::RowRead{rowOf(4, "mine")})), ConfigOutcome::Accepted);
}

TEST(ConfigChange, NotMadeIsNeverReportedForAWriteThatMayTakeEffect)
{
    for (const bool written : {false, true}) {
        ConfigChange change = changeFrom(3);
        ConfigChangeAction action = change.start();
        if (written) {
            change.on(table::RowRead{rowOf(3, "old")});
            action = change.on(table::NoReply{});
        }
        while (!std::holds_alternative<Finish>(action)) {
            action = change.on(table::ReadFailed{});
        }
        EXPECT_EQ(outcomeOf(action), written ? ConfigOutcome::Unknown : ConfigOutcome::NotMade);
    }
}

} // namespace
} // namespace fescuesill
