// Calls in flight to a limited endpoint are counted from grant to end, and none is granted at the limit. An endpoint
// that is not limited has no requests waiting.

#include "decide/slotqueue.h"

#include <algorithm>

namespace fescuesill
{

SlotQueue::SlotQueue(const Options &given)
    : options(given)
{
}

} // namespace fescuesill
