#include "programs/scheduler/decisionduty.h"

#include "wire/clock.h"

#include <utility>

// The ring wakes the thread when it turns from empty to not empty; the thread then takes batches until it is empty
// again. Between events it sleeps until the next time that a cell asked for.

namespace fescuesill
{
namespace
{

constexpr Duration statusEvery = 200ms;
// A wake that is due now still gives up the processor once, so that a cell that asks for the present cannot spin.
constexpr Duration shortestSleep = 200us;

} // namespace

DecisionDuty::DecisionDuty(Options options, HostId host, Output output)
    : options(options)
    , output(std::move(output))
    , director(options.director, std::move(host))
    , ring(options.ring, [this] {
        const std::lock_guard<std::mutex> lock(this->wakeMutex);
        this->isWoken = true;
        this->wakeCondition.notify_one();
    })
{
}

DecisionDuty::~DecisionDuty()
{
    this->stop();
}

void DecisionDuty::start()
{
    this->thread = std::thread([this] { this->run(); });
}

void DecisionDuty::stop()
{
    {
        const std::lock_guard<std::mutex> lock(this->wakeMutex);
        this->isStopped = true;
        this->wakeCondition.notify_one();
    }
    if (this->thread.joinable()) {
        this->thread.join();
    }
}

bool DecisionDuty::push(DirectorEvent &&event)
{
    return this->ring.tryPush(std::move(event));
}

DirectorStatus DecisionDuty::status() const
{
    const std::lock_guard<std::mutex> lock(this->statusMutex);
    return this->current;
}

void DecisionDuty::run()
{
    for (;;) {
        {
            const std::lock_guard<std::mutex> lock(this->wakeMutex);
            if (this->isStopped) {
                return;
            }
        }
        this->takeBatch();
        const Instant now = steadyNow();
        for (DirectorOutput &made : this->director.poll(now)) {
            this->output(std::move(made));
        }
        this->publishStatus(now);
        this->waitUntil(std::max(this->director.nextWake(now), now + shortestSleep));
    }
}

void DecisionDuty::takeBatch()
{
    for (int taken = 0; taken < this->options.batch; ++taken) {
        const auto event = this->ring.tryPop();
        if (!event) {
            return;
        }
        this->director.on(*event, steadyNow());
    }
    // The ring may not be empty, and only its change from empty wakes: do not sleep.
    const std::lock_guard<std::mutex> lock(this->wakeMutex);
    this->isWoken = true;
}

void DecisionDuty::waitUntil(Instant wake)
{
    std::unique_lock<std::mutex> lock(this->wakeMutex);
    this->wakeCondition.wait_for(lock, wake - steadyNow(), [this] { return this->isWoken || this->isStopped; });
    this->isWoken = false;
}

void DecisionDuty::publishStatus(Instant now)
{
    if (now < this->nextStatus) {
        return;
    }
    this->nextStatus = now + statusEvery;
    DirectorStatus made = this->director.status(now);
    const std::lock_guard<std::mutex> lock(this->statusMutex);
    this->current = std::move(made);
}

} // namespace fescuesill
