#pragma once

// Proves to a process that a command was issued by a holder of the operators' key.
//
//     const OperatorCommand command{HostId("athens-a"), "entry", "POST", "/drain"};
//     const std::string header = operatorProof(keys, command, sharedNow());        // Authorization: "Bearer ..."
//     if (const auto fault = checkOperatorProof(keys, command, header, sharedNow())) { faultName(*fault); }
//
// A proof is valid for one command at one process for one minute. The key itself never leaves the operator's machine.

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
    Forged, // or issued for another command, host or process
    Stale, // expired, or the clocks differ by too much
};

const char *faultName(OperatorFault fault);

// The clock of an operator's machine is less accurate than a host's. Replaying a command within the window is harmless.
constexpr Duration operatorProofWindow = 60s;

std::string operatorProof(const KeyRing &operators, const OperatorCommand &command, Instant now);
std::optional<OperatorFault> checkOperatorProof(const KeyRing &operators, const OperatorCommand &command,
                                                std::string_view header, Instant now);

} // namespace fescuesill
