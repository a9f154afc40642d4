#include "promise/operatorproof.h"

#include "promise/base64url.h"
#include "promise/bytefields.h"

// PROOF = "Bearer " base64url(format, key ID, time, MAC), where the MAC covers format, key ID, time and the command.
//
// Without a proof, anyone who reaches an admin port could drain one host after another. Sending the key itself as the
// token was rejected: admin ports use plain HTTP, and an eavesdropper on one request could then stop every host. An
// eavesdropper can replay a proof only for the same command to the same process within a minute, and requesting a
// drain twice has the same effect as requesting it once.

namespace fescuesill
{
namespace
{

constexpr int formatByte = 1;
constexpr std::string_view scheme = "Bearer ";
constexpr std::string_view purpose = "fescuesill operator proof";
constexpr std::size_t headBytes = 1 + 4 + 8;
// No valid header is longer. Bounds the work for a forged one.
constexpr std::size_t maxHeaderBytes = 128;

std::string textOf(const OperatorCommand &command)
{
    std::string text;
    putText(text, command.host.value());
    putText(text, command.process);
    putText(text, command.method);
    putText(text, command.target);
    return text;
}

} // namespace

const char *faultName(OperatorFault fault)
{
    switch (fault) {
    case OperatorFault::Missing:
        return "missing";
    case OperatorFault::Malformed:
        return "malformed";
    case OperatorFault::UnknownKey:
        return "unknown_key";
    case OperatorFault::Forged:
        return "forged";
    case OperatorFault::Stale:
        return "stale";
    }
    return "malformed";
}

std::string operatorProof(const KeyRing &operators, const OperatorCommand &command, Instant now)
{
    std::string proof;
    putNumber(proof, formatByte, 1);
    putNumber(proof, operators.signing().id, 4);
    putNumber(proof, static_cast<std::uint64_t>(now.time_since_epoch().count()), 8);
    proof += operators.signing().key.sign({purpose, proof, textOf(command)});
    return std::string(scheme) + toBase64Url(proof);
}

std::optional<OperatorFault> checkOperatorProof(const KeyRing &operators, const OperatorCommand &command,
                                                std::string_view header, Instant now)
{
    if (header.empty()) {
        return OperatorFault::Missing;
    }
    if (header.size() > maxHeaderBytes || header.substr(0, scheme.size()) != scheme) {
        return OperatorFault::Malformed;
    }
    const std::optional<std::string> proof = fromBase64Url(header.substr(scheme.size()));
    if (!proof || proof->size() != headBytes + MacKey::macBytes) {
        return OperatorFault::Malformed;
    }
    const std::string_view head = std::string_view(*proof).substr(0, headBytes);
    FieldReader reader(head);
    if (reader.number(1) != formatByte) {
        return OperatorFault::Malformed;
    }
    const MacKey *key = operators.find(static_cast<KeyId>(reader.number(4)));
    if (key == nullptr) {
        return OperatorFault::UnknownKey;
    }
    if (!key->check(std::string_view(*proof).substr(headBytes), {purpose, head, textOf(command)})) {
        return OperatorFault::Forged;
    }
    const Instant made{Duration(static_cast<std::int64_t>(reader.number(8)))};
    if (made < now - operatorProofWindow || made > now + operatorProofWindow) {
        return OperatorFault::Stale;
    }
    return std::nullopt;
}

} // namespace fescuesill
