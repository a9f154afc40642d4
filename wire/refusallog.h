#pragma once

// Logs who was refused and why, at most one line each half minute for each name and cause.
//
//     RefusalLog refusals("probe_refused");
//     refusals.note("10.30.2.2", "unknown_key", steadyNow());
//     // level=warning event=probe_refused from=10.30.2.2 cause=unknown_key times=1
//
// Used from one thread. The names come from whoever sends, so their number is bounded.

#include "fescuesill/units.h"

#include <map>
#include <string>
#include <string_view>

namespace fescuesill
{

class RefusalLog
{
public:
    explicit RefusalLog(std::string event);

    void note(const std::string &name, std::string_view cause, Instant now);

private:
    struct Line {
        Instant told;
        std::uint64_t times = 0; // since it was told
    };

    std::string event;
    std::map<std::pair<std::string, std::string>, Line> lines;
};

} // namespace fescuesill
