#include "wire/refusallog.h"

#include "wire/log.h"

// Failure: a host with the wrong key, or an attacker, tries again several times a second. It shows as logs that are
// full of one line and hide the others. So a name and cause is told once, and then at most each half minute with the
// number of times in between. A table full of made-up names starts over: an attacker gets lines, but no memory.

namespace fescuesill
{
namespace
{

constexpr Duration pause = 30s;
// Several times what a fleet of 340 hosts shows while all have the wrong key.
constexpr std::size_t mostLines = 1024;

} // namespace

RefusalLog::RefusalLog(std::string event)
    : event(std::move(event))
{
}

void RefusalLog::note(const std::string &name, std::string_view cause, Instant now)
{
    if (this->lines.size() >= mostLines) {
        this->lines.clear();
    }
    const auto [found, isNew] = this->lines.try_emplace({name, std::string(cause)});
    Line &line = found->second;
    ++line.times;
    if (!isNew && now - line.told < pause) {
        return;
    }
    Log::warning(this->event, {{"from", name}, {"cause", cause}, {"times", line.times}});
    line = Line{now, 0};
}

} // namespace fescuesill
