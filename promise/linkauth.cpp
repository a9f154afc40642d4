#include "promise/linkauth.h"

#include "promise/bytefields.h"

// The opening consists of three messages:
//
//     initiator → acceptor   opening    kind, key id, nonce, own host, address dialled
//     acceptor → initiator   challenge  kind, nonce, own host, MAC("acceptor", opening, challenge so far)
//     initiator → acceptor   proof      kind, MAC("initiator", opening, challenge)
//
// Each end's MAC covers the other's fresh nonce, so that a replayed opening proves nothing; the key id, both names and
// the address, so that none of them can be substituted; and the direction, so that a message reflected to its sender
// fails. After the opening, a key for each direction is derived from the same texts. Each message carries a MAC over
// its sequence number in its direction and its bytes. The sequence number is counted at both ends and not sent: a
// message that is changed, dropped, repeated, reflected or taken from another link fails, and the link ends.
//
// An attacker without the key could forward a host's opening to another listener, or back to the same host, and let it
// answer, so that the host is linked to a different listener than it dialled. Therefore the acceptor answers only an
// opening that names its own address.
//
// The key is the one that the initiator signs with, and the acceptor has to accept it, as for probes. A fleet therefore
// rotates its key in three rounds, and hosts of two neighbouring rounds can communicate.
//
// After a fault no message is accepted or sealed.

