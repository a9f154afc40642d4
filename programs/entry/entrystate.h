#pragma once

// The state of the whole process that every thread may ask for: the planned stop, and the work still in progress.
//
//     EntryState state(drainOptions, requestLimit);
//     if (auto refusal = state.refusalForNew(steadyNow())) { ... }
//     const EntryState::Work work(state);                 // counts one request until it is destroyed

#include "programs/entry/localcrashes.h"
#include "programs/entry/localrests.h"
#include "promise/draining.h"
#include "promise/resumetoken.h"

#include <atomic>
#include <memory>
#include <mutex>

namespace fescuesill
{

class EntryState
{
public:
    EntryState(Draining::Options options, std::size_t requestLimit)
        : draining(options)
        , limit(requestLimit)
    {
    }

    class Work
    {
    public:
        explicit Work(EntryState &owner)
            : state(owner)
        {
            ++this->state.requests;
        }
        ~Work()
        {
            --this->state.requests;
        }
        Work(const Work &) = delete;
        Work &operator=(const Work &) = delete;

    private:
        EntryState &state;
    };

    // A cancellation or a ledger row that outlives its request.
    class Duty
    {
    public:
        explicit Duty(EntryState &owner)
            : state(owner)
        {
            ++this->state.duties;
        }
        ~Duty()
        {
            --this->state.duties;
        }
        Duty(const Duty &) = delete;
        Duty &operator=(const Duty &) = delete;

    private:
        EntryState &state;
    };

    void startDraining(Instant now)
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->draining.start(now);
    }
    bool isDraining() const
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        return !this->draining.isReady();
    }
    // Streams end with their resume token from now on.
    bool movesStreams(Instant now) const
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        return this->draining.moves(now);
    }
    bool mayExit(Instant now)
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->draining.onWork({this->requests, 0, this->duties});
        return this->draining.mayExit(now);
    }
    // Load: more requests than memory. Harm prevented: the process killed with all it serves. The bound on requests is
    // told at once, with a short wait: another entry may have room.
    std::optional<Refusal> refusalForNew(Instant now) const
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        if (!this->draining.admits(now)) {
            return drainingRefusal();
        }
        if (static_cast<std::size_t>(this->requests) >= this->limit) {
            return Refusal{RefusalCode::Overloaded, RunState::NotRun, "this entry has too many requests in progress",
                           Duration(1s)};
        }
        return std::nullopt;
    }

    LocalCrashes &crashes()
    {
        return this->localCrashes;
    }
    LocalRests &rests()
    {
        return this->localRests;
    }

    int inProgress() const
    {
        return this->requests;
    }

    // Null until the platform was read once.
    std::shared_ptr<const ResumeTokens> resumeTokens() const
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        return this->tokens;
    }
    void setResumeTokens(std::shared_ptr<const ResumeTokens> read)
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->tokens = std::move(read);
    }

private:
    mutable std::mutex mutex;
    Draining draining;
    std::shared_ptr<const ResumeTokens> tokens;
    std::size_t limit;
    std::atomic<int> requests{0};
    std::atomic<int> duties{0};
    LocalCrashes localCrashes;
    LocalRests localRests;
};

} // namespace fescuesill
