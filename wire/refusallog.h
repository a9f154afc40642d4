#pragma once

// Logs refused peers and the causes, rate-limited to one line per name and cause in half a minute.
//
//     RefusalLog refusals("probe_refused");
//     refusals.note("10.30.2.2", "unknown_key", steadyNow());
//     // level=warning event=probe_refused from=10.30.2.2 cause=unknown_key times=1
//
// Not thread-safe. The names come from unauthenticated senders, so the number of names kept is bounded.

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
        Instant loggedAt;
        std::uint64_t times = 0; // since loggedAt
    };

    std::string event;
    std::map<std::pair<std::string, std::string>, Line> lines;
};

} // namespace fescuesill
