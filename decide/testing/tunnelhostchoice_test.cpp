#include "decide/tunnelhostchoice.h"

#include <gtest/gtest.h>
#include <set>

namespace fescuesill
{
namespace
{

constexpr Instant start{1h};

using Choice = TunnelHostChoice<int>;

std::set<std::string> asSet(const std::vector<std::string> &addresses)
{
    return {addresses.begin(), addresses.end()};
}

TEST(TunnelHostChoice, LeavesOutTheHostThatAsks)
{
    Choice hosts({}, 1);
    EXPECT_TRUE(hosts.choose(1, start).empty());
    hosts.add(0, "a");
    hosts.add(1, "b");
    hosts.add(2, "c");
    hosts.add(3, ""); // opens no tunnels
    EXPECT_EQ(asSet(hosts.choose(1, start)), (std::set<std::string>{"a", "c"}));
    hosts.remove(0);
    EXPECT_EQ(asSet(hosts.choose(1, start)), (std::set<std::string>{"c"}));
    hosts.clear();
    EXPECT_TRUE(hosts.choose(1, start).empty());
}

// Guards against hosts of a data centre that was cut off and are named to each other.
TEST(TunnelHostChoice, LeavesOutHostsThatWereCutOffAMomentAgo)
{
    Choice hosts({}, 1);
    hosts.add(1, "a");
    hosts.add(2, "b");
    hosts.onCutOff(1, start);
    hosts.onCutOff(7, start); // unknown
    EXPECT_TRUE(hosts.choose(2, start).empty());
    EXPECT_EQ(asSet(hosts.choose(1, start)), (std::set<std::string>{"b"}));
    EXPECT_EQ(asSet(hosts.choose(2, start + Choice::Options{}.cutOffFor)), (std::set<std::string>{"a"}));
}

// Guards against an empty list that is taken for a fleet without other hosts.
TEST(TunnelHostChoice, TellsAFleetThatIsCutOffFromAHostThatIsAlone)
{
    Choice hosts({}, 1);
    hosts.add(1, "a");
    hosts.add(2, ""); // opens no tunnels
    EXPECT_FALSE(hosts.areOthersCutOff(1, start));
    EXPECT_FALSE(hosts.areOthersCutOff(2, start));
    hosts.onCutOff(1, start);
    EXPECT_FALSE(hosts.areOthersCutOff(1, start));
    EXPECT_TRUE(hosts.areOthersCutOff(2, start));
    hosts.add(3, "c");
    EXPECT_FALSE(hosts.areOthersCutOff(2, start));
    hosts.onCutOff(3, start);
    EXPECT_TRUE(hosts.areOthersCutOff(2, start));
    EXPECT_FALSE(hosts.areOthersCutOff(2, start + Choice::Options{}.cutOffFor));
}

TEST(TunnelHostChoice, NamesAFewHostsAndAllInTurn)
{
    Choice hosts({}, 1);
    for (int link = 1; link <= 300; ++link) {
        hosts.add(link, std::to_string(link));
    }
    std::set<std::string> named;
    for (int round = 0; round < 400; ++round) {
        const auto chosen = hosts.choose(1, start);
        EXPECT_EQ(chosen.size(), Choice::Options{}.listed);
        EXPECT_EQ(asSet(chosen).size(), chosen.size());
        named.insert(chosen.begin(), chosen.end());
    }
    EXPECT_EQ(named.size(), 299U);
}

} // namespace
} // namespace fescuesill
