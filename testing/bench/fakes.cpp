#include "fakes.h"

#include <algorithm>

namespace fescuesill::bench
{

constexpr Tokens chunk{512};
constexpr std::int64_t progressEvery = 6;

bool FakePrefill::read(RunKey key, int rank, const Job &job, Tokens context, std::function<void(PrefillResult)> done)
{
    if (this->reads.size() >= this->model.prefillQueue) {
        return false;
    }
    const auto after =
        std::find_if(this->reads.begin(), this->reads.end(), [rank](const Read &other) { return other.rank > rank; });
    this->reads.insert(after,
                       Read{key, rank, this->sequence++, &job, context, context, context, false, std::move(done)});
    this->next();
    return true;
}

std::size_t FakePrefill::cachedBlocks(const Job &job)
{
    std::size_t blocks = 0;
    while (blocks < job.prefix.size()) {
        const auto found = this->cache.find(job.prefix[blocks].value);
        if (found == this->cache.end()) {
            break;
        }
        this->cacheAges.splice(this->cacheAges.end(), this->cacheAges, found->second);
        ++blocks;
    }
    return blocks;
}

void FakePrefill::remember(const Job &job)
{
    // Endings first, so that the leading blocks, which others share, are the last to go.
    for (auto hash = job.prefix.rbegin(); hash != job.prefix.rend(); ++hash) {
        const auto found = this->cache.find(hash->value);
        if (found != this->cache.end()) {
            this->cacheAges.splice(this->cacheAges.end(), this->cacheAges, found->second);
            continue;
        }
        if (this->cache.size() >= this->model.cacheBlocks) {
            this->cacheEvents.push_back({CacheEvent::Kind::Evicted, PrefixHash{this->cacheAges.front()}});
            this->cache.erase(this->cacheAges.front());
            this->cacheAges.pop_front();
        }
        this->cache[hash->value] = this->cacheAges.insert(this->cacheAges.end(), hash->value);
        this->cacheEvents.push_back({CacheEvent::Kind::Added, *hash});
    }
}

void FakePrefill::begin(Read &read)
{
    read.begun = true;
    const auto cached = static_cast<std::int64_t>(this->cachedBlocks(*read.job));
    const Tokens reused(std::min(read.context.value() - 1, cached * blockTokens.value()));
    read.total = read.context - reused;
    read.left = read.total;
}

void FakePrefill::next()
{
    if (this->running || this->reads.empty()) {
        return;
    }
    Read &read = this->reads.front();
    Duration time{0};
    if (!read.begun) {
        this->begin(read);
        time += this->model.prefillBase;
    }
    const Tokens part = std::min(read.left, chunk);
    time += this->model.prefillPerToken * part.value();
    time = std::chrono::duration_cast<Duration>(time * this->slowness);
    this->running = true;
    this->current = read.key;
    this->busy += time;
    this->events.after(time, [this, part, key = read.key, epoch = this->epoch] {
        if (epoch != this->epoch) {
            return;
        }
        this->running = false;
        const auto found =
            std::find_if(this->reads.begin(), this->reads.end(), [key](const Read &other) { return other.key == key; });
        if (found != this->reads.end()) {
            found->left -= part;
            if (found->left <= Tokens(0)) {
                this->finish(found);
            }
        }
        this->next();
    });
}

void FakePrefill::finish(std::list<Read>::iterator read)
{
    const auto done = std::move(read->done);
    const PrefillResult result{read->total, read->context - read->total, this->model.keep};
    this->remember(*read->job);
    this->reads.erase(read);
    done(result);
}

Tokens FakePrefill::cancel(RunKey key)
{
    const auto found =
        std::find_if(this->reads.begin(), this->reads.end(), [key](const Read &read) { return read.key == key; });
    if (found == this->reads.end()) {
        return Tokens(0);
    }
    const Tokens read = found->begun ? found->total - found->left : Tokens(0);
    this->reads.erase(found);
    return read;
}

std::vector<std::pair<RunKey, Tokens>> FakePrefill::die()
{
    std::vector<std::pair<RunKey, Tokens>> lost;
    for (const Read &read : this->reads) {
        lost.emplace_back(read.key, read.begun ? read.total - read.left : Tokens(0));
    }
    this->reads.clear();
    this->cache.clear();
    this->cacheAges.clear();
    this->cacheEvents.clear();
    this->running = false;
    ++this->epoch;
    return lost;
}

Tokens FakePrefill::queuedTokens() const
{
    Tokens sum;
    for (const Read &read : this->reads) {
        sum += read.left;
    }
    return sum;
}

void FakeLink::advance()
{
    const auto passed = static_cast<double>((this->events.now() - this->advanced).count());
    this->advanced = this->events.now();
    for (Transfer &transfer : this->transfers) {
        transfer.left -= passed / static_cast<double>(this->transfers.size());
    }
}

void FakeLink::schedule()
{
    ++this->epoch;
    if (this->transfers.empty()) {
        return;
    }
    double least = this->transfers.front().left;
    for (const Transfer &transfer : this->transfers) {
        least = std::min(least, transfer.left);
    }
    const double wait = std::max(0.0, least) * static_cast<double>(this->transfers.size());
    this->events.after(Duration(static_cast<Duration::rep>(wait) + 1), [this, epoch = this->epoch] {
        if (epoch != this->epoch) {
            return;
        }
        this->advance();
        for (auto transfer = this->transfers.begin(); transfer != this->transfers.end();) {
            if (transfer->left > 0) {
                ++transfer;
                continue;
            }
            const auto jitter = static_cast<Duration::rep>(
                this->random() % static_cast<std::uint64_t>(1 + this->model.transferJitter.count()));
            this->events.after(Duration(jitter), std::move(transfer->arrived));
            transfer = this->transfers.erase(transfer);
        }
        this->schedule();
    });
}

void FakeLink::move(Tokens context, std::function<void()> arrived)
{
    this->advance();
    const auto size = static_cast<double>((this->model.transferPerToken * context.value()).count());
    this->transfers.push_back(Transfer{size, std::move(arrived)});
    this->schedule();
}

void FakeDecode::setUsed(Pieces pieces)
{
    const Instant now = this->events.now();
    this->usedSum = this->pieceSeconds(now);
    this->usedSince = now;
    this->piecesUsed = pieces;
}

double FakeDecode::pieceSeconds(Instant now) const
{
    const double seconds = std::chrono::duration<double>(now - this->usedSince).count();
    return this->usedSum + seconds * static_cast<double>(this->piecesUsed.value());
}

bool FakeDecode::hold(RunKey key, Tokens context)
{
    const Pieces need = piecesFor(context + Tokens(1));
    if (this->piecesUsed + need > this->model.memory) {
        return false;
    }
    this->setUsed(this->piecesUsed + need);
    Sequence &sequence = this->sequences[key];
    sequence.context = context;
    sequence.pieces = need;
    return true;
}

void FakeDecode::start(RunKey key, Tokens output, Listener listener)
{
    const auto found = this->sequences.find(key);
    if (found == this->sequences.end()) {
        return;
    }
    found->second.output = output;
    found->second.active = true;
    found->second.listener = std::move(listener);
    this->schedule();
}

void FakeDecode::cancel(RunKey key)
{
    const auto found = this->sequences.find(key);
    if (found != this->sequences.end() && this->stalled) {
        found->second.cancelled = true;
    } else if (found != this->sequences.end()) {
        this->setUsed(this->piecesUsed - found->second.pieces);
        this->sequences.erase(found);
    }
}

std::vector<RunKey> FakeDecode::die()
{
    std::vector<RunKey> lost;
    for (const auto &[key, sequence] : this->sequences) {
        lost.push_back(key);
    }
    this->sequences.clear();
    this->setUsed(Pieces(0));
    this->stepping = false;
    ++this->epoch;
    return lost;
}

void FakeDecode::stall()
{
    this->stalled = true;
    this->stepping = false;
    ++this->epoch;
}

void FakeDecode::goOn()
{
    this->stalled = false;
    std::vector<RunKey> cancelled;
    for (const auto &[key, sequence] : this->sequences) {
        if (sequence.cancelled) {
            cancelled.push_back(key);
        }
    }
    for (const RunKey key : cancelled) {
        this->cancel(key);
    }
    this->schedule();
}

void FakeDecode::schedule()
{
    if (this->stepping || this->stalled) {
        return;
    }
    int active = 0;
    for (auto &[key, sequence] : this->sequences) {
        sequence.inStep = sequence.active;
        active += sequence.active ? 1 : 0;
    }
    if (active == 0) {
        return;
    }
    this->stepping = true;
    const Duration time = this->model.stepBase + this->model.stepPerSequence * active;
    this->events.after(std::chrono::duration_cast<Duration>(time * this->slowness), [this, epoch = this->epoch] {
        if (epoch == this->epoch) {
            this->stepping = false;
            this->step();
            this->schedule();
        }
    });
}

bool FakeDecode::writeToken(Sequence &sequence)
{
    const Pieces need = piecesFor(sequence.context + sequence.written + Tokens(1));
    if (need > sequence.pieces) {
        if (this->piecesUsed + need - sequence.pieces > this->model.memory) {
            return false;
        }
        this->setUsed(this->piecesUsed + need - sequence.pieces);
        sequence.pieces = need;
    }
    sequence.written += Tokens(1);
    return true;
}

void FakeDecode::step()
{
    // Listeners may change the sequences, so they are called after the step.
    std::vector<std::function<void()>> calls;
    std::vector<RunKey> ended;
    bool wrote = false;
    for (auto &[key, sequence] : this->sequences) {
        if (!sequence.inStep || !this->writeToken(sequence)) {
            continue;
        }
        wrote = true;
        if (sequence.written == Tokens(1)) {
            calls.push_back(sequence.listener.firstToken);
        } else if (sequence.written.value() % progressEvery == 0) {
            calls.emplace_back(
                [progress = sequence.listener.progress, written = sequence.written] { progress(written); });
        }
        if (sequence.written >= sequence.output) {
            calls.push_back(sequence.listener.finished);
            ended.push_back(key);
        }
    }
    if (!wrote && !this->sequences.empty()) {
        const auto newest = std::prev(this->sequences.end());
        if (newest->second.active) {
            calls.push_back(newest->second.listener.dropped);
            ended.push_back(newest->first);
        }
    }
    for (const RunKey key : ended) {
        this->cancel(key);
    }
    for (const auto &call : calls) {
        call();
    }
}

} // namespace fescuesill::bench
