#include "promise/resumetoken.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace fescuesill
{
namespace
{

const Instant now{1000s};
const std::string keyA(32, 'a');
const std::string keyB(32, 'b');

ResumeGrant grant()
{
    return {EngineId("athens-d1"), StreamId("s-17"), RequestId("r-9"), WorkspaceId("karamanlis"), now + 60s};
}

TEST(ResumeToken, NamesTheStreamAndTheNextFragment)
{
    const auto tokens = ResumeTokens::create({keyA}).value();
    const std::string id = ResumeTokens::eventId(tokens.mint(grant()), Offset(12));
    const auto point = tokens.open(id, WorkspaceId("karamanlis"), now);
    ASSERT_TRUE(point);
    EXPECT_EQ(point->next, Offset(13));
    EXPECT_EQ(point->grant.engine, grant().engine);
    EXPECT_EQ(point->grant.stream, grant().stream);
    EXPECT_EQ(point->grant.request, grant().request);
    EXPECT_EQ(point->grant.expiry, grant().expiry);
}

// The keys are rotated while callers hold tokens signed with the old key. Their streams must not be interrupted.
TEST(ResumeToken, TheOldKeyIsAcceptedUntilItIsRemoved)
{
    const std::string id = ResumeTokens::eventId(ResumeTokens::create({keyA}).value().mint(grant()), Offset(0));
    const WorkspaceId workspace("karamanlis");
    EXPECT_TRUE(ResumeTokens::create({keyB, keyA}).value().open(id, workspace, now));
    EXPECT_EQ(ResumeTokens::create({keyB}).value().open(id, workspace, now).error(), ResumeTokenError::Forged);
}

TEST(ResumeToken, RefusesTokensOfOtherWorkspacesAndExpiredTokens)
{
    const auto tokens = ResumeTokens::create({keyA}).value();
    const std::string id = ResumeTokens::eventId(tokens.mint(grant()), Offset(3));
    EXPECT_EQ(tokens.open(id, WorkspaceId("laman"), now).error(), ResumeTokenError::OtherWorkspace);
    EXPECT_EQ(tokens.open(id, WorkspaceId("karamanlis"), now + 60s).error(), ResumeTokenError::Expired);
    EXPECT_EQ(resumeRefusal(ResumeTokenError::Forged).text, resumeRefusal(ResumeTokenError::OtherWorkspace).text);
}

TEST(ResumeToken, AChangedCharacterIsNeverAccepted)
{
    const auto tokens = ResumeTokens::create({keyA, keyB}).value();
    const std::string prefix = tokens.mint(grant());
    for (std::size_t i = 0; i < prefix.size(); ++i) {
        for (const char c : {'A', 'b', '_', '.', '!'}) {
            std::string changed = ResumeTokens::eventId(prefix, Offset(5));
            if (changed[i] == c) {
                continue;
            }
            changed[i] = c;
            EXPECT_FALSE(tokens.open(changed, WorkspaceId("karamanlis"), now)) << i << c;
        }
    }
}

TEST(ResumeToken, RefusesBadOffsetsAndBadKeys)
{
    const auto tokens = ResumeTokens::create({keyA}).value();
    const std::string prefix = tokens.mint(grant());
    for (const char *offset : {"", "-1", "1x", "9223372036854775807", "99999999999999999999", " 1"}) {
        EXPECT_EQ(tokens.open(prefix + offset, WorkspaceId("karamanlis"), now).error(), ResumeTokenError::Malformed)
            << offset;
    }
    EXPECT_FALSE(ResumeTokens::create({}));
    EXPECT_FALSE(ResumeTokens::create({"short"}));
    EXPECT_FALSE(ResumeTokens::create({keyA, keyB, keyA}));
}

RC_GTEST_PROP(ResumeToken, RandomTextIsRefused, (const std::string &text))
{
    const auto tokens = ResumeTokens::create({keyA}).value();
    RC_ASSERT(!tokens.open(text, WorkspaceId(""), now));
    RC_ASSERT(!tokens.open(text + ".1", WorkspaceId(""), now));
}

} // namespace
} // namespace fescuesill
