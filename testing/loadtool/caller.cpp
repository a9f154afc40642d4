// A model request is idempotent for its caller as long as it has seen nothing of the answer: then a broken connection
// is answered by asking again. Once it holds a part it asks any entry for the rest with the last event's id, and
// compares the whole with the text that the stand-in engines give for this prompt alone. A part whose rest is refused
// for good is a broken promise.
//
// A booking is repeated with the same key until it is answered or refused. As soon as one attempt was cut after it was
// sent, a later "not run" speaks only of the later attempt, so the call then ends as unknown rather than refused.

#include "testing/loadtool/caller.h"

#include "testing/fakeengine/answertext.h"

#include <charconv>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace fescuesill::standin
{

using nlohmann::json;

namespace
{

constexpr int httpOk = 200;
constexpr int httpTooEarlyOrBusy = 425;
constexpr int httpTooMany = 429;
constexpr int httpConflict = 409;
constexpr int httpServerError = 500;
constexpr std::chrono::milliseconds impatience(50);
constexpr std::chrono::milliseconds longestWait(5000);
constexpr std::chrono::milliseconds defaultWait(300);
constexpr std::chrono::milliseconds replyLimit(60000);
constexpr std::string_view endOfEvents = "[DONE]";

std::string filler(const std::string &name, std::int64_t bytes)
{
    std::string text;
    for (int line = 0; static_cast<std::int64_t>(text.size()) < bytes; ++line) {
        text += fmt::format("{} {:05} phase current 12.4 A, hall sensor ok, battery 48.1 V\n", name, line);
    }
    return text;
}

std::string textOf(const json &body)
{
    const json &choices = body.value("choices", json::array());
    if (choices.empty()) {
        return {};
    }
    const json &choice = choices[0];
    for (const char *part : {"delta", "message"}) {
        if (choice.contains(part)) {
            return choice[part].value("content", "");
        }
    }
    return choice.value("text", "");
}

bool isModel(CallKind kind)
{
    return kind == CallKind::Completion || kind == CallKind::Chat;
}

} // namespace

Caller::Caller(const Surroundings &surroundings, bool isPatient, const asio::yield_context &yield)
    : around(surroundings)
    , isPatient(isPatient)
    , yield(yield)
{
}

void Caller::run(CallRecord &record)
{
    if (isModel(record.kind)) {
        this->runModel(record);
    } else {
        this->runPlain(record);
    }
    this->around.history.close(record);
}

void Caller::runModel(CallRecord &record)
{
    Step step = Step::ComeBack;
    for (int i = 0; i < this->around.options.attempts; ++i) {
        const bool isResume = !this->lastEventId.empty();
        Attempt attempt = this->beginAttempt(record, isResume);
        step = this->attemptModel(record, attempt);
        this->endAttempt(record, attempt);
        if (step == Step::Whole || step == Step::Final) {
            break;
        }
        if (step == Step::Cut) {
            ++(this->lastEventId.empty() ? record.restarts : record.resumes);
            this->pause(impatience);
        } else {
            this->pause(this->isPatient ? this->retryAfter : impatience);
        }
    }
    this->judgeModel(record, step);
}

Caller::Step Caller::attemptModel(CallRecord &record, Attempt &attempt)
{
    ClientCall call = this->modelCall(record);
    if (attempt.isResume) {
        call = {"GET", "/v1/streams", {}, {{"X-Workspace", record.workspace}, {"Last-Event-ID", this->lastEventId}}};
    }
    call.limit = replyLimit;
    EventStream stream(this->around.io, this->entry, call, this->yield);
    attempt.status = stream.status();
    if (stream.status() == 0) {
        this->around.balancer.connectFailed(this->entry);
        return Step::Cut;
    }
    if (stream.hasEvents()) {
        return this->readEvents(stream, record, attempt);
    }
    return this->readAnswer(stream, record, attempt);
}

Caller::Step Caller::readEvents(EventStream &stream, CallRecord &record, Attempt &attempt)
{
    ServerEvent event;
    while (stream.next(event, this->around.options.stall)) {
        if (event.data == endOfEvents) {
            this->isDone = true;
            return Step::Whole;
        }
        if (!this->takeEvent(event, record, attempt)) {
            // Told in the middle of the stream; what is missing may still be had elsewhere.
            return this->lastEventId.empty() ? Step::ComeBack : Step::Cut;
        }
    }
    return Step::Cut;
}

bool Caller::takeEvent(const ServerEvent &event, CallRecord &record, Attempt &attempt)
{
    const json body = json::parse(event.data, nullptr, false);
    if (body.is_discarded() || body.contains("error")) {
        this->readRefusal(event.data, attempt);
        record.detail += " in-band:" + attempt.code;
        return false;
    }
    if (!event.id.empty()) {
        this->lastEventId = event.id;
    }
    this->noteFragment(record, textOf(body));
    return true;
}

Caller::Step Caller::readAnswer(EventStream &stream, CallRecord &record, Attempt &attempt)
{
    const std::string wait = stream.header("Retry-After");
    std::int64_t seconds = 0;
    std::from_chars(wait.data(), wait.data() + wait.size(), seconds);
    this->retryAfter =
        wait.empty() ? defaultWait : std::min<std::chrono::milliseconds>(std::chrono::seconds(seconds), longestWait);
    std::string body;
    if (!stream.readBody(body, replyLimit)) {
        return Step::Cut;
    }
    if (attempt.status != httpOk) {
        return this->readRefusal(body, attempt);
    }
    const json parsed = json::parse(body, nullptr, false);
    if (isModel(record.kind)) {
        this->noteFragment(record, parsed.is_discarded() ? body : textOf(parsed));
    } else {
        this->text = body;
    }
    this->isDone = true;
    return Step::Whole;
}

Caller::Step Caller::readRefusal(const std::string &body, Attempt &attempt) const
{
    const json parsed = json::parse(body, nullptr, false);
    if (parsed.is_object() && parsed.contains("error") && parsed["error"].is_object()) {
        attempt.code = parsed["error"].value("code", "");
        attempt.run = parsed["error"].value("run", "");
    }
    const bool isForNow = attempt.status >= httpServerError || attempt.status == httpTooMany
        || attempt.status == httpTooEarlyOrBusy || attempt.code == "in_progress"
        || (attempt.status == httpConflict && attempt.run == "may_have_run");
    return isForNow ? Step::ComeBack : Step::Final;
}

void Caller::judgeModel(CallRecord &record, Step last) const
{
    const std::uint64_t seed = answerSeed("nonce=" + record.key);
    const std::string expected = answerText(seed, this->around.options.outputTokens);
    record.fragments = static_cast<std::int64_t>(this->text.size() / fragmentLength);
    if (record.fragments > 1) {
        record.perToken =
            (this->lastFragmentTime - record.attempts.front().begin - record.firstToken) / (record.fragments - 1);
    }
    if (expected.compare(0, this->text.size(), this->text) != 0) {
        record.outcome = Outcome::Wrong;
        record.detail += " text is not this prompt's";
    } else if (this->isDone) {
        record.outcome = this->text.size() == expected.size() ? Outcome::Done : Outcome::Broken;
        record.detail += record.outcome == Outcome::Done ? "" : " ended short";
    } else if (!this->text.empty()) {
        record.outcome = Outcome::Broken;
    } else {
        record.outcome = last == Step::Cut ? Outcome::Lost : Outcome::Refused;
    }
}

void Caller::runPlain(CallRecord &record)
{
    Step step = Step::ComeBack;
    for (int i = 0; i < this->around.options.attempts; ++i) {
        Attempt attempt = this->beginAttempt(record, false);
        step = this->attemptPlain(record, attempt);
        this->endAttempt(record, attempt);
        if (step == Step::Whole || step == Step::Final) {
            break;
        }
        this->pause(step == Step::Cut || !this->isPatient ? impatience : this->retryAfter);
    }
    this->judgePlain(record, step);
}

Caller::Step Caller::attemptPlain(CallRecord &record, Attempt &attempt)
{
    ClientCall call = this->plainCall(record);
    call.limit = replyLimit;
    EventStream stream(this->around.io, this->entry, call, this->yield);
    attempt.status = stream.status();
    if (stream.status() == 0) {
        this->mayHaveRun = this->mayHaveRun || stream.wasSent();
        this->around.balancer.connectFailed(this->entry);
        return Step::Cut;
    }
    const Step step = this->readAnswer(stream, record, attempt);
    this->mayHaveRun = this->mayHaveRun || step == Step::Cut || attempt.run == "may_have_run" || attempt.run == "ran";
    if (step == Step::Whole) {
        record.firstToken = steadyMicroseconds() - record.attempts.front().begin;
    }
    return step;
}

void Caller::judgePlain(CallRecord &record, Step last) const
{
    const bool isBooking = record.kind == CallKind::Booking;
    if (this->isDone) {
        const json body = json::parse(this->text, nullptr, false);
        const std::string own = isBooking ? record.key : this->around.options.lookupRoute + "/" + record.key;
        const bool isOwn = body.is_object() && body.value(isBooking ? "key" : "path", "") == own;
        record.outcome = isOwn ? Outcome::Done : Outcome::Wrong;
        record.detail += isOwn ? "" : " answer " + this->text.substr(0, 200);
    } else if (isBooking) {
        record.outcome = this->mayHaveRun ? Outcome::Unknown : Outcome::Refused;
    } else {
        record.outcome = last == Step::Cut ? Outcome::Lost : Outcome::Refused;
    }
}

void Caller::noteFragment(CallRecord &record, const std::string &more)
{
    if (more.empty()) {
        return;
    }
    this->lastFragmentTime = steadyMicroseconds();
    if (this->text.empty()) {
        record.firstToken = this->lastFragmentTime - record.attempts.front().begin;
    }
    this->text += more;
}

ClientCall Caller::modelCall(const CallRecord &record) const
{
    const LoadOptions &options = this->around.options;
    const std::string preamble = filler("preamble " + record.workspace, options.preambleBytes);
    const std::string log = filler("log " + record.key, options.promptBytes - options.preambleBytes);
    const std::string question = fmt::format("{}verdict? nonce={} .", log, record.key);
    json body{{"model", options.model}, {"max_tokens", options.outputTokens}, {"stream", record.id % 2 == 0}};
    ClientCall call{"POST", "/v1/completions", {}, {{"X-Workspace", record.workspace}}};
    if (record.kind == CallKind::Chat) {
        call.target = "/v1/chat/completions";
        body["messages"] =
            json::array({{{"role", "system"}, {"content", preamble}}, {{"role", "user"}, {"content", question}}});
    } else {
        body["prompt"] = preamble + question;
        body["stream"] = true;
    }
    if (!options.modelService.empty()) {
        call.headers["X-Service"] = options.modelService;
    }
    call.body = body.dump();
    return call;
}

ClientCall Caller::plainCall(const CallRecord &record) const
{
    const LoadOptions &options = this->around.options;
    if (record.kind == CallKind::Lookup) {
        return {"GET", options.lookupRoute + "/" + record.key, {}, {{"X-Workspace", record.workspace}}};
    }
    std::map<std::string, std::string> headers{{"X-Workspace", record.workspace}, {"Idempotency-Key", record.key}};
    if (this->mayHaveRun) {
        headers["X-Repeat"] = "1";
    }
    return {"POST", options.bookingRoute, json{{"item", record.key}, {"workspace", record.workspace}}.dump(), headers};
}

Attempt Caller::beginAttempt(CallRecord &record, bool isResume)
{
    this->entry = this->around.balancer.pick(this->entry);
    Attempt attempt;
    attempt.number = static_cast<int>(record.attempts.size()) + 1;
    attempt.entry = this->entry;
    attempt.isResume = isResume;
    attempt.begin = steadyMicroseconds();
    record.attempts.push_back(attempt);
    this->around.history.invoke(record, attempt);
    return attempt;
}

void Caller::endAttempt(CallRecord &record, Attempt &attempt)
{
    attempt.end = steadyMicroseconds();
    record.attempts.back() = attempt;
    this->around.history.reply(record, attempt);
}

void Caller::pause(std::chrono::milliseconds time)
{
    asio::steady_timer timer(this->around.io, time);
    boost::system::error_code ignored;
    timer.async_wait(this->yield[ignored]);
}

} // namespace fescuesill::standin
