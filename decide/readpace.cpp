// The pool is one queue that drains at the speed of all its engines together: a prompt adds its own time divided by
// their number. That is exact while reads are spread by least load and engines are alike. It is not told when a read
// ends, so it costs no message; a pool that is slower than its fastest read is filled further than meant, by as much as
// it is slower.

#include "decide/readpace.h"

#include <algorithm>

namespace fescuesill
{

void ReadPace::setPool(std::size_t count, std::optional<double> measuredUs)
{
    this->engines = count;
    this->perTokenUs = measuredUs.value_or(this->options.unmeasuredUs);
}

Instant ReadPace::nextStart() const
{
    return this->busyUntil - this->options.longestQueue;
}

bool ReadPace::mayStart(Instant now) const
{
    return this->engines == 0 || now >= this->nextStart();
}

void ReadPace::onStarted(Tokens prompt, Instant now)
{
    if (this->engines == 0) {
        return;
    }
    const double shared = static_cast<double>(prompt.value()) * this->perTokenUs / static_cast<double>(this->engines);
    this->busyUntil = std::max(this->busyUntil, now) + Duration(static_cast<std::int64_t>(shared));
}

} // namespace fescuesill
