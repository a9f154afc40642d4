#pragma once

// What a caller is told when it gets no answer.
//
//     Refusal refusal{RefusalCode::Overloaded, RunState::NotRun, "no decode place before the deadline", 800ms};
//     httpStatus(refusal.code);      // 503
//     codeName(refusal.code);        // "overloaded", stable over releases
//
// Each layer has an error type of its own and turns those of the layer below into it; only Refusal reaches a caller.

#include "fescuesill/units.h"

#include <optional>
#include <string>
#include <string_view>

namespace fescuesill
{

// Whether the work behind a request was carried out. NotRun is a promise: it was not and will not be.
enum class RunState {
    NotRun,
    MayHaveRun,
    Ran,
};

enum class RefusalCode {
    BadRequest, // malformed body, header or parameter
    TooLarge, // header or body over its limit
    Timeout, // the caller sent too slowly
    UnknownService,
    MethodNotAllowed,
    BadIdempotencyKey, // missing, malformed, or used before with another body
    BadResumeToken, // forged, expired, or another caller's
    StreamGone, // the stream that a token names is no longer held
    Overloaded, // a target cannot be met now; come back after retryAfter
    QuotaExceeded, // this workspace has its share
    Draining, // this host is stopping; another one answers
    NoConfiguration, // cut off past the freshness limit
    StoreUnavailable, // the platform's table cannot take the record
    EndpointFailed, // the endpoint failed and the call was not repeated
    OutcomeUnknown, // the call may have run; ask again with the same key
    InProgress, // the same key is being run now
    StatedNotRun, // an operator states that the call was not run; its key stays closed
    Internal,
};

struct Refusal {
    RefusalCode code = RefusalCode::Internal;
    RunState run = RunState::NotRun;
    std::string text;
    // When coming back helps; none where it does not.
    std::optional<Duration> retryAfter;
};

// Stable names for JSON bodies, logs and metrics.
std::string_view codeName(RefusalCode code);
std::string_view runStateName(RunState state);
int httpStatus(RefusalCode code);

} // namespace fescuesill
