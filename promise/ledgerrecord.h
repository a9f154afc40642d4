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
    Released, // the attempt has not sent and will not send; another attempt may take over the row
    Closed, // an operator stated that the call was not run; no attempt may take over the row
};

// An operator's statement about the outcome of a row in doubt.
struct LedgerStatement {
    std::string author;
    std::string reason;
    std::string changeId; // unique to the change; resolves a lost reply
    Instant at; // shared time
    bool ran = false;
};

// The answer of an endpoint to a call.
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
    // Shared time after which the attempt either has its answer or its outcome is unknown.
    Instant deadline;
    // Shared time after which a sweeper may delete the row; see mayDelete.
    Instant expiry;
    // With Done. None if the answer is not known or was too large to be stored.
    std::optional<EndpointAnswer> answer;
    // Kept in the row even if an answer arrives later and overrides it.
    std::optional<LedgerStatement> stated;
};

struct LedgerRecordError {
    std::string text;
};

std::string encode(const LedgerRecord &record);
tl::expected<LedgerRecord, LedgerRecordError> decodeLedgerRecord(const std::string &text);

// The key of the row of one call. Only the idempotency key, which is the last part, may contain a slash.
constexpr const char *ledgerPrefix = "call/";
std::string ledgerKey(const ServiceId &service, const WorkspaceId &workspace, const std::string &idempotencyKey);
// Distinguishes requests with different methods, paths or bodies under one key.
std::string bodyDigest(const std::string &method, const std::string &path, const std::string &body);

struct LedgerKey {
    ServiceId service;
    WorkspaceId workspace;
    std::string idempotencyKey;
};
// None if the key does not have the form of ledgerKey().
std::optional<LedgerKey> parseLedgerKey(const std::string &key);

// Whether the outcome of the call is unknown and its attempt's deadline has passed.
bool isInDoubt(const LedgerRecord &record, Instant now, Duration clockMargin);

// Whether the row may be deleted, or its call run anew. The margin is the maximum difference between two hosts' clocks.
bool mayDelete(const LedgerRecord &record, Instant now, Duration clockMargin);

} // namespace fescuesill
