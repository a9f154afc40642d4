#pragma once

// The thread that talks to the platform: runs each call that may not be repeated through the at-most-once ledger, and
// keeps the keys of the resume tokens.
//
//     LedgerDuty ledger(settings, state);
//     ledger.start();
//     if (!ledger.tryRun(std::move(job))) { ... full: StoreUnavailable, not run ... }     // any thread
//
// job.reply is called once, on the ledger's thread; the attempt then goes on by itself until its row is settled.

#include "programs/entry/entrysettings.h"
#include "programs/entry/entrystate.h"
#include "programs/entry/ledgertable.h"
#include "promise/attempt.h"
#include "wire/ring.h"

#include <functional>
#include <thread>

namespace fescuesill
{

struct LedgerJob {
    using Answer = std::variant<EndpointAnswer, Refusal>;

    AttemptCall call;
    HttpRequest request;
    std::vector<std::string> endpoints; // addresses, in the order to try them
    std::function<void(Answer)> reply;
};

class LedgerDuty
{
public:
    LedgerDuty(const EntrySettings &settings, EntryState &state);
    ~LedgerDuty();
    LedgerDuty(const LedgerDuty &) = delete;
    LedgerDuty &operator=(const LedgerDuty &) = delete;

    void start();
    void stop();
    // False when too many wait already; the job is untouched then.
    bool tryRun(LedgerJob &&job);

private:
    void drainRing();
    void run(const LedgerJob &job, const asio::yield_context &yield);
    AttemptEvent perform(const AttemptAction &action, const LedgerJob &job, const asio::yield_context &yield);
    AttemptEvent write(const attempt_action::Write &write, const asio::yield_context &yield);
    AttemptEvent read(const attempt_action::Read &read, const asio::yield_context &yield);
    AttemptEvent send(const attempt_action::Send &send, const LedgerJob &job, const asio::yield_context &yield);
    AttemptEvent queryResult(const LedgerJob &job, const asio::yield_context &yield);
    void keepKeys(const asio::yield_context &yield);
    void insertKeys(const asio::yield_context &yield);
    void readKeys(const asio::yield_context &yield);

    EntryState &state;
    asio::io_context io;
    asio::executor_work_guard<asio::io_context::executor_type> work;
    PlatformClient platform;
    HttpClient endpoints;
    LedgerTable table;
    Ring<LedgerJob> jobs;
    std::size_t running = 0; // only touched on the ledger's thread
    std::thread thread;
};

} // namespace fescuesill
