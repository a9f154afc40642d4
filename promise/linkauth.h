#pragma once

// Proves to both ends of a link that the other holds the fleet key, and seals each message after that.
//
//     LinkAuth mine = LinkAuth::initiate(linkKeys, {HostId("athens-a"), "10.30.2.2:8090"}, nonce);
//     send(mine.opening());
//     ... for each message that comes ...
//     if (!mine.isProven()) {
//         const auto reply = mine.on(bytes);           // a LinkFault: end the link; a reply that is not empty: send it
//     } else {
//         const auto payload = mine.open(bytes);       // a LinkFault: end the link
//     }
//     send(mine.seal(payload));                        // once proven
//
// The other end: LinkAuth::accept(linkKeys, {HostId("piraeus-a"), "10.30.2.2:8090"}, nonce), which waits for the
// opening. Nonces are given: fresh random bytes in a program, fixed ones in a test.

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
    WrongAddress, // meant for another listener
    WrongProof,
    WrongMessage, // changed, repeated, left out or out of order
    Ended, // an earlier fault has ended this link
};

const char *faultName(LinkFault fault);

// A link's name for itself and the address of its listener: of the initiator, the one it dialled; of the acceptor, the
// one it listens on.
struct LinkEnd {
    HostId host;
    std::string address;
};

class LinkAuth
{
public:
    // An opening message is never longer; bounds the work and memory for a peer that has proved nothing.
    static constexpr std::size_t maxOpeningBytes = 600;
    // What a message grows by.
    static constexpr std::size_t addedBytes = MacKey::macBytes;

    // The ring to pass in, made once of the fleet's.
    static KeyRing linkKeys(const KeyRing &fleet);

    static LinkAuth initiate(const KeyRing &keys, LinkEnd self, const LinkNonce &nonce);
    static LinkAuth accept(const KeyRing &keys, LinkEnd self, const LinkNonce &nonce);

    // The initiator's first message.
    const std::string &opening() const;
    // The reply to a message of the opening; empty where none is due.
    tl::expected<std::string, LinkFault> on(std::string_view message);

    bool isProven() const;
    // As the other end calls itself; believe it only once proven.
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
    std::string openingMessage; // the opening message
    std::string transcript; // the opening message and what the acceptor answered with
    std::string proof; // the acceptor's
    HostId peerHost;
    std::optional<MacKey> agreedKey;
    std::optional<MacKey> sendKey;
    std::optional<MacKey> receiveKey;
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
};

} // namespace fescuesill
