#pragma once

// The refusal that a caller receives in place of an answer.
//
//     Refusal refusal{RefusalCode::Overloaded, RunState::NotRun, "no decode place before the deadline", 800ms};
//     httpStatus(refusal.code);      // 503
//     codeName(refusal.code);        // "overloaded", stable over releases
//
// Each layer has its own error type and converts those of the layer below into it. Only a Refusal reaches a caller.

#include "fescuesill/units.h"

#include <optional>
#include <string>
#include <string_view>

namespace fescuesill
{

// Whether the work of a request was carried out. NotRun guarantees that it was not and will not be.
enum class RunState {
    NotRun,
    MayHaveRun,
    Ran,
};

enum class RefusalCode {
    BadRequest, // malformed body, header or parameter
    TooLarge, // the header or body exceeds its limit
    Timeout, // the caller sent the request too slowly
    UnknownService,
    MethodNotAllowed,
    UnknownKey, // the caller's key is missing, malformed or held by no workspace
    BadIdempotencyKey, // missing, malformed, or used before with another body
    BadResumeToken, // forged, expired, or another caller's
    StreamGone, // the stream of the token is no longer held
    Overloaded, // the target cannot be met now; retry after retryAfter
    QuotaExceeded, // the workspace has used its share
    Draining, // this host is stopping; retry at another host
    NoConfiguration, // there is no configuration within the freshness limit
    StoreUnavailable, // the platform's table cannot store the record
    EndpointFailed, // the endpoint failed and the call was not repeated
    OutcomeUnknown, // the call may have run; retry with the same key
    InProgress, // a call with the same key is running
    Blocked, // requests like this one crash endpoints; none is sent for a while
    StatedNotRun, // an operator stated that the call was not run; its key stays closed
    Internal,
};

struct Refusal {
    RefusalCode code = RefusalCode::Internal;
    RunState run = RunState::NotRun;
    std::string text;
    // The time after which a retry may succeed; none if a retry does not help.
    std::optional<Duration> retryAfter;
};

// Names for JSON bodies, logs and metrics. They are stable over releases.
std::string_view codeName(RefusalCode code);
std::string_view runStateName(RunState state);
int httpStatus(RefusalCode code);

} // namespace fescuesill
