#include "promise/datagramseal.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace fescuesill
{
namespace
{

const Instant now{1'780'000'000s};
const HostId a("athens-a");
const HostId b("piraeus-b");

KeyRing ringOf(const std::string &letters)
{
    std::string text;
    for (const char letter : letters) {
        text += std::string(64, letter) + "\n";
    }
    return KeyRing::parse(text).value();
}

std::optional<DatagramFault> faultOf(const tl::expected<DatagramSeal::Opened, DatagramFault> &opened)
{
    return opened ? std::nullopt : std::optional<DatagramFault>(opened.error());
}

TEST(DatagramSeal, CarriesThePayloadAndItsTime)
{
    DatagramSeal sender(ringOf("a"), a);
    const DatagramSeal receiver(ringOf("a"), b);
    for (const std::string &payload : {std::string(), std::string("news"), std::string(1300, '\0')}) {
        const std::string datagram = sender.seal(payload, now);
        EXPECT_EQ(datagram.size(), payload.size() + DatagramSeal::addedBytes);
        const auto opened = receiver.open(datagram, now);
        ASSERT_TRUE(opened);
        EXPECT_EQ(opened->payload, payload);
        EXPECT_LT(opened->sentAt - now, 1ms);
    }
}

struct KeysCase {
    const char *sender;
    const char *receiver;
    std::optional<DatagramFault> expected;
};

// Keys are rotated while 340 hosts continue to probe each other. Hosts of neighbouring rounds accept each other's
// datagrams; those of a host with a retired or foreign key are refused.
TEST(DatagramSeal, NeighbouringRoundsOfARotationAcceptEachOther)
{
    const std::vector<KeysCase> cases{
        {"a", "a", std::nullopt},
        {"a", "ab", std::nullopt},
        {"ab", "a", std::nullopt},
        {"ab", "ba", std::nullopt},
        {"ba", "ab", std::nullopt},
        {"ba", "b", std::nullopt},
        {"b", "ba", std::nullopt},
        {"a", "b", DatagramFault::UnknownKey},
        {"ba", "a", DatagramFault::UnknownKey}, // a round was skipped
        {"c", "ab", DatagramFault::UnknownKey},
    };
    for (const KeysCase &c : cases) {
        DatagramSeal sender(ringOf(c.sender), a);
        const DatagramSeal receiver(ringOf(c.receiver), b);
        EXPECT_EQ(faultOf(receiver.open(sender.seal("x", now), now)), c.expected) << c.sender << c.receiver;
    }
}

TEST(DatagramSeal, RefusesStaleAndTruncatedDatagrams)
{
    DatagramSeal sender(ringOf("a"), a);
    const DatagramSeal receiver(ringOf("a"), b);
    const std::string datagram = sender.seal("payload", now);
    EXPECT_FALSE(faultOf(receiver.open(datagram, now + 9s)));
    EXPECT_FALSE(faultOf(receiver.open(datagram, now - 9s)));
    EXPECT_EQ(faultOf(receiver.open(datagram, now + 11s)), DatagramFault::Stale);
    EXPECT_EQ(faultOf(receiver.open(datagram, now - 11s)), DatagramFault::Stale);
    for (std::size_t size = 0; size < datagram.size(); ++size) {
        EXPECT_FALSE(receiver.open(std::string_view(datagram).substr(0, size), now)) << size;
    }
}

struct DeliveryCase {
    const char *name;
    HostId from;
    HostId to;
    Instant sentAt;
    std::optional<DatagramFault> expected;
};

// A man in the middle records datagrams and replays them to the same host, to another host, or back to the sender. Each
// is accepted only once, by the host that it names.
TEST(DatagramSeal, ADatagramIsAcceptedOnceByTheHostItNames)
{
    DatagramSeal receiver(ringOf("a"), b);
    const HostId c("marousi-c");
    const std::vector<DeliveryCase> cases{
        {"first", a, b, now, std::nullopt},
        {"again", a, b, now, DatagramFault::Replayed},
        {"next", a, b, now + 1ms, std::nullopt},
        {"overtaken", a, b, now + 500us, DatagramFault::Replayed},
        {"of another sender at the same time", c, b, now, std::nullopt},
        {"for another host", a, c, now + 2ms, DatagramFault::Misdirected},
        {"sent back", b, a, now + 2ms, DatagramFault::Misdirected},
        {"in its own name", b, b, now + 2ms, DatagramFault::Misdirected},
        {"a refused one left no trace", a, b, now + 2ms, std::nullopt},
    };
    for (const DeliveryCase &one : cases) {
        EXPECT_EQ(receiver.admit({one.from, one.to, one.sentAt}, now), one.expected) << one.name;
    }
}

// A host's clock is set back while it runs. Within the window its timestamps continue from the last one, so that none
// looks like a replay. Beyond the window they start from the new time, or the host's datagrams would be refused for as
// long as its clock was ahead.
TEST(DatagramSeal, DatagramsAreAcceptedAfterTheClockIsSetBack)
{
    DatagramSeal sender(ringOf("a"), a);
    DatagramSeal receiver(ringOf("a"), b);
    const auto isAccepted = [&](Instant senderClock) {
        const std::string datagram = sender.seal("x", senderClock);
        const auto opened = receiver.open(datagram, now);
        return opened && !receiver.admit({a, b, opened->sentAt}, now);
    };
    EXPECT_TRUE(isAccepted(now + 5s));
    EXPECT_TRUE(isAccepted(now + 1s));
    EXPECT_TRUE(isAccepted(now + 1s));
    EXPECT_FALSE(isAccepted(now + 1h));
    EXPECT_FALSE(isAccepted(now + 1s)); // earlier than the last timestamp accepted from the clock that was ahead
    EXPECT_TRUE(isAccepted(now + 6s));
}

TEST(DatagramSeal, KeepsOnlyTheSendersOfTheWindow)
{
    DatagramSeal::Options options;
    options.maxSenders = 3;
    DatagramSeal receiver(ringOf("a"), b, options);
    for (int i = 0; i < 3; ++i) {
        EXPECT_FALSE(receiver.admit({HostId("h" + std::to_string(i)), b, now}, now));
    }
    EXPECT_EQ(receiver.admit({a, b, now}, now), DatagramFault::Replayed);
    const Instant later = now + options.window + 1s;
    EXPECT_FALSE(receiver.admit({a, b, later}, later));
    EXPECT_EQ(receiver.senders(), 1U);
}

RC_GTEST_PROP(DatagramSeal, NoMutationIsAccepted, (const std::string &payload))
{
    DatagramSeal sender(ringOf("a"), a);
    const DatagramSeal receiver(ringOf("ab"), b);
    const std::string datagram = sender.seal(payload, now);
    std::string changed = datagram;
    const auto kind = *rc::gen::inRange(0, 4);
    const auto at = *rc::gen::inRange<std::size_t>(0, changed.size());
    if (kind == 0) {
        changed[at] = static_cast<char>(changed[at] ^ *rc::gen::inRange(1, 256));
    } else if (kind == 1) {
        changed.resize(at);
    } else if (kind == 2) {
        changed.insert(at, *rc::gen::nonEmpty(rc::gen::arbitrary<std::string>()));
    } else {
        std::swap(changed[at], changed[changed.size() - 1 - at]);
    }
    RC_PRE(changed != datagram);
    RC_ASSERT(!receiver.open(changed, now));
}

RC_GTEST_PROP(DatagramSeal, RandomBytesAreRefused, (const std::string &bytes))
{
    const DatagramSeal receiver(ringOf("ab"), b);
    RC_ASSERT(!receiver.open(bytes, now));
    RC_ASSERT(!receiver.open(std::string(1, '\x01') + bytes + std::string(DatagramSeal::addedBytes, 'x'), now));
}

} // namespace
} // namespace fescuesill
