#pragma once

// The JSON body of a refusal, as docs/ARCHITECTURE.md gives it.
//
//     refusalJson({RefusalCode::TooLarge, RunState::NotRun, "body over 4 MiB"}, RequestId("a-7"));
//     // {"error":{"code":"too_large","message":"body over 4 MiB","run":"not_run","request_id":"a-7"}}

#include "fescuesill/errors.h"
#include "fescuesill/ids.h"

namespace fescuesill
{

std::string refusalJson(const Refusal &refusal, const RequestId &request);
// Whole seconds, rounded up, at least one: what the Retry-After header can say.
std::string retryAfterSeconds(Duration wait);

} // namespace fescuesill
