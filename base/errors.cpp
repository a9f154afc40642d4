#include "fescuesill/errors.h"

namespace fescuesill
{

std::string_view codeName(RefusalCode code)
{
    switch (code) {
    case RefusalCode::BadRequest:
        return "bad_request";
    case RefusalCode::TooLarge:
        return "too_large";
    case RefusalCode::Timeout:
        return "timeout";
    case RefusalCode::UnknownService:
        return "unknown_service";
    case RefusalCode::MethodNotAllowed:
        return "method_not_allowed";
    case RefusalCode::UnknownKey:
        return "unknown_key";
    case RefusalCode::BadIdempotencyKey:
        return "bad_idempotency_key";
    case RefusalCode::BadResumeToken:
        return "bad_resume_token";
    case RefusalCode::StreamGone:
        return "stream_gone";
    case RefusalCode::Overloaded:
        return "overloaded";
    case RefusalCode::QuotaExceeded:
        return "quota_exceeded";
    case RefusalCode::Draining:
        return "draining";
    case RefusalCode::NoConfiguration:
        return "no_configuration";
    case RefusalCode::StoreUnavailable:
        return "store_unavailable";
    case RefusalCode::EndpointFailed:
        return "endpoint_failed";
    case RefusalCode::OutcomeUnknown:
        return "outcome_unknown";
    case RefusalCode::InProgress:
        return "in_progress";
    case RefusalCode::Blocked:
        return "blocked";
    case RefusalCode::StatedNotRun:
        return "stated_not_run";
    case RefusalCode::Internal:
        return "internal";
    }
    return "internal";
}

std::string_view runStateName(RunState state)
{
    switch (state) {
    case RunState::NotRun:
        return "not_run";
    case RunState::MayHaveRun:
        return "may_have_run";
    case RunState::Ran:
        return "ran";
    }
    return "may_have_run";
}

int httpStatus(RefusalCode code)
{
    switch (code) {
    case RefusalCode::BadRequest:
    case RefusalCode::BadIdempotencyKey:
        return 400;
    case RefusalCode::UnknownKey:
        return 401;
    case RefusalCode::BadResumeToken:
        return 403;
    case RefusalCode::UnknownService:
        return 404;
    case RefusalCode::MethodNotAllowed:
        return 405;
    case RefusalCode::Timeout:
        return 408;
    case RefusalCode::InProgress:
    case RefusalCode::StatedNotRun:
        return 409;
    case RefusalCode::StreamGone:
        return 410;
    case RefusalCode::TooLarge:
        return 413;
    case RefusalCode::QuotaExceeded:
        return 429;
    case RefusalCode::EndpointFailed:
        return 502;
    case RefusalCode::Overloaded:
    case RefusalCode::Blocked:
    case RefusalCode::Draining:
    case RefusalCode::NoConfiguration:
    case RefusalCode::StoreUnavailable:
        return 503;
    case RefusalCode::OutcomeUnknown:
        return 504;
    case RefusalCode::Internal:
        return 500;
    }
    return 500;
}

} // namespace fescuesill
