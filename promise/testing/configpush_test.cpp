#include "promise/configpush.h"

#include <gtest/gtest.h>

namespace fescuesill
{
namespace
{

// An attacker on the network reuses an operator's proof with another body. The target that the proof covers does not
// match that body.
TEST(ConfigPush, TheTargetMatchesOneRecordOnly)
{
    const std::string target = configPushTarget("abc");
    EXPECT_EQ(target, "/config?sha256=ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
    EXPECT_TRUE(isConfigPush(target));
    EXPECT_NE(configPushTarget("abd"), target);
    EXPECT_NE(configPushTarget(""), target);
    EXPECT_FALSE(isConfigPush("/drain"));
    EXPECT_FALSE(isConfigPush("/config"));
}

} // namespace
} // namespace fescuesill
