#pragma once

// Shows a process that a command comes from an operator who holds the operators' key.
//
//     const OperatorCommand command{HostId("athens-a"), "entry", "POST", "/drain"};
//     const std::string header = operatorProof(keys, command, sharedNow());        // of Authorization: "Bearer ..."
//     if (const auto fault = checkOperatorProof(keys, command, header, sharedNow())) { faultName(*fault); }
//
// A proof is good for one command at one process for a minute. The key itself never leaves the operator's machine.

#include "fescuesill/ids.h"
#include "fescuesill/units.h"
#include "promise/keyring.h"

#include <optional>

namespace fescuesill
{

struct OperatorCommand {
    HostId host;
    std::string process; // entry or scheduler
    std::string method;
    std::string target;
};

enum class OperatorFault {
    Missing,
    Malformed,
    UnknownKey,
    Forged, // or made for another command, host or process
    Stale, // or the clocks differ by too much
};

const char *faultName(OperatorFault fault);

// An operator's machine keeps time less strictly than a host; a command that is repeated in this time does no harm.
constexpr Duration operatorProofWindow = 60s;

std::string operatorProof(const KeyRing &operators, const OperatorCommand &command, Instant now);
std::optional<OperatorFault> checkOperatorProof(const KeyRing &operators, const OperatorCommand &command,
                                                std::string_view header, Instant now);

} // namespace fescuesill
