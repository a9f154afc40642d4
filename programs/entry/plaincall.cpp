// A repeatable call goes to one endpoint after another as decide/plainretry.h says.
//
// A call that may not be repeated is handed to the ledger's thread and waited for. It goes on there whatever becomes of
// this caller, so that a repeat of its key finds the answer. The wait here has a limit of its own, past which the
// caller is told that the outcome is unknown: true then, since the attempt may still send.

#include "programs/entry/plaincall.h"

#include "wire/clock.h"
#include "wire/log.h"

#include <algorithm>

namespace fescuesill
{
namespace
{

constexpr std::size_t mostKeyLength = 128; // the key is part of a row's name
constexpr int statusUnavailable = 503;
constexpr Duration storeRetry{3s};
constexpr Duration endpointRetry{1s};
// Ledger calls before and after the endpoint's own deadline: three tries of 2 s each, twice.
constexpr Duration ledgerMargin{14s};

bool isKey(std::string_view key)
{
    const bool isClean = std::all_of(key.begin(), key.end(), [](char c) { return c > 0x20 && c < 0x7f && c != '/'; });
    return isClean && !key.empty() && key.size() <= mostKeyLength;
}

// The answer of an attempt, handed from the ledger's thread to the coroutine that waits for it. Both hold it, so
// whichever ends first leaves the other a valid place.
struct Pending {
    explicit Pending(asio::io_context &io)
        : timer(io)
    {
    }
    asio::steady_timer timer;
    std::optional<LedgerJob::Answer> answer; // only touched on the I/O thread
};

} // namespace

PlainCall::PlainCall(ShardServices &shared, const EntryView &seen, const Service &of, const WorkspaceId &caller,
                     HttpCall &given, HttpReply &answer)
    : services(shared)
    , view(seen)
    , service(of)
    , plain(std::get<PlainService>(of.kind))
    , workspace(caller)
    , call(given)
    , reply(answer)
{
}

void PlainCall::run(const asio::yield_context &yield)
{
    const auto &methods = this->plain.methods;
    if (std::find(methods.begin(), methods.end(), this->call.method) == methods.end()) {
        this->refuse(
            {RefusalCode::MethodNotAllowed, RunState::NotRun, "the service does not take this method", std::nullopt},
            yield);
        return;
    }
    if (this->plain.repeatable) {
        this->runRepeatable(yield);
    } else {
        this->runOnce(yield);
    }
}

HttpRequest PlainCall::forwarded() const
{
    HttpRequest request{this->call.method, this->call.target};
    request.sharedBody = this->call.body;
    request.headers.push_back({"X-Workspace", this->workspace.value()});
    request.headers.push_back({"X-Request-Id", this->call.id.value()});
    const std::string_view key = this->call.header("Idempotency-Key");
    if (!key.empty()) {
        request.headers.push_back({"Idempotency-Key", std::string(key)});
    }
    return request;
}

RequestTrait PlainCall::content() const
{
    return contentOf({this->call.method, this->call.target, this->call.body});
}

// A leaving endpoint gets nothing new; the start rotates so that the load spreads.
std::vector<std::string> PlainCall::addresses() const
{
    std::vector<std::string> found;
    for (const EndpointId &id : this->plain.endpoints) {
        const Endpoint *const endpoint = this->view.declaration->findEndpoint(id);
        if (endpoint != nullptr && !endpoint->leaving) {
            found.push_back(endpoint->address);
        }
    }
    if (!found.empty()) {
        const std::size_t start = std::hash<RequestId>()(this->call.id) % found.size();
        std::rotate(found.begin(), found.begin() + static_cast<std::ptrdiff_t>(start), found.end());
    }
    return found;
}

std::vector<std::string> PlainCall::withoutResting(std::vector<std::string> addresses) const
{
    LocalRests &rests = this->services.state.rests();
    const Instant now = steadyNow();
    addresses.erase(std::remove_if(addresses.begin(), addresses.end(),
                                   [&](const std::string &address) { return rests.isResting(address, now); }),
                    addresses.end());
    return addresses;
}

TryOutcome PlainCall::tryOne(const std::string &address, HttpResponse &response, const asio::yield_context &yield)
{
    const Instant begun = steadyNow();
    try {
        const CallOptions options{this->plain.deadline, Reuse::Allowed};
        response = this->services.endpoints.call(address, this->forwarded(), options, yield);
        this->services.state.rests().onAnswer(address, response);
        return response.status == statusUnavailable ? TryOutcome::Unavailable : TryOutcome::Answered;
    } catch (const HttpError &error) {
        Log::info("call_failed", {{"request", this->call.id.value()}, {"endpoint", address}, {"fault", error.what()}});
        const bool isCutShort = error.fault() == HttpFault::Closed && !error.isKnownNotSent();
        if (isCutShort && this->services.endpoints.probe(address, yield) == Liveness::Ended) {
            this->services.state.crashes().onCrash(endOf(address, begun), this->content());
        }
        return error.isKnownNotSent() ? TryOutcome::NeverSent : TryOutcome::Lost;
    }
}

void PlainCall::runRepeatable(const asio::yield_context &yield)
{
    const std::vector<std::string> endpoints = this->withoutResting(this->addresses());
    PlainRetry retry(endpoints.size(), static_cast<std::size_t>(this->view.declaration->retries.attempts));
    HttpResponse response;
    LocalCrashes &crashes = this->services.state.crashes();
    std::optional<std::size_t> next = retry.first();
    while (next) {
        if (const auto left = crashes.isEmpty() ? std::nullopt : crashes.blockedFor(this->content(), steadyNow())) {
            this->refuse({RefusalCode::Blocked, retry.run(), "requests like this one crash endpoints", *left}, yield);
            return;
        }
        next = retry.on(this->tryOne(endpoints[*next], response, yield), this->services.retries);
    }
    if (retry.isAnswered()) {
        if (!crashes.isEmpty()) {
            crashes.onServed(this->content());
        }
        this->answer({response.status, std::string(response.header("Content-Type")), response.body}, yield);
        return;
    }
    this->refuse({RefusalCode::EndpointFailed, retry.run(), "no endpoint answered", endpointRetry}, yield);
}

void PlainCall::runOnce(const asio::yield_context &yield)
{
    const std::string_view key = this->call.header("Idempotency-Key");
    if (!isKey(key)) {
        this->refuse({RefusalCode::BadIdempotencyKey, RunState::NotRun,
                      "Idempotency-Key must have 1 to 128 visible characters without a slash", std::nullopt},
                     yield);
        return;
    }
    LedgerJob job;
    job.call.service = this->service.id;
    job.call.workspace = this->workspace;
    job.call.idempotencyKey = key;
    job.call.bodyDigest = bodyDigest(this->call.method, this->call.target, this->call.body);
    job.call.attempt = AttemptId(this->call.id.value());
    job.call.entry = this->services.settings.host;
    job.call.resultQuery = this->plain.resultQuery;
    job.call.repeat = !this->call.header("X-Repeat").empty();
    job.call.endpointDeadline = this->plain.deadline;
    job.request = this->forwarded();
    job.request.body = this->call.body; // the job may outlive the call
    job.request.sharedBody = {};
    job.endpoints = this->addresses();
    const auto pending = std::make_shared<Pending>(this->services.io);
    job.reply = [pending, &io = this->services.io](const LedgerJob::Answer &answer) {
        asio::post(io, [pending, answer] {
            pending->answer = answer;
            pending->timer.cancel();
        });
    };
    pending->timer.expires_after(this->plain.deadline + ledgerMargin);
    if (!this->services.ledger.tryRun(std::move(job))) {
        this->refuse({RefusalCode::StoreUnavailable, RunState::NotRun, "too many calls wait for the store", storeRetry},
                     yield);
        return;
    }
    boost::system::error_code ignored;
    pending->timer.async_wait(yield[ignored]);
    if (!pending->answer) {
        this->refuse({RefusalCode::OutcomeUnknown, RunState::MayHaveRun, "no outcome in time; ask with the same key",
                      storeRetry},
                     yield);
        return;
    }
    if (const auto *refusal = std::get_if<Refusal>(&*pending->answer)) {
        this->refuse(*refusal, yield);
        return;
    }
    this->answer(std::get<EndpointAnswer>(*pending->answer), yield);
}

void PlainCall::answer(const EndpointAnswer &answer, const asio::yield_context &yield)
{
    this->services.metrics.onCallEnd(this->service.id, "answered");
    std::vector<HttpHeader> headers;
    if (!answer.contentType.empty()) {
        headers.push_back({"Content-Type", answer.contentType});
    }
    this->reply.send(answer.status, answer.body, yield, headers);
}

void PlainCall::refuse(const Refusal &refusal, const asio::yield_context &yield)
{
    this->services.metrics.onCallEnd(this->service.id, std::string(codeName(refusal.code)).c_str());
    this->reply.refuse(refusal, yield);
}

} // namespace fescuesill
