#include "promise/keyring.h"
#include "promise/operatorproof.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace fescuesill
{
namespace
{

const std::string keyA(64, 'a');
const std::string keyB(64, 'b');
const Instant now{1'780'000'000s};
const OperatorCommand drain{HostId("athens-a"), "entry", "POST", "/drain"};

KeyRing ring(const std::string &text)
{
    return KeyRing::parse(text).value();
}

struct FileCase {
    std::string text;
    const char *error; // empty: accepted
    std::size_t keys = 0;
};

TEST(KeyRing, AcceptsOneOrTwoKeysAndReportsFaults)
{
    const std::vector<FileCase> cases{
        {keyA, "", 1},
        {keyA + "\n", "", 1},
        {"# first signs\n  " + keyA + "\r\n\n; old\n" + keyB + "\n", "", 2},
        {std::string(128, 'F'), "", 1},
        {"", "no key in it"},
        {"# nothing\n", "no key in it"},
        {std::string(62, 'a'), "line 1 has 31 bytes"},
        {std::string(130, 'a'), "line 1 has 65 bytes"},
        {std::string(63, 'a'), "line 1 is not hexadecimal"},
        {keyA + "\nnot a key\n", "line 2 is not hexadecimal"},
        {keyA + "\n" + std::string(64, 'A'), "line 2 is the same key again"},
        {keyA + "\n" + keyB + "\n" + std::string(64, 'c'), "line 3 is a third key"},
    };
    for (const FileCase &c : cases) {
        const auto parsed = KeyRing::parse(c.text);
        EXPECT_EQ(parsed ? "" : parsed.error().text, c.error) << c.text;
        EXPECT_EQ(parsed ? parsed->size() : 0, c.keys) << c.text;
    }
}

TEST(KeyRing, AKeyForOnePurposeIsInvalidForAnother)
{
    const KeyRing probes = ring(keyA).derive("probes");
    const KeyRing links = ring(keyA).derive("links");
    EXPECT_FALSE(links.signing().key.check(probes.signing().key.sign({"x"}), {"x"}));
    EXPECT_FALSE(ring(keyA).signing().key.check(probes.signing().key.sign({"x"}), {"x"}));
}

// HMAC-SHA256 test case 2 of RFC 4231, truncated to the first half.
TEST(MacKey, IsHmacSha256)
{
    const std::string mac = MacKey("Jefe").sign({"what do ya ", "want for nothing?"});
    EXPECT_EQ(mac, std::string("\x5b\xdc\xc1\x46\xbf\x60\x75\x4e\x6a\x04\x24\x26\x08\x95\x75\xc7"));
}

struct ProofCase {
    const char *name;
    std::string header;
    OperatorCommand command;
    Instant now;
    std::optional<OperatorFault> expected;
};

// Without a proof, anyone who reaches an admin port could stop one host after the other. A proof is valid for one
// command at one process for a limited time.
TEST(OperatorProof, IsValidForOneCommandAtOneProcessForALimitedTime)
{
    const KeyRing keys = ring(keyB + "\n" + keyA);
    const std::string good = operatorProof(keys, drain, now);
    const std::string ofOldKey = operatorProof(ring(keyA), drain, now);
    const std::string ofOther = operatorProof(ring(std::string(64, 'c')), drain, now);
    const OperatorCommand otherHost{HostId("athens-b"), "entry", "POST", "/drain"};
    const OperatorCommand otherProcess{HostId("athens-a"), "scheduler", "POST", "/drain"};
    const OperatorCommand otherTarget{HostId("athens-a"), "entry", "POST", "/stop"};
    const OperatorCommand otherMethod{HostId("athens-a"), "entry", "PUT", "/drain"};
    const std::vector<ProofCase> cases{
        {"good", good, drain, now, std::nullopt},
        {"old key, still accepted", ofOldKey, drain, now, std::nullopt},
        {"clock ahead", good, drain, now - 59s, std::nullopt},
        {"none", "", drain, now, OperatorFault::Missing},
        {"another scheme", "Basic " + good.substr(7), drain, now, OperatorFault::Malformed},
        {"no text", "Bearer ", drain, now, OperatorFault::Malformed},
        {"cut short", good.substr(0, good.size() - 1), drain, now, OperatorFault::Malformed},
        {"endless", good + std::string(100, 'A'), drain, now, OperatorFault::Malformed},
        {"another key", ofOther, drain, now, OperatorFault::UnknownKey},
        {"another host", good, otherHost, now, OperatorFault::Forged},
        {"another process", good, otherProcess, now, OperatorFault::Forged},
        {"another target", good, otherTarget, now, OperatorFault::Forged},
        {"another method", good, otherMethod, now, OperatorFault::Forged},
        {"old", good, drain, now + 61s, OperatorFault::Stale},
        {"of the future", good, drain, now - 61s, OperatorFault::Stale},
    };
    for (const ProofCase &c : cases) {
        EXPECT_EQ(checkOperatorProof(keys, c.command, c.header, c.now), c.expected) << c.name;
    }
}

RC_GTEST_PROP(OperatorProof, NoChangeIsAccepted, ())
{
    const KeyRing keys = ring(keyA);
    std::string header = operatorProof(keys, drain, now);
    const auto at = *rc::gen::inRange<std::size_t>(0, header.size());
    header[at] = static_cast<char>(header[at] ^ *rc::gen::inRange(1, 256));
    RC_ASSERT(checkOperatorProof(keys, drain, header, now).has_value());
}

} // namespace
} // namespace fescuesill
