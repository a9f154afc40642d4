#include "programs/entry/localrests.h"

#include "wire/clock.h"

#include <gtest/gtest.h>

namespace fescuesill
{
namespace
{

HttpResponse response(int status, std::vector<HttpHeader> headers)
{
    HttpResponse made;
    made.status = status;
    made.headers = std::move(headers);
    return made;
}

TEST(LocalRests, LastAsLongAsAnEndpointHasAskedFor)
{
    LocalRests rests;
    rests.onAnswer("a:1", response(503, {{"Retry-After", "2"}}));
    const Instant asked = steadyNow();
    EXPECT_TRUE(rests.isResting("a:1", asked + 1s));
    EXPECT_FALSE(rests.isResting("b:1", asked + 1s));
    EXPECT_FALSE(rests.isResting("a:1", asked + 2s));
}

TEST(LocalRests, TakeOtherAnswersForNone)
{
    LocalRests rests;
    rests.onAnswer("a:1", response(503, {}));
    rests.onAnswer("a:1", response(503, {{"Retry-After", "soon"}}));
    rests.onAnswer("a:1", response(200, {{"Retry-After", "2"}}));
    EXPECT_FALSE(rests.isResting("a:1", steadyNow()));
}

// Guards against an entry that goes back to an endpoint that leaves, because the same answer asks for a shorter rest.
TEST(LocalRests, KeepCallsFromAnEndpointThatLeaves)
{
    LocalRests rests;
    rests.onAnswer("a:1", response(503, {{"Server-Leaving", "1"}, {"Retry-After", "2"}}));
    rests.onAnswer("b:1", response(200, {{"Server-Leaving", "1"}}));
    EXPECT_TRUE(rests.isResting("a:1", steadyNow() + 1min));
    EXPECT_TRUE(rests.isResting("b:1", steadyNow() + 1min));
    EXPECT_FALSE(rests.isResting("b:1", steadyNow() + 10min));
}

} // namespace
} // namespace fescuesill
