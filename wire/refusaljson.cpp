#include "wire/refusaljson.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace fescuesill
{

std::string refusalJson(const Refusal &refusal, const RequestId &request)
{
    nlohmann::ordered_json error;
    error["code"] = codeName(refusal.code);
    error["message"] = refusal.text;
    error["run"] = runStateName(refusal.run);
    error["request_id"] = request.value();
    nlohmann::ordered_json body;
    body["error"] = std::move(error);
    return body.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

std::string retryAfterSeconds(Duration wait)
{
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(wait + 999ms).count();
    return std::to_string(std::max<std::int64_t>(seconds, 1));
}

} // namespace fescuesill
