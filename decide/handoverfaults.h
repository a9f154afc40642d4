#pragma once

// Decides which engine to avoid when a decode engine refuses a generation whose prompt another engine has prefilled.
//
//     HandoverFaults faults;
//     faults.onTaken(prefill, decode, now);
//     if (faults.onRefused(prefill, decode, now) == Pool::Decode) { ... avoid the decode engine ... }
//
// The refusal does not say why: the prefill result may be gone, or the decode engine sheds load.

#include "decide/cellmessages.h"

#include <unordered_map>

namespace fescuesill
{

class HandoverFaults
{
public:
    struct Options {
        Duration halfLife{3s}; // of the counts; a repaired engine has a clean record after some seconds
        Duration maxAge{60s}; // of the record of an engine that is not used
    };

    explicit HandoverFaults(const Options &given)
        : options(given)
    {
    }

    // The decode engine has decoded from the result of the prefill engine.
    void onTaken(const EngineId &prefill, const EngineId &decode, Instant now);
    // Returns the pool of the engine that is at fault.
    Pool onRefused(const EngineId &prefill, const EngineId &decode, Instant now);
    // Drops the records of engines that were not used for `maxAge`.
    void removeOld(Instant now);
    std::size_t size() const
    {
        return this->records.size();
    }

private:
    struct Record {
        double taken = 0;
        double refused = 0;
        Instant updated;
    };

    Record &current(const EngineId &engine, Instant now);

    Options options;
    std::unordered_map<EngineId, Record> records;
};

} // namespace fescuesill
