#pragma once

// Hands an accepted version to a few schedulers of each data centre, in case the table cannot be read after the change.
//
//     const Teller teller(session, operatorKeys(line));  // before the change: the host list may be gone after it
//     ... the table accepts the record ...
//     teller.tell(record);

#include "session.h"

#include "promise/configrecord.h"
#include "promise/keyring.h"

namespace fescuesill::ctl
{

class Teller
{
public:
    // Of each data centre: enough that one of them lives and is heard, few enough for one command to send to.
    static constexpr int schedulersToTell = 3;

    Teller(Session &session, std::optional<KeyRing> keys);

    // Says on standard error where nobody took it; the change stands all the same.
    void tell(const ConfigRecord &record) const;

private:
    Session &session;
    std::optional<KeyRing> keys;
    std::vector<PlatformHost> hosts;
};

} // namespace fescuesill::ctl