namespace fescuesill
{
namespace
{

constexpr int openingKind = 0x4f;
constexpr int challengeKind = 0x43;
constexpr int proofKind = 0x50;
constexpr std::string_view acceptorProof = "fescuesill acceptor proof";
constexpr std::string_view initiatorProof = "fescuesill initiator proof";
constexpr std::string_view fromInitiator = "fescuesill from initiator";
constexpr std::string_view fromAcceptor = "fescuesill from acceptor";

std::string numberText(std::uint64_t number)
{
    std::string text;
    putNumber(text, number, 8);
    return text;
}

} // namespace

const char *faultName(LinkFault fault)
{
    switch (fault) {
    case LinkFault::Malformed:
        return "malformed";
    case LinkFault::UnknownKey:
        return "unknown_key";
    case LinkFault::WrongAddress:
        return "wrong_address";
    case LinkFault::WrongProof:
        return "wrong_proof";
    case LinkFault::WrongMessage:
        return "wrong_message";
    case LinkFault::Ended:
        return "ended";
    }
    return "ended";
}

KeyRing LinkAuth::linkKeys(const KeyRing &fleet)
{
    return fleet.derive("fescuesill links");
}

LinkAuth::LinkAuth(const KeyRing &keys, LinkEnd self, const LinkNonce &nonce, State state)
    : keys(keys)
    , self(std::move(self))
    , nonce(nonce.data(), nonce.size())
    , state(state)
{
}

LinkAuth LinkAuth::initiate(const KeyRing &keys, LinkEnd self, const LinkNonce &nonce)
{
    LinkAuth auth(keys, std::move(self), nonce, State::AwaitChallenge);
    auth.agreedKey = keys.signing().key;
    putNumber(auth.openingMessage, openingKind, 1);
    putNumber(auth.openingMessage, keys.signing().id, 4);
    auth.openingMessage += auth.nonce;
    putText(auth.openingMessage, auth.self.host.value());
    putText(auth.openingMessage, auth.self.address);
    return auth;
}

LinkAuth LinkAuth::accept(const KeyRing &keys, LinkEnd self, const LinkNonce &nonce)
{
    return {keys, std::move(self), nonce, State::AwaitOpening};
}

const std::string &LinkAuth::opening() const
{
    return this->openingMessage;
}

tl::expected<std::string, LinkFault> LinkAuth::on(std::string_view message)
{
    if (message.size() > maxOpeningBytes) {
        return this->end(LinkFault::Malformed);
    }
    switch (this->state) {
    case State::AwaitOpening:
        return this->onOpening(message);
    case State::AwaitChallenge:
        return this->onChallenge(message);
    case State::AwaitProof:
        return this->onProof(message);
    case State::Proven:
    case State::Ended:
        break;
    }
    return this->end(LinkFault::Ended);
}

tl::expected<std::string, LinkFault> LinkAuth::onOpening(std::string_view message)
{
    FieldReader reader(message);
    const bool isOpening = reader.number(1) == openingKind;
    const auto id = static_cast<KeyId>(reader.number(4));
    reader.take(this->nonce.size());
    this->peerHost = HostId(reader.text());
    const std::string dialled = reader.text();
    if (!isOpening || !reader.isWhole()) {
        return this->end(LinkFault::Malformed);
    }
    const MacKey *key = this->keys.find(id);
    if (key == nullptr) {
        return this->end(LinkFault::UnknownKey);
    }
    if (dialled != this->self.address) {
        return this->end(LinkFault::WrongAddress);
    }
    this->agreedKey = *key;
    std::string challenge;
    putNumber(challenge, challengeKind, 1);
    challenge += this->nonce;
    putText(challenge, this->self.host.value());
    this->transcript.append(message).append(challenge);
    this->proof = this->agreedKey->sign({acceptorProof, this->transcript});
    this->state = State::AwaitProof;
    return challenge + this->proof;
}

tl::expected<std::string, LinkFault> LinkAuth::onChallenge(std::string_view message)
{
    FieldReader reader(message);
    const bool isChallenge = reader.number(1) == challengeKind;
    reader.take(this->nonce.size());
    this->peerHost = HostId(reader.text());
    const std::string_view mac = reader.take(MacKey::macBytes);
    if (!isChallenge || !reader.isWhole()) {
        return this->end(LinkFault::Malformed);
    }
    this->transcript.append(this->openingMessage).append(message.substr(0, message.size() - mac.size()));
    if (!this->agreedKey->check(mac, {acceptorProof, this->transcript})) {
        return this->end(LinkFault::WrongProof);
    }
    std::string answer;
    putNumber(answer, proofKind, 1);
    answer += this->agreedKey->sign({initiatorProof, this->transcript});
    this->useKeys(fromInitiator, fromAcceptor);
    return answer;
}

tl::expected<std::string, LinkFault> LinkAuth::onProof(std::string_view message)
{
    FieldReader reader(message);
    const bool isProof = reader.number(1) == proofKind;
    const std::string_view mac = reader.take(MacKey::macBytes);
    if (!isProof || !reader.isWhole()) {
        return this->end(LinkFault::Malformed);
    }
    if (!this->agreedKey->check(mac, {initiatorProof, this->transcript})) {
        return this->end(LinkFault::WrongProof);
    }
    this->useKeys(fromAcceptor, fromInitiator);
    return std::string();
}

void LinkAuth::useKeys(std::string_view sending, std::string_view receiving)
{
    this->sendKey = this->agreedKey->derive(sending, this->transcript);
    this->receiveKey = this->agreedKey->derive(receiving, this->transcript);
    this->state = State::Proven;
}

tl::unexpected<LinkFault> LinkAuth::end(LinkFault fault)
{
    this->state = State::Ended;
    return tl::unexpected(fault);
}

bool LinkAuth::isProven() const
{
    return this->state == State::Proven;
}

const HostId &LinkAuth::peer() const
{
    return this->peerHost;
}

std::string LinkAuth::seal(std::string_view payload)
{
    if (!this->isProven()) {
        return {};
    }
    std::string sealed;
    sealed.reserve(payload.size() + addedBytes);
    sealed.append(payload);
    sealed += this->sendKey->sign({numberText(this->sent), payload});
    ++this->sent;
    return sealed;
}

tl::expected<std::string_view, LinkFault> LinkAuth::open(std::string_view sealed)
{
    if (!this->isProven()) {
        return this->end(LinkFault::Ended);
    }
    if (sealed.size() < addedBytes) {
        return this->end(LinkFault::WrongMessage);
    }
    const std::string_view payload = sealed.substr(0, sealed.size() - addedBytes);
    if (!this->receiveKey->check(sealed.substr(payload.size()), {numberText(this->received), payload})) {
        return this->end(LinkFault::WrongMessage);
    }
    ++this->received;
    return payload;
}

} // namespace fescuesill
