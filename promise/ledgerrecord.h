#pragma once

// One row of the at-most-once ledger, call/SERVICE/WORKSPACE/KEY, as JSON text.
//
//     const std::string text = encode(record);
//     const auto back = decodeLedgerRecord(row.value);
//     if (!back) { ... back.error().text says what is wrong ... }

#include "fescuesill/ids.h"
#include "fescuesill/units.h"

#include <cstdint>
#include <optional>
#include <string>
#include <tl/expected.hpp>

namespace fescuesill
{

enum class LedgerState {
    Open, // the attempt may send, or has sent
    Done, // the answer is known
    Released, // the attempt never sent and never will; another may take the row over
};

// What an endpoint said.
struct EndpointAnswer {
    int status = 0;
    std::string contentType;
    std::string body;

    friend bool operator==(const EndpointAnswer &a, const EndpointAnswer &b)
    {
        return a.status == b.status && a.contentType == b.contentType && a.body == b.body;
    }
};

struct LedgerRecord {
    AttemptId attempt;
    HostId entry;
    std::string bodyDigest;
    LedgerState state = LedgerState::Open;
    // Shared time after which the attempt has either its answer or an unknown outcome.
    Instant deadline;
    // Shared time after which a sweeper may delete the row, unless it is open: only a person settles a doubt.
    Instant expiry;
    // With Done. None where the answer was larger than the ledger keeps.
    std::optional<EndpointAnswer> answer;
};

struct LedgerRecordError {
    std::string text;
};

std::string encode(const LedgerRecord &record);
tl::expected<LedgerRecord, LedgerRecordError> decodeLedgerRecord(const std::string &text);

// The row of one call. None of the parts may hold a slash but the key, which comes last.
std::string ledgerKey(const ServiceId &service, const WorkspaceId &workspace, const std::string &idempotencyKey);
// The digest that tells two bodies under one key apart.
std::string bodyDigest(const std::string &method, const std::string &path, const std::string &body);

// Whether the sweeper may delete the row now. The margin is the most that two hosts' clocks differ.
bool mayDelete(const LedgerRecord &record, Instant now, Duration clockMargin);

} // namespace fescuesill
