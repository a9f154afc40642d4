#include "promise/ledgerrecord.h"

#include "promise/base64url.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace fescuesill
{
namespace
{

LedgerRecord doneRecord()
{
    LedgerRecord record;
    record.attempt = AttemptId("a1");
    record.entry = HostId("athens-a");
    record.bodyDigest = "d";
    record.state = LedgerState::Done;
    record.deadline = Instant(5s);
    record.expiry = Instant(24h);
    record.answer = EndpointAnswer{201, "application/json", std::string("{\"motor\":1}\0\xff", 13)};
    return record;
}

TEST(LedgerRecord, RoundTrips)
{
    const LedgerRecord record = doneRecord();
    const auto back = decodeLedgerRecord(encode(record));
    ASSERT_TRUE(back);
    EXPECT_EQ(back->attempt, record.attempt);
    EXPECT_EQ(back->entry, record.entry);
    EXPECT_EQ(back->bodyDigest, record.bodyDigest);
    EXPECT_EQ(back->state, record.state);
    EXPECT_EQ(back->deadline, record.deadline);
    EXPECT_EQ(back->expiry, record.expiry);
    EXPECT_EQ(back->answer, record.answer);
}

TEST(LedgerRecord, RejectsMalformedText)
{
    const std::string good = encode(doneRecord());
    EXPECT_FALSE(decodeLedgerRecord(""));
    EXPECT_FALSE(decodeLedgerRecord("[]"));
    EXPECT_FALSE(decodeLedgerRecord("{}"));
    EXPECT_FALSE(decodeLedgerRecord(good.substr(0, good.size() - 1)));
    for (const char *name : {"\"done\"", "\"a1\"", "201", "5000000"}) {
        std::string bad = good;
        bad.replace(bad.find(name), std::string(name).size(), "null");
        EXPECT_FALSE(decodeLedgerRecord(bad)) << name;
    }
}

TEST(LedgerRecord, DigestDistinguishesMethodPathAndBody)
{
    EXPECT_EQ(bodyDigest("POST", "/b", "x"), bodyDigest("POST", "/b", "x"));
    EXPECT_NE(bodyDigest("POST", "/b", "x"), bodyDigest("POST", "/bx", ""));
    EXPECT_NE(bodyDigest("POST", "/b", "x"), bodyDigest("PUT", "/b", "x"));
}

TEST(LedgerRecord, IsDeletedOnlyAfterItsExpiryOnTheSlowestClock)
{
    const LedgerRecord record = doneRecord();
    EXPECT_FALSE(mayDelete(record, record.expiry + 500ms, 500ms));
    EXPECT_TRUE(mayDelete(record, record.expiry + 501ms, 500ms));
    LedgerRecord inDoubt = record;
    inDoubt.state = LedgerState::Open;
    EXPECT_FALSE(mayDelete(inDoubt, record.expiry + 24h * 365, 500ms));
}

RC_GTEST_PROP(Base64Url, EveryTextHasOneEncoding, (const std::string &bytes))
{
    const std::string text = toBase64Url(bytes);
    RC_ASSERT(fromBase64Url(text) == std::optional<std::string>(bytes));
    RC_ASSERT(text.find_first_of("+/=") == std::string::npos);
    RC_ASSERT(!fromBase64Url(text + "!"));
}

} // namespace
} // namespace fescuesill
