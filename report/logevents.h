#pragma once

// What kinds of events the processes log, for those who read the logs.

#include "report/logline.h"

namespace fescuesill
{

// A change of what a process believes or depends on: its start and stop, the store, the leader, the configuration,
// endpoints.
bool isChange(const LogLine &line);
// A change of one engine or endpoint.
bool isEndpointChange(const LogLine &line);
// The last word of the host that took a request.
bool isEnd(const LogLine &line);
// The engines and endpoints that a line names.
std::vector<std::string> partnersIn(const LogLine &line);

} // namespace fescuesill
