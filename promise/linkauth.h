#pragma once

// Mutual authentication of the two ends of a link by the fleet key, and authentication of each message after that.
//
//     LinkAuth mine = LinkAuth::initiate(linkKeys, {HostId("athens-a"), "10.30.2.2:8090"}, nonce);
//     send(mine.opening());
//     ... for each message received ...
//     if (!mine.isProven()) {
//         const auto reply = mine.on(bytes);           // on a LinkFault end the link; send a reply that is not empty
//     } else {
//         const auto payload = mine.open(bytes);       // on a LinkFault end the link
//     }
//     send(mine.seal(payload));                        // once proven
//
// The other end uses LinkAuth::accept(linkKeys, {HostId("piraeus-a"), "10.30.2.2:8090"}, nonce), which waits for the
// opening. The caller supplies the nonces: fresh random bytes in a program, fixed ones in a test.

#include "fescuesill/ids.h"
#include "promise/keyring.h"

#include <array>
#include <optional>

namespace fescuesill
{

using LinkNonce = std::array<char, 16>;

enum class LinkFault {
    Malformed, // not a message of the opening
    UnknownKey,
    WrongAddress, // intended for another listener
    WrongProof,
    WrongMessage, // changed, repeated, dropped or out of order
    Ended, // the link has ended after an earlier fault
};

const char *faultName(LinkFault fault);

// An end's own host name and the address of the listener: the one that the initiator dialled, or that the acceptor
// listens on.
struct LinkEnd {
    HostId host;
    std::string address;
};

class LinkAuth
{
public:
    // Bounds the work and memory spent on a peer that is not authenticated yet.
    static constexpr std::size_t maxOpeningBytes = 600;
    // The number of bytes that sealing adds to a message.
    static constexpr std::size_t addedBytes = MacKey::macBytes;

    // The key ring to pass in, derived once from that of the fleet.
    static KeyRing linkKeys(const KeyRing &fleet);

    static LinkAuth initiate(const KeyRing &keys, LinkEnd self, const LinkNonce &nonce);
    static LinkAuth accept(const KeyRing &keys, LinkEnd self, const LinkNonce &nonce);

    // The initiator's first message.
    const std::string &opening() const;
    // The reply to a message of the opening; empty if none is needed.
    tl::expected<std::string, LinkFault> on(std::string_view message);

    bool isProven() const;
    // The name that the other end states for itself; trustworthy only once isProven().
    const HostId &peer() const;

    std::string seal(std::string_view payload);
    tl::expected<std::string_view, LinkFault> open(std::string_view sealed);

private:
    enum class State {
        AwaitOpening,
        AwaitChallenge,
        AwaitProof,
        Proven,
        Ended,
    };

    LinkAuth(const KeyRing &keys, LinkEnd self, const LinkNonce &nonce, State state);

    tl::expected<std::string, LinkFault> onOpening(std::string_view message);
    tl::expected<std::string, LinkFault> onChallenge(std::string_view message);
    tl::expected<std::string, LinkFault> onProof(std::string_view message);
    void useKeys(std::string_view sending, std::string_view receiving);
    tl::unexpected<LinkFault> end(LinkFault fault);

    KeyRing keys;
    LinkEnd self;
    std::string nonce;
    State state;
    std::string openingMessage;
    std::string transcript; // the opening message and the acceptor's challenge
    std::string proof; // of the acceptor
    HostId peerHost;
    std::optional<MacKey> agreedKey;
    std::optional<MacKey> sendKey;
    std::optional<MacKey> receiveKey;
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
};

} // namespace fescuesill
