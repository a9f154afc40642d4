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
    Closed, // an operator states that the call was not run; no attempt may take the row over
};

// An operator's word on a row that was in doubt.
struct LedgerStatement {
    std::string author;
    std::string reason;
    std::string changeId; // unique to the change, by which a lost reply is resolved
    Instant at; // shared time
    bool ran = false;
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
    // Shared time after which a sweeper may delete the row; see mayDelete.
    Instant expiry;
    // With Done. None where the answer was larger than the ledger keeps.
    std::optional<EndpointAnswer> answer;
    // Stays in the row when an answer turns up later and overrules it.
    std::optional<LedgerStatement> stated;
};

struct LedgerRecordError {
    std::string text;
};

std::string encode(const LedgerRecord &record);
tl::expected<LedgerRecord, LedgerRecordError> decodeLedgerRecord(const std::string &text);

// The row of one call. None of the parts may hold a slash but the key, which comes last.
constexpr const char *ledgerPrefix = "call/";
std::string ledgerKey(const ServiceId &service, const WorkspaceId &workspace, const std::string &idempotencyKey);
// The digest that tells two bodies under one key apart.
std::string bodyDigest(const std::string &method, const std::string &path, const std::string &body);

struct LedgerKey {
    ServiceId service;
    WorkspaceId workspace;
    std::string idempotencyKey;
};
// None where the row's name is not one of ledgerKey().
std::optional<LedgerKey> parseLedgerKey(const std::string &key);

// Whether the outcome of the call is unknown and no longer about to be known.
bool isInDoubt(const LedgerRecord &record, Instant now, Duration clockMargin);

// Whether the row may be deleted now, or run anew. The margin is the most that two hosts' clocks differ.
bool mayDelete(const LedgerRecord &record, Instant now, Duration clockMargin);

} // namespace fescuesill
