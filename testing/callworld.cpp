#include "testing/callworld.h"

#include <fmt/format.h>

// The caller keeps its key and goes to the next entry after a refusal or six seconds of silence, as a client library
// does. Faults strike all entries' actions by (entry, step). The endpoint runs whatever it is sent: it does not look at
// keys, so that nothing but the ledger stands between a repeat and a second motor.

namespace fescuesill
{
namespace
{

constexpr Duration callerPatience = 6s;
const std::string key = "k1";
const std::string changeId = "c1";
// Before a frozen entry thaws, so that its bytes arrive after the statement.
constexpr Duration operatorComes = 8s;

} // namespace

CallWorld::CallWorld(FaultRun &run, Options options)
    : run(run)
    , options(options)
{
}

void CallWorld::runToEnd()
{
    this->callerSends();
    if (this->options.operatorSettles) {
        this->simulation.after(operatorComes, [this] { this->operatorLooks(); });
    }
    this->simulation.runUntilIdle();
}

std::string CallWorld::outcome() const
{
    const bool isWrong = this->state == "stated not run" && this->executions > 0;
    return isWrong ? "stated not run and ran" : this->state;
}

void CallWorld::callerSends()
{
    const int number = static_cast<int>(this->entries.size()) + 1;
    this->current = number;
    AttemptCall call;
    call.service = ServiceId("bookings");
    call.workspace = WorkspaceId("karamanlis");
    call.idempotencyKey = key;
    call.bodyDigest = "digest";
    call.attempt = AttemptId(fmt::format("a{}", number));
    call.entry = HostId(fmt::format("entry-{}", number));
    call.resultQuery = this->options.resultQuery;
    call.repeat = number > 1;
    // No fault strikes the last try: whoever comes back in quiet times must learn what can be known.
    FaultRun &faults = number < this->options.tries ? this->run : this->calm;
    auto entry = std::make_unique<Entry>(this->simulation, faults, number, call);
    entry->request = RequestId(fmt::format("r{}", number));
    entry->number = number;
    entry->process.onCancel = [this, request = entry->request] {
        if (!this->done) {
            this->history.add(this->simulation.now, history::Gone{request});
            this->done = true;
            this->state = "gone";
        }
    };
    this->history.add(this->simulation.now, history::Sent{entry->request, key});
    this->entries.push_back(std::move(entry));
    this->simulation.after(callerPatience, [this, number] {
        if (this->current == number && !this->done) {
            this->current = 0; // the connection is closed: what comes now is not heard
            this->state = "unknown";
            this->callerComesBack(number, 1s);
        }
    });
    this->step(*this->entries.back(), attempt_event::Start{});
}

void CallWorld::callerHears(int number, const std::variant<EndpointAnswer, Refusal> &with)
{
    if (this->current != number || this->done) {
        return;
    }
    this->current = 0;
    const RequestId request = this->entries[number - 1]->request;
    if (const auto *answer = std::get_if<EndpointAnswer>(&with)) {
        this->history.add(this->simulation.now, history::Answered{request, answer->body});
        this->done = true;
        this->state = "answered";
        return;
    }
    const Refusal &refusal = std::get<Refusal>(with);
    this->history.add(this->simulation.now, history::Refused{request, refusal.run});
    this->state = refusal.code == RefusalCode::StatedNotRun ? "stated not run"
        : refusal.run == RunState::Ran                      ? "ran"
        : refusal.run == RunState::NotRun                   ? "not run"
                                                            : "unknown";
    this->callerComesBack(number, refusal.retryAfter.value_or(1s) + 1ms);
}

void CallWorld::callerComesBack(int number, Duration wait)
{
    if (number >= this->options.tries) {
        return;
    }
    const bool last = number + 1 == this->options.tries;
    this->simulation.after(last ? Duration(24h * 6) : wait, [this] { this->callerSends(); });
}

void CallWorld::step(Entry &entry, const AttemptEvent &event)
{
    this->perform(entry, entry.attempt.on(event, this->simulation.now));
}

EndpointAnswer CallWorld::execute(const RequestId &request)
{
    ++this->executions;
    EndpointAnswer answer{201, "text/plain", fmt::format("motor {}", this->executions)};
    this->history.add(this->simulation.now, history::Executed{request, key, answer.body});
    if (!this->result) {
        this->result = answer;
    }
    return answer;
}

std::string CallWorld::falsehood() const
{
    if (!this->settling || !this->settling->told) {
        return {};
    }
    const auto row = this->table.read(ledgerKey(ServiceId("bookings"), WorkspaceId("karamanlis"), key));
    const auto record = row ? decodeLedgerRecord(row->value) : tl::unexpected(LedgerRecordError{});
    const bool stands = record && record->stated && record->stated->changeId == changeId;
    const SettlementOutcome told = *this->settling->told;
    if (told == SettlementOutcome::Settled) {
        return stands ? "" : "the operator was told that the statement stands";
    }
    const bool mayStand = told == SettlementOutcome::Unknown;
    return stands && !mayStand ? "the operator was told that nothing was written" : "";
}

// No wait of its own for "not run": nothing may rest on it.
void CallWorld::operatorLooks()
{
    LedgerSettlement::Options limits;
    limits.notRunDelay = Duration(0);
    const LedgerStatement statement{"eleni", "looked", changeId, Instant(), this->executions > 0};
    LedgerSettlement settlement(ledgerKey(ServiceId("bookings"), WorkspaceId("karamanlis"), key), statement,
                                std::nullopt, limits);
    this->settling = std::make_unique<Operator>(this->simulation, this->run, std::move(settlement));
    this->stepOperator(this->settling->settlement.start());
}

void CallWorld::stepOperator(const SettlementAction &action)
{
    const auto next = [this](const SettlementEvent &event) {
        this->stepOperator(this->settling->settlement.on(event, this->simulation.now));
    };
    SimProcess &process = this->settling->process;
    if (const auto *read = std::get_if<settlement_action::Read>(&action)) {
        const auto effect = [this, row = read->key]() -> SettlementEvent {
            return table::RowRead{this->table.read(row)};
        };
        process.act<SettlementEvent>({"operator reads", true}, effect, table::ReadFailed{}, table::ReadFailed{}, next);
    } else if (const auto *write = std::get_if<settlement_action::Write>(&action)) {
        const auto effect = [this, single = write->write]() -> SettlementEvent {
            return std::visit([](const auto &written) -> SettlementEvent { return written; },
                              this->table.commit({single}));
        };
        process.act<SettlementEvent>({"operator settles", true}, effect, table::NoReply{}, table::Refused{}, next);
    } else {
        this->settling->told = std::get<settlement_action::Finish>(action).outcome;
    }
}

void CallWorld::perform(Entry &entry, const AttemptAction &action)
{
    const auto next = [this, &entry](const AttemptEvent &event) {
        this->step(entry, event);
    };
    SimProcess &process = entry.process;
    if (const auto *write = std::get_if<attempt_action::Write>(&action)) {
        ++this->tableWrites;
        const LedgerRecord record = decodeLedgerRecord(write->write.value).value();
        const char *kind = record.state == LedgerState::Open ? "insert"
            : record.state == LedgerState::Done              ? "store the answer"
                                                             : "release";
        const auto effect = [this, single = write->write]() -> AttemptEvent {
            return std::visit([](const auto &written) -> AttemptEvent { return written; },
                              this->table.commit({single}));
        };
        process.act<AttemptEvent>({kind, true}, effect, table::NoReply{}, table::Refused{}, next);
    } else if (const auto *read = std::get_if<attempt_action::Read>(&action)) {
        const auto effect = [this, row = read->key]() -> AttemptEvent {
            return table::RowRead{this->table.read(row)};
        };
        process.act<AttemptEvent>({"read back", true}, effect, table::ReadFailed{}, table::ReadFailed{}, next);
    } else if (std::holds_alternative<attempt_action::Send>(action)) {
        const auto effect = [this, &entry]() -> AttemptEvent {
            return attempt_event::Answered{this->execute(entry.request)};
        };
        process.act<AttemptEvent>({"send", false, 2s}, effect, attempt_event::AnswerLost{}, attempt_event::NeverSent{},
                                  next);
    } else if (std::holds_alternative<attempt_action::QueryResult>(action)) {
        const auto effect = [this]() -> AttemptEvent {
            return this->result ? AttemptEvent(attempt_event::ResultFound{*this->result})
                                : AttemptEvent(attempt_event::ResultAbsent{});
        };
        process.act<AttemptEvent>({"ask for the result", false}, effect, attempt_event::ResultUnknown{},
                                  attempt_event::ResultUnknown{}, next);
    } else if (const auto *reply = std::get_if<attempt_action::Reply>(&action)) {
        const auto effect = [this, &entry, with = reply->with]() -> AttemptEvent {
            this->callerHears(entry.number, with);
            return attempt_event::Replied{};
        };
        process.act<AttemptEvent>({"reply", false}, effect, attempt_event::Replied{}, attempt_event::Replied{}, next);
    } else if (const auto *wait = std::get_if<attempt_action::Wait>(&action)) {
        this->simulation.after(wait->duration, [next, &process] {
            if (process.alive) {
                next(attempt_event::TimerExpired{});
            }
        });
    }
}

} // namespace fescuesill
