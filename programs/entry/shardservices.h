#pragma once

// What the calls on one I/O thread share. Only `links`, `held`, `metrics`, `state` and `ledger` are used by other
// threads too; each of them says how.

#include "decide/cellchoice.h"
#include "decide/powerofchoice.h"
#include "decide/retrybudget.h"
#include "programs/entry/entrymetrics.h"
#include "programs/entry/entrysettings.h"
#include "programs/entry/entrystate.h"
#include "programs/entry/linkduty.h"
#include "programs/entry/ownermailbox.h"
#include "programs/entry/requestids.h"
#include "wire/engineclient.h"
#include "wire/httpclient.h"

namespace fescuesill
{

class Canceller;
class DegradedLoads;
class LedgerDuty;

struct ShardServices {
    asio::io_context &io;
    const EntrySettings &settings;
    EntryState &state;
    LinkDuty &links;
    HeldRequests &held;
    EntryMetrics &metrics;
    LedgerDuty &ledger;
    std::size_t shard = 0;
    RequestIds ids;
    EngineClient engines;
    HttpClient endpoints;
    OwnerMailbox mailbox;
    CellChoice cellChoice;
    std::map<CellId, PowerOfChoice> degradedPlacers; // of the cells that the declaration makes
    RetryBudget retries;
    Canceller *canceller = nullptr;
    DegradedLoads *degradedLoads = nullptr;
    // The view that the choosers above were last fed from.
    std::shared_ptr<const EntryView> fedFrom;
};

} // namespace fescuesill
