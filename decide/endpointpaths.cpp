// One endpoint that can't be reached is most likely down. If two in a row can't be reached, the common cause is more
// likely at this host. A wrong verdict is cheap and short: the next connection that is opened reverses it.

#include "decide/endpointpaths.h"

namespace fescuesill
{

void EndpointPaths::change(bool isCutOff, Instant now)
{
    this->cutOff = isCutOff;
    this->changed = now;
}

bool EndpointPaths::onConnected(Instant now)
{
    ++this->direct.opened;
    this->failures = 0;
    if (!this->cutOff) {
        return false;
    }
    this->change(false, now);
    return true;
}

bool EndpointPaths::onConnectFailed(const std::string &address, Instant now)
{
    ++this->direct.failed;
    if (this->failures++ == 0) {
        this->failedAddress = address;
    }
    const bool isCommon = address != this->failedAddress || this->failures >= this->options.failuresOfOne;
    if (this->cutOff || !isCommon) {
        return false;
    }
    this->change(true, now);
    return true;
}

} // namespace fescuesill
