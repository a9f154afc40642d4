// The order of steps, and what may be said when, is all in Attempt; this performs its actions one at a time. An
// endpoint is called from one place only, send(), on a new connection, and another endpoint is tried only while not one
// byte of the call has left this process.
//
// Failure: this process is frozen between the ledger's insert and the send, and wakes after another entry has told the
// caller that the outcome is unknown. It shows as a booking that appears minutes later. So the clock is compared with
// sendBy once more before every connection, and again by the endpoint client's deadline.

#include "programs/entry/ledgerduty.h"

#include "wire/clock.h"
#include "wire/log.h"
#include "wire/messages.h"
#include "wire/url.h"

#include <array>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <openssl/rand.h>

namespace fescuesill
{
namespace
{

// A few seconds of the most bookings that the store takes; more would wait longer than their callers.
constexpr std::size_t mostJobs = 1024;
// Attempts under way, those that only settle their row after the answer included: an outage of ten minutes at several
// bookings a second.
constexpr std::size_t mostRunning = 4096;
constexpr Duration overloadRetry{3s};
constexpr Duration keysEvery{10s}; // a rotated key is known everywhere long before the old one goes
constexpr Duration keysRetry{500ms};
constexpr const char *resumeKeyRow = "key/resume";

// The row holds a JSON list: the key that signs first, then the one that is rotated out.
std::vector<std::string> decodeKeys(const std::string &value)
{
    const auto json = nlohmann::json::parse(value, nullptr, false);
    std::vector<std::string> keys;
    if (json.is_array()) {
        for (const auto &key : json) {
            keys.push_back(key.is_string() ? key.get<std::string>() : std::string());
        }
    }
    return keys;
}

std::string newKeys()
{
    std::array<unsigned char, ResumeTokens::minKeyBytes> bytes{};
    if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
        throw std::runtime_error("no random numbers for a key");
    }
    std::string text;
    for (const unsigned char byte : bytes) {
        text += fmt::format("{:02x}", byte);
    }
    return nlohmann::json::array({text}).dump();
}

} // namespace

LedgerDuty::LedgerDuty(const EntrySettings &given, EntryState &shared)
    : state(shared)
    , work(io.get_executor())
    , platform(io, {given.platform})
    , endpoints(io, HttpClient::Options::forEndpoints())
    , table(io, platform)
    , jobs(mostJobs, [this] { asio::post(this->io, [this] { this->drainRing(); }); })
{
}

LedgerDuty::~LedgerDuty()
{
    this->stop();
}

void LedgerDuty::start()
{
    startCoroutine(this->io, [this](const asio::yield_context &yield) { this->keepKeys(yield); });
    this->thread = std::thread([this] { this->io.run(); });
}

void LedgerDuty::stop()
{
    this->io.stop();
    if (this->thread.joinable()) {
        this->thread.join();
    }
}

bool LedgerDuty::tryRun(LedgerJob &&job)
{
    return this->jobs.tryPush(std::move(job));
}

void LedgerDuty::drainRing()
{
    while (auto job = this->jobs.tryPop()) {
        if (this->running >= mostRunning) {
            job->reply(Refusal{RefusalCode::StoreUnavailable, RunState::NotRun, "too many calls wait for the store",
                               overloadRetry});
            continue;
        }
        startCoroutine(this->io, [this, taken = std::move(*job)](const asio::yield_context &yield) {
            const EntryState::Duty duty(this->state);
            ++this->running;
            this->run(taken, yield);
            --this->running;
        });
    }
}

void LedgerDuty::run(const LedgerJob &job, const asio::yield_context &yield)
{
    Attempt attempt(job.call, {});
    AttemptAction action = attempt.on(attempt_event::Start{}, sharedNow());
    while (!std::holds_alternative<attempt_action::Stop>(action)) {
        const AttemptEvent event = this->perform(action, job, yield);
        action = attempt.on(event, sharedNow());
    }
}

AttemptEvent LedgerDuty::perform(const AttemptAction &action, const LedgerJob &job, const asio::yield_context &yield)
{
    return std::visit(
        Overloaded{
            [&](const attempt_action::Write &write) { return this->write(write, yield); },
            [&](const attempt_action::Read &read) { return this->read(read, yield); },
            [&](const attempt_action::Send &send) { return this->send(send, job, yield); },
            [&](const attempt_action::QueryResult &) { return this->queryResult(job, yield); },
            [&](const attempt_action::Reply &reply) -> AttemptEvent {
                job.reply(reply.with);
                return attempt_event::Replied{};
            },
            [&](const attempt_action::Wait &wait) -> AttemptEvent {
                asio::steady_timer timer(this->io, wait.duration);
                boost::system::error_code ignored;
                timer.async_wait(yield[ignored]);
                return attempt_event::TimerExpired{};
            },
            [](const attempt_action::Stop &) -> AttemptEvent { throw std::logic_error("nothing follows Stop"); },
        },
        action);
}

