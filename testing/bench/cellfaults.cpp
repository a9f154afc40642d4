// What goes wrong in a cell, and engines that change their role.

#include "cell.h"

#include <algorithm>

namespace fescuesill::bench
{

std::vector<RequestId> Cell::cancelMany(std::uint64_t seed)
{
    std::vector<RequestId> all;
    for (const auto &[request, attempt] : this->attempts) {
        all.push_back(request);
    }
    std::sort(all.begin(), all.end());
    std::mt19937_64 random(seed);
    const auto stays = [&random](const RequestId &) {
        return random() % 5 >= 2;
    };
    all.erase(std::remove_if(all.begin(), all.end(), stays), all.end());
    for (const RequestId &request : all) {
        this->cancel(request);
    }
    return all;
}

void Cell::kill(std::size_t index)
{
    Engine &engine = this->engines[index];
    engine.dead = true;
    ++engine.life;
    for (const auto &[run, read] : engine.prefill->die()) {
        this->wasted.read += read;
        this->wasted.redone += read;
    }
    engine.decode->die();
    std::vector<RequestId> reading;
    std::vector<RequestId> decoding;
    for (const auto &[request, attempt] : this->attempts) {
        const bool running = attempt.stage == Stage::Decoding || attempt.stage == Stage::Moving;
        if (running && attempt.decode == index) {
            decoding.push_back(request);
        } else if (attempt.stage == Stage::Reading && attempt.prefill == index) {
            reading.push_back(request);
        }
    }
    std::sort(reading.begin(), reading.end());
    std::sort(decoding.begin(), decoding.end());
    for (const RequestId &request : decoding) {
        this->decodeFailed(request, DecodeFault::Unreachable);
    }
    for (const RequestId &request : reading) {
        this->events.after(this->workload.model.hop, [this, request] {
            std::visit([&](auto &decider) { decider.prefillFailed(request, PrefillFault::Unreachable); }, this->policy);
        });
    }
}

// The entry of a stream that brings nothing asks the engine on new connections and then goes elsewhere.
void Cell::giveUpLater(const RequestId &request, RunKey run)
{
    this->events.after(this->workload.model.entryPatience, [this, request, run] {
        const Attempt *attempt = this->find(request, run);
        const bool decoding =
            attempt != nullptr && (attempt->stage == Stage::Decoding || attempt->stage == Stage::Moving);
        if (decoding && this->engines[attempt->decode].decode->isStalled()) {
            this->decodeFailed(request, DecodeFault::Unreachable);
        }
    });
}

void Cell::stall(std::size_t index)
{
    this->engines[index].decode->stall();
    std::vector<std::pair<RequestId, RunKey>> running;
    for (const auto &[request, attempt] : this->attempts) {
        if ((attempt.stage == Stage::Decoding || attempt.stage == Stage::Moving) && attempt.decode == index) {
            running.emplace_back(request, attempt.run);
        }
    }
    std::sort(running.begin(), running.end());
    for (const auto &[request, run] : running) {
        this->giveUpLater(request, run);
    }
}

void Cell::apply(const Fault &fault, bool begins)
{
    int number = 0;
    for (std::size_t i = 0; i < this->engines.size(); ++i) {
        Engine &engine = this->engines[i];
        if (engine.spec.pool != fault.pool || (fault.index >= 0 && number++ != fault.index)) {
            continue;
        }
        if (fault.kind == Fault::Kind::Slow) {
            engine.prefill->slowness = begins ? fault.slowness : 1;
            engine.decode->slowness = begins ? fault.slowness : 1;
        } else if (fault.kind == Fault::Kind::Stalled) {
            begins ? this->stall(i) : engine.decode->goOn();
        } else if (fault.kind == Fault::Kind::Dead && begins) {
            this->kill(i);
        } else if (fault.kind == Fault::Kind::Dead) {
            engine.dead = false;
        }
        const Duration lag = fault.kind == Fault::Kind::Dead ? this->workload.model.hostListLag : Duration(0);
        if (fault.kind == Fault::Kind::Dead || fault.kind == Fault::Kind::Leaving) {
            this->events.after(lag, [this, i, begins] {
                this->engines[i].listed = !begins;
                std::visit([](auto &decider) { decider.enginesChanged(); }, this->policy);
            });
        }
    }
}

// The engine takes nothing new, ends its work, and loads for its new role.
void Cell::changeRole(std::size_t index, Pool pool)
{
    constexpr Duration load = 4s;
    Engine &engine = this->engines[index];
    engine.spec.leaving = true;
    const bool idle = engine.decode->count() == 0 && engine.prefill->queuedTokens() == Tokens(0);
    if (!idle) {
        this->events.after(100ms, [this, index, pool] { this->changeRole(index, pool); });
        return;
    }
    this->events.after(load, [this, index, pool] {
        this->engines[index].spec.pool = pool;
        this->engines[index].spec.leaving = false;
        std::visit([](auto &decider) { decider.enginesChanged(); }, this->policy);
    });
}

} // namespace fescuesill::bench
