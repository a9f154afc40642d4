#pragma once

// Fakes of a prefill engine, its link, and a decode engine, in virtual time.
//
//     FakePrefill prefill(events, model);
//     prefill.read(key, rank, prompt, prefix, [](PrefillResult result) { ... });
//     FakeLink link(events, model, seed);
//     link.move(prompt, [] { ... });
//     FakeDecode decode(events, model);
//     decode.hold(key, prompt);           // false: no memory
//     decode.start(key, output, listener);

#include "eventqueue.h"
#include "workload.h"

#include <list>
#include <map>
#include <random>
#include <unordered_map>

namespace fescuesill::bench
{

using RunKey = std::uint64_t; // of one placement of one attempt

// Reads in chunks, so that a more urgent prompt goes ahead at the next chunk. Keeps read blocks in a
// least-recently-used cache and announces what enters and leaves it.
class FakePrefill
{
public:
    FakePrefill(EventQueue &events, const EngineModel &model)
        : events(events)
        , model(model)
    {
    }

    // False: the queue is full.
    bool read(RunKey key, int rank, const Job &job, Tokens context, std::function<void(PrefillResult)> done);
    // Returns the tokens read of it so far.
    Tokens cancel(RunKey key);
    // Drops everything; returns the keys and what was read.
    std::vector<std::pair<RunKey, Tokens>> die();

    Tokens queuedTokens() const;
    Duration busyTime() const
    {
        return this->busy;
    }

    double slowness = 1;
    std::vector<CacheEvent> cacheEvents; // taken by the reader

private:
    struct Read {
        RunKey key = 0;
        int rank = 0;
        std::uint64_t sequence = 0;
        const Job *job = nullptr;
        Tokens context;
        Tokens left;
        Tokens total; // that have to be read
        bool begun = false;
        std::function<void(PrefillResult)> done;
    };

    void next();
    void begin(Read &read);
    void finish(std::list<Read>::iterator read);
    std::size_t cachedBlocks(const Job &job);
    void remember(const Job &job);

    EventQueue &events;
    const EngineModel &model;
    std::list<Read> reads; // by rank, then order
    std::uint64_t sequence = 0;
    std::uint64_t epoch = 0; // events of earlier epochs are void
    bool running = false;
    RunKey current = 0;
    Duration busy{0};
    std::list<std::uint64_t> cacheAges;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> cache;
};

// Transfers of one prefill engine share its limited rate equally; each has some jitter besides.
class FakeLink
{
public:
    FakeLink(EventQueue &events, const EngineModel &model, std::uint64_t seed)
        : events(events)
        , model(model)
        , random(seed)
    {
    }
    void move(Tokens context, std::function<void()> arrived);

private:
    EventQueue &events;
    const EngineModel &model;
    struct Transfer {
        double left = 0; // microseconds at the full rate
        std::function<void()> arrived;
    };

    void advance();
    void schedule();

    std::mt19937_64 random;
    std::list<Transfer> transfers;
    Instant advanced;
    std::uint64_t epoch = 0;
};

// Continuous batching: one step gives each sequence a token. Memory in pieces grows with the context; a sequence that
// finds no piece waits, and when all wait the newest is dropped.
class FakeDecode
{
public:
    struct Listener {
        std::function<void()> firstToken;
        std::function<void(Tokens)> progress; // every few tokens
        std::function<void()> finished;
        std::function<void()> dropped; // no memory for the next token
    };

    FakeDecode(EventQueue &events, const EngineModel &model)
        : events(events)
        , model(model)
    {
    }

    bool hold(RunKey key, Tokens context);
    void start(RunKey key, Tokens output, Listener listener);
    void cancel(RunKey key);
    std::vector<RunKey> die();
    // Steps stop. Work is still taken, and what is cancelled meanwhile keeps its memory until steps go on.
    void stall();
    void goOn();
    bool isStalled() const
    {
        return this->stalled;
    }

    Pieces used() const
    {
        return this->piecesUsed;
    }
    int count() const
    {
        return static_cast<int>(this->sequences.size());
    }
    // Pieces held over time.
    double pieceSeconds(Instant now) const;

    double slowness = 1;

private:
    struct Sequence {
        Tokens context;
        Tokens written;
        Tokens output;
        Pieces pieces;
        bool active = false;
        bool inStep = false; // joins at the next step
        bool cancelled = false; // while stalled
        Listener listener;
    };

    void schedule();
    void step();
    bool writeToken(Sequence &sequence);
    void setUsed(Pieces pieces);

    EventQueue &events;
    const EngineModel &model;
    std::map<RunKey, Sequence> sequences;
    Pieces piecesUsed;
    std::uint64_t epoch = 0;
    bool stepping = false;
    bool stalled = false;
    Instant usedSince;
    double usedSum = 0;
};

} // namespace fescuesill::bench