AttemptEvent LedgerDuty::write(const attempt_action::Write &write, const asio::yield_context &yield)
{
    const LedgerTable::Result result = this->table.write(write.write, yield);
    return std::visit([](const auto &one) -> AttemptEvent { return one; }, result);
}

AttemptEvent LedgerDuty::read(const attempt_action::Read &read, const asio::yield_context &yield)
{
    try {
        const auto row = this->platform.get(read.key, yield);
        return table::RowRead{row ? std::optional(TableRow{row->value, row->version}) : std::nullopt};
    } catch (const PlatformError &) {
        return table::ReadFailed{};
    }
}

AttemptEvent LedgerDuty::send(const attempt_action::Send &send, const LedgerJob &job, const asio::yield_context &yield)
{
    LocalCrashes &crashes = this->state.crashes();
    for (const std::string &address : job.endpoints) {
        // The call was not sent, so the ledger releases its key like that of any call that found no endpoint.
        if (!crashes.isEmpty() && crashes.blockedFor(contentOf(job.request), steadyNow())) {
            Log::info("call_blocked", {{"attempt", job.call.attempt.value()}});
            return attempt_event::NeverSent{};
        }
        const Instant begun = steadyNow();
        if (sharedNow() >= send.sendBy) {
            return attempt_event::NeverSent{};
        }
        if (this->state.rests().isResting(address, begun)) {
            continue;
        }
        try {
            const HttpResponse response =
                this->endpoints.call(address, job.request, {job.call.endpointDeadline, Reuse::Never}, yield);
            this->state.rests().onAnswer(address, response);
            if (!crashes.isEmpty()) {
                crashes.onServed(contentOf(job.request));
            }
            return attempt_event::Answered{
                {response.status, std::string(response.header("Content-Type")), response.body}};
        } catch (const HttpError &error) {
            Log::warning("call_failed",
                         {{"attempt", job.call.attempt.value()}, {"endpoint", address}, {"fault", error.what()}});
            if (error.fault() == HttpFault::Closed && !error.isKnownNotSent()
                && this->endpoints.probe(address, yield) == Liveness::Ended) {
                crashes.onCrash(endOf(address, begun), contentOf(job.request));
            }
            if (!error.isKnownNotSent()) {
                return attempt_event::AnswerLost{};
            }
        }
    }
    return attempt_event::NeverSent{};
}

AttemptEvent LedgerDuty::queryResult(const LedgerJob &job, const asio::yield_context &yield)
{
    bool isAbsent = !job.endpoints.empty();
    HttpRequest request{"GET", "/results/" + percentEncode(job.call.idempotencyKey)};
    // Two workspaces may choose the same key; the endpoint must answer for this one's.
    request.headers.push_back({"X-Workspace", job.call.workspace.value()});
    for (const std::string &address : job.endpoints) {
        if (this->state.rests().isResting(address, steadyNow())) {
            isAbsent = false; // it may know
            continue;
        }
        try {
            const HttpResponse response =
                this->endpoints.call(address, request, {job.call.endpointDeadline, Reuse::Allowed}, yield);
            this->state.rests().onAnswer(address, response);
            if (response.status == 200) {
                return attempt_event::ResultFound{
                    {response.status, std::string(response.header("Content-Type")), response.body}};
            }
            isAbsent = isAbsent && response.status == 404;
        } catch (const HttpError &) {
            isAbsent = false;
        }
    }
    if (isAbsent) {
        return attempt_event::ResultAbsent{};
    }
    return attempt_event::ResultUnknown{};
}

void LedgerDuty::keepKeys(const asio::yield_context &yield)
{
    asio::steady_timer timer(this->io);
    while (true) {
        this->readKeys(yield);
        boost::system::error_code ignored;
        timer.expires_after(this->state.resumeTokens() ? keysEvery : keysRetry);
        timer.async_wait(yield[ignored]);
    }
}

// The first entry of a new deployment makes the keys; of several, one insert wins and all read that one.
void LedgerDuty::insertKeys(const asio::yield_context &yield)
{
    try {
        this->platform.commit({RowWrite::put(resumeKeyRow, newKeys(), RowVersion(0))}, yield);
    } catch (const PlatformError &error) {
        if (!std::holds_alternative<Conflict>(error.fault())) {
            throw;
        }
    }
}

void LedgerDuty::readKeys(const asio::yield_context &yield)
{
    try {
        auto row = this->platform.get(resumeKeyRow, yield);
        if (!row) {
            this->insertKeys(yield);
            row = this->platform.get(resumeKeyRow, yield);
        }
        if (!row) {
            return;
        }
        auto tokens = ResumeTokens::create(decodeKeys(row->value));
        if (tokens) {
            this->state.setResumeTokens(std::make_shared<const ResumeTokens>(std::move(*tokens)));
        } else {
            Log::error("resume_keys_malformed", {{"fault", tokens.error().text}});
        }
    } catch (const PlatformError &error) {
        Log::debug("resume_keys_unread", {{"fault", error.what()}});
    }
}

} // namespace fescuesill
