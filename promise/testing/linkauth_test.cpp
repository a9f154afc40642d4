#include "promise/linkauth.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace fescuesill
{
namespace
{

const LinkEnd entry{HostId("athens-a"), "10.0.0.2:8090"}; // dials the scheduler
const LinkEnd scheduler{HostId("piraeus-a"), "10.0.0.2:8090"};

KeyRing ringOf(const std::string &letters)
{
    std::string text;
    for (const char letter : letters) {
        text += std::string(64, letter) + "\n";
    }
    return LinkAuth::linkKeys(KeyRing::parse(text).value());
}

LinkNonce nonceOf(char fill)
{
    LinkNonce nonce{};
    nonce.fill(fill);
    return nonce;
}

struct Ends {
    LinkAuth initiator;
    LinkAuth acceptor;
};

Ends newEnds(const std::string &initiatorKeys = "a", const std::string &acceptorKeys = "a", char nonce = 'n')
{
    return {LinkAuth::initiate(ringOf(initiatorKeys), entry, nonceOf(nonce)),
            LinkAuth::accept(ringOf(acceptorKeys), scheduler, nonceOf(static_cast<char>(nonce + 1)))};
}

// Runs the opening to its end and returns the fault if it was refused.
std::optional<LinkFault> prove(Ends &ends)
{
    const auto challenge = ends.acceptor.on(ends.initiator.opening());
    if (!challenge) {
        return challenge.error();
    }
    const auto proof = ends.initiator.on(*challenge);
    if (!proof) {
        return proof.error();
    }
    const auto done = ends.acceptor.on(*proof);
    return done ? std::nullopt : std::optional<LinkFault>(done.error());
}

Ends provenEnds(char nonce = 'n')
{
    Ends ends = newEnds("a", "a", nonce);
    EXPECT_FALSE(prove(ends));
    return ends;
}

TEST(LinkAuth, BothEndsProveThemselvesAndTheirMessagesArrive)
{
    Ends ends = provenEnds();
    EXPECT_TRUE(ends.initiator.isProven());
    EXPECT_TRUE(ends.acceptor.isProven());
    EXPECT_EQ(ends.initiator.peer(), scheduler.host);
    EXPECT_EQ(ends.acceptor.peer(), entry.host);
    for (const std::string &payload : {std::string("one"), std::string(), std::string(100000, 'x')}) {
        EXPECT_EQ(ends.acceptor.open(ends.initiator.seal(payload)).value(), payload);
        EXPECT_EQ(ends.initiator.open(ends.acceptor.seal(payload)).value(), payload);
    }
}

struct KeysCase {
    const char *initiator;
    const char *acceptor;
    std::optional<LinkFault> expected;
};

TEST(LinkAuth, NeighbouringRoundsOfARotationLink)
{
    const std::vector<KeysCase> cases{
        {"a", "ab", std::nullopt},          {"ab", "a", std::nullopt},          {"ab", "ba", std::nullopt},
        {"ba", "ab", std::nullopt},         {"ba", "b", std::nullopt},          {"b", "ba", std::nullopt},
        {"a", "b", LinkFault::UnknownKey},  {"ba", "a", LinkFault::UnknownKey}, // a round left out
        {"c", "ab", LinkFault::UnknownKey},
    };
    for (const KeysCase &c : cases) {
        Ends ends = newEnds(c.initiator, c.acceptor);
        EXPECT_EQ(prove(ends), c.expected) << c.initiator << c.acceptor;
        EXPECT_EQ(ends.acceptor.isProven(), !c.expected) << c.initiator << c.acceptor;
    }
}

// An attacker without the key knows the format of every message and has seen the key id on the wire.
TEST(LinkAuth, TheIdOfAKeyWithoutTheKeyProvesNothing)
{
    Ends real = newEnds();
    Ends pretending = newEnds("b", "b");
    std::string opening = pretending.initiator.opening();
    opening.replace(1, 4, real.initiator.opening().substr(1, 4));
    const auto challenge = real.acceptor.on(opening);
    ASSERT_TRUE(challenge);
    std::string proof = pretending.initiator.on(pretending.acceptor.on(pretending.initiator.opening()).value()).value();
    EXPECT_EQ(real.acceptor.on(proof).error(), LinkFault::WrongProof);
    EXPECT_FALSE(real.acceptor.isProven());

    Ends others = newEnds("b", "b");
    const std::string forged = others.acceptor.on(others.initiator.opening()).value();
    EXPECT_EQ(real.initiator.on(forged).error(), LinkFault::WrongProof);
}

// A recorded opening is replayed to the same host, which uses a new nonce, so the recorded proof is invalid.
TEST(LinkAuth, ARecordedOpeningProvesNothing)
{
    Ends first = newEnds();
    const std::string opening = first.initiator.opening();
    const std::string challenge = first.acceptor.on(opening).value();
    const std::string proof = first.initiator.on(challenge).value();
    LinkAuth replayed = LinkAuth::accept(ringOf("a"), scheduler, nonceOf('z'));
    ASSERT_TRUE(replayed.on(opening));
    EXPECT_EQ(replayed.on(proof).error(), LinkFault::WrongProof);
    LinkAuth dialling = LinkAuth::initiate(ringOf("a"), entry, nonceOf('y'));
    EXPECT_EQ(dialling.on(challenge).error(), LinkFault::WrongProof);
}

// A man in the middle forwards a host's opening to a third host, or back to the host itself, to have it answered there.
TEST(LinkAuth, AnOpeningForAnotherListenerIsNotAnswered)
{
    const LinkAuth dialling = LinkAuth::initiate(ringOf("a"), entry, nonceOf('n'));
    LinkAuth third = LinkAuth::accept(ringOf("a"), {HostId("marousi-a"), "10.0.0.3:8090"}, nonceOf('m'));
    EXPECT_EQ(third.on(dialling.opening()).error(), LinkFault::WrongAddress);
    LinkAuth itself = LinkAuth::accept(ringOf("a"), {entry.host, "10.0.0.1:8090"}, nonceOf('m'));
    EXPECT_EQ(itself.on(dialling.opening()).error(), LinkFault::WrongAddress);
}

TEST(LinkAuth, AReflectedMessageIsRefused)
{
    Ends ends = newEnds();
    const std::string challenge = ends.acceptor.on(ends.initiator.opening()).value();
    EXPECT_FALSE(ends.acceptor.on(challenge));
    LinkAuth initiator = LinkAuth::initiate(ringOf("a"), entry, nonceOf('n'));
    EXPECT_FALSE(initiator.on(initiator.opening()));

    Ends proven = provenEnds();
    const std::string sealed = proven.initiator.seal("drop the cell");
    EXPECT_EQ(proven.initiator.open(sealed).error(), LinkFault::WrongMessage);
}

struct StreamCase {
    const char *name;
    std::vector<int> arriving; // numbers of the messages sent, in the order of their arrival
    std::size_t accepted; // before the link ends
};

TEST(LinkAuth, MessagesAreAcceptedOnceInOrderAndOnTheirOwnLink)
{
    const std::vector<StreamCase> cases{
        {"as sent", {0, 1, 2}, 3},
        {"one repeated", {0, 0, 1}, 1},
        {"exchanged", {1, 0, 2}, 0},
        {"one left out", {0, 2}, 1},
        {"the first again at the end", {0, 1, 2, 0}, 3},
    };
    for (const StreamCase &c : cases) {
        Ends ends = provenEnds();
        std::array<std::string, 3> sent;
        for (std::string &message : sent) {
            message = ends.initiator.seal("the same text each time");
        }
        std::size_t accepted = 0;
        for (const int number : c.arriving) {
            accepted += ends.acceptor.open(sent[static_cast<std::size_t>(number)]) ? 1 : 0;
        }
        EXPECT_EQ(accepted, c.accepted) << c.name;
    }
    Ends one = provenEnds('g');
    Ends other = provenEnds('r');
    EXPECT_EQ(other.acceptor.open(one.initiator.seal("x")).error(), LinkFault::WrongMessage);
}

// After a fault the link accepts no message, even a valid one: it is unknown what was lost before it.
TEST(LinkAuth, AFaultEndsTheLink)
{
    Ends ends = provenEnds();
    const std::string good = ends.initiator.seal("first");
    EXPECT_FALSE(ends.acceptor.open("nonsense that is long enough"));
    EXPECT_EQ(ends.acceptor.open(good).error(), LinkFault::Ended);
    EXPECT_EQ(ends.acceptor.seal("x"), "");
    Ends unproven = newEnds();
    EXPECT_EQ(unproven.initiator.seal("x"), "");
    EXPECT_FALSE(unproven.acceptor.open(good));
}

std::string changedAt(std::string text, std::size_t at, int by)
{
    text[at] = static_cast<char>(text[at] ^ by);
    return text;
}

// One byte of one of the three messages of the opening is changed in transit, or the message is truncated. Neither end
// may then be proven, except the initiator if it has received a valid challenge.
RC_GTEST_PROP(LinkAuth, NoMutationOfAnOpeningIsAccepted, ())
{
    Ends ends = newEnds("ab", "ba");
    const int stage = *rc::gen::inRange(0, 3);
    const auto mutate = [&](const std::string &message, int number) {
        if (number != stage) {
            return message;
        }
        const auto at = *rc::gen::inRange<std::size_t>(0, message.size());
        return *rc::gen::arbitrary<bool>() ? message.substr(0, at) : changedAt(message, at, *rc::gen::inRange(1, 256));
    };
    const auto challenge = ends.acceptor.on(mutate(ends.initiator.opening(), 0));
    if (challenge) {
        if (const auto proof = ends.initiator.on(mutate(*challenge, 1))) {
            RC_ASSERT(!ends.acceptor.on(mutate(*proof, 2)));
        }
    }
    RC_ASSERT(!ends.acceptor.isProven());
    RC_ASSERT(stage == 2 || !ends.initiator.isProven());
}

RC_GTEST_PROP(LinkAuth, NoMutationOfAMessageIsAccepted, (const std::string &payload))
{
    Ends ends = provenEnds();
    const std::string sealed = ends.initiator.seal(payload);
    const auto at = *rc::gen::inRange<std::size_t>(0, sealed.size());
    switch (*rc::gen::inRange(0, 3)) {
    case 0:
        RC_ASSERT(!ends.acceptor.open(changedAt(sealed, at, *rc::gen::inRange(1, 256))));
        break;
    case 1:
        RC_ASSERT(!ends.acceptor.open(sealed.substr(0, at)));
        break;
    default:
        RC_ASSERT(!ends.acceptor.open(sealed + *rc::gen::nonEmpty(rc::gen::arbitrary<std::string>())));
    }
    RC_ASSERT(!ends.acceptor.isProven());
}

TEST(LinkAuth, AnOpeningHasABound)
{
    const LinkEnd endless{HostId(std::string(LinkAuth::maxOpeningBytes, 'h')), scheduler.address};
    const LinkAuth dialling = LinkAuth::initiate(ringOf("a"), endless, nonceOf('n'));
    EXPECT_EQ(newEnds().acceptor.on(dialling.opening()).error(), LinkFault::Malformed);
}

RC_GTEST_PROP(LinkAuth, RandomBytesProveNothing, (const std::string &bytes))
{
    Ends ends = newEnds();
    RC_ASSERT(!ends.acceptor.on(bytes));
    RC_ASSERT(!ends.initiator.on(bytes));
}

} // namespace
} // namespace fescuesill
