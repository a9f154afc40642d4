#pragma once

// The request with which the operator's command sends an accepted version to a scheduler's admin port.
//
//     question.target = configPushTarget(record);          // "/config?sha256=…"; an operator's proof covers the target
//     if (isConfigPush(target) && target == configPushTarget(body)) { ... the proof covers this body ... }

#include <string>
#include <string_view>

namespace fescuesill
{

bool isConfigPush(std::string_view target);
std::string configPushTarget(std::string_view record);

} // namespace fescuesill
