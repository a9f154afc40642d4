#pragma once

// The JSON body of a refusal, as specified in docs/ARCHITECTURE.md.
//
//     refusalJson({RefusalCode::TooLarge, RunState::NotRun, "body over 4 MiB"}, RequestId("a-7"));
//     // {"error":{"code":"too_large","message":"body over 4 MiB","run":"not_run","request_id":"a-7"}}

#include "fescuesill/errors.h"
#include "fescuesill/ids.h"

namespace fescuesill
{

std::string refusalJson(const Refusal &refusal, const RequestId &request);
// The value of a Retry-After header: whole seconds, rounded up, at least 1.
std::string retryAfterSeconds(Duration wait);

} // namespace fescuesill
