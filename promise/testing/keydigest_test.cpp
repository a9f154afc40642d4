#include "promise/keydigest.h"

#include <gtest/gtest.h>

namespace fescuesill
{
namespace
{

TEST(KeyDigest, IsTheBeginningOfTheHash)
{
    // SHA-256 of "abc" begins with ba7816bf.
    EXPECT_EQ(fingerprintOf(digestOf("abc")), "ba7816bf");
    EXPECT_EQ(digestOf("abc").value().size(), 16U);
    EXPECT_EQ(digestOf("abc"), digestOf("abc"));
    EXPECT_NE(digestOf("abc"), digestOf("abd"));
}

} // namespace
} // namespace fescuesill
