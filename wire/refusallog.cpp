#include "wire/refusallog.h"

#include "wire/log.h"

// A host with the wrong key, or an attacker, can retry several times a second and fill the log with one repeated line.
// So each pair of name and cause is logged at once, and after that at most every half minute, with the number of
// refusals in between. When the table is full, for example of forged names, it is cleared: an attacker can cause log
// lines but cannot make the memory grow.

namespace fescuesill
{
namespace
{

constexpr Duration logInterval = 30s;
// Several times the number of pairs of a fleet of 340 hosts that all have the wrong key.
constexpr std::size_t maxLines = 1024;

} // namespace

RefusalLog::RefusalLog(std::string event)
    : event(std::move(event))
{
}

void RefusalLog::note(const std::string &name, std::string_view cause, Instant now)
{
    if (this->lines.size() >= maxLines) {
        this->lines.clear();
    }
    const auto [found, isNew] = this->lines.try_emplace({name, std::string(cause)});
    Line &line = found->second;
    ++line.times;
    if (!isNew && now - line.loggedAt < logInterval) {
        return;
    }
    Log::warning(this->event, {{"from", name}, {"cause", cause}, {"times", line.times}});
    line = Line{now, 0};
}

} // namespace fescuesill
