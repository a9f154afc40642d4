// Calls arrive as a Poisson process at the given rate, whatever becomes of earlier ones: callers do not wait for each
// other. The same seed gives the same calls in the same order, though not the same moments.

#include "testing/loadtool/loadrun.h"

#include "testing/loadtool/verdict.h"

#include <cstdio>
#include <fmt/format.h>

namespace fescuesill::standin
{

LoadRun::LoadRun(asio::io_context &io, const LoadOptions &given)
    : io(io)
    , options(given)
    , balancer(io, given.entries)
    , history(given.historyFile)
    , around{io, this->options, this->balancer, this->history}
    , random(given.seed)
    , callEnded(io)
{
}

void LoadRun::start()
{
    this->balancer.start();
    asio::spawn(this->io, [this](const asio::yield_context &yield) { this->generate(yield); });
}

int LoadRun::exitCode() const
{
    return this->code;
}

void LoadRun::generate(const asio::yield_context &yield)
{
    const auto end = std::chrono::steady_clock::now() + this->options.duration;
    std::exponential_distribution<double> gap(this->options.rate);
    asio::steady_timer timer(this->io);
    auto next = std::chrono::steady_clock::now();
    while (next < end) {
        timer.expires_at(next);
        boost::system::error_code ignored;
        timer.async_wait(yield[ignored]);
        this->launch();
        next += std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::duration<double>(gap(this->random)));
    }
    while (this->active > 0) {
        this->callEnded.wait(yield);
    }
    this->conclude(yield);
}

void LoadRun::launch()
{
    CallRecord record = this->nextCall();
    const bool isPatient = std::bernoulli_distribution(this->options.patientShare)(this->random);
    if (this->active >= this->options.concurrency) {
        this->history.skip();
        return;
    }
    ++this->active;
    asio::spawn(this->io, [this, record, isPatient](const asio::yield_context &yield) mutable {
        Caller(this->around, isPatient, yield).run(record);
        --this->active;
        this->callEnded.wake();
    });
}

CallRecord LoadRun::nextCall()
{
    CallRecord record;
    record.id = ++this->calls;
    record.kind = this->nextKind();
    std::uniform_int_distribution<int> workspace(1, this->options.workspaces);
    record.workspace = fmt::format("workspace-{}", workspace(this->random));
    record.key = fmt::format("{}-{}-{}", kindName(record.kind), this->options.seed, record.id);
    return record;
}

CallKind LoadRun::nextKind()
{
    double draw = std::uniform_real_distribution<double>(0, 1)(this->random);
    draw -= this->options.completions;
    if (draw < 0) {
        return CallKind::Completion;
    }
    draw -= this->options.chats;
    if (draw < 0) {
        return CallKind::Chat;
    }
    return draw < this->options.bookings ? CallKind::Booking : CallKind::Lookup;
}

void LoadRun::conclude(const asio::yield_context &yield)
{
    this->balancer.stop();
    const Verdict verdict(this->io, this->options, this->history.records(), yield);
    std::printf("%s", this->history.summary().c_str());
    for (const std::string &note : verdict.notes()) {
        std::printf("note: %s\n", note.c_str());
    }
    for (const std::string &fault : verdict.faults()) {
        std::printf("FAULT: %s\n", fault.c_str());
    }
    std::printf("%s\n", verdict.faults().empty() ? "nothing lost, doubled or broken" : "promises broken");
    this->code = verdict.faults().empty() ? 0 : 1;
}

} // namespace fescuesill::standin
