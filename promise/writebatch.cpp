#include "promise/writebatch.h"

#include <algorithm>
#include <utility>

// A commit is all or nothing, and the writes in one batch have nothing to do with each other. A conflict names the
// write to blame: that one fails, the others go first into the next commit. Each write keeps its own condition, so
// writing the rest again is what they would have met alone.
//
// Many conflicts in one batch (callers that repeat after an outage) would cost a commit each. So a conflict halves the
// size of the next batches and a success doubles it: the cost tends to that of single writes and not above twice it.
//
// Two writes of one key never share a commit, nor are under way at once: their order is the order of add().

namespace fescuesill
{

WriteBatch::WriteBatch(Options options)
    : options(options)
    , limit(options.maxWrites)
{
}

bool WriteBatch::add(WriteTicket ticket, TableWrite write, Instant now)
{
    if (this->waiting.size() >= this->options.maxWaiting) {
        return false;
    }
    this->waiting.push_back(Item{ticket, std::move(write), now + this->options.window});
    return true;
}

std::optional<BatchCommit> WriteBatch::take(Instant now)
{
    const std::optional<Instant> at = this->due();
    if (!at || now < *at) {
        return std::nullopt;
    }
    BatchCommit commit;
    Items items;
    std::set<std::string> skippedKeys;
    for (auto item = this->waiting.begin(); item != this->waiting.end() && items.size() < this->limit;) {
        const std::string &key = item->write.key;
        if (this->keysInFlight.count(key) != 0 || skippedKeys.count(key) != 0) {
            skippedKeys.insert(key);
            ++item;
            continue;
        }
        this->keysInFlight.insert(key);
        commit.writes.push_back(item->write);
        items.push_back(std::move(*item));
        item = this->waiting.erase(item);
    }
    commit.id = ++this->lastId;
    this->inFlight.emplace(commit.id, std::move(items));
    return commit;
}

std::optional<Instant> WriteBatch::due() const
{
    if (this->inFlight.size() >= this->options.maxInFlight) {
        return std::nullopt;
    }
    // Writes behind one of the same key that is under way wait for its result, not for a time: a program that was told
    // a time in the past would ask in a tight loop.
    const auto free = std::find_if(this->waiting.begin(), this->waiting.end(),
                                   [this](const Item &item) { return this->keysInFlight.count(item.write.key) == 0; });
    if (free == this->waiting.end()) {
        return std::nullopt;
    }
    return this->waiting.size() >= this->limit ? Instant::min() : free->due;
}

std::vector<BatchResult> WriteBatch::onCommitted(std::uint64_t id, const std::vector<RowVersion> &versions)
{
    this->limit = std::min(2 * this->limit, this->options.maxWrites);
    const Items items = this->remove(id);
    std::vector<BatchResult> results;
    for (std::size_t i = 0; i < items.size(); ++i) {
        if (i < versions.size()) {
            results.push_back({items[i].ticket, table::Written{versions[i]}});
        } else {
            results.push_back({items[i].ticket, table::NoReply{}});
        }
    }
    return results;
}

std::vector<BatchResult> WriteBatch::onConflict(std::uint64_t id, std::size_t index, std::optional<TableRow> row)
{
    this->limit = std::max<std::size_t>(this->limit / 2, 1);
    Items items = this->remove(id);
    if (index >= items.size()) {
        std::vector<BatchResult> results;
        for (const Item &item : items) {
            results.push_back({item.ticket, table::NoReply{}});
        }
        return results;
    }
    std::vector<BatchResult> results{{items[index].ticket, table::Conflict{std::move(row)}}};
    items.erase(items.begin() + static_cast<std::ptrdiff_t>(index));
    for (Item &item : items) {
        item.due = Instant::min(); // it has waited its window
    }
    this->waiting.insert(this->waiting.begin(), std::make_move_iterator(items.begin()),
                         std::make_move_iterator(items.end()));
    return results;
}

std::vector<BatchResult> WriteBatch::onRefused(std::uint64_t id)
{
    return this->completeAll(id, {0, table::Refused{}});
}

std::vector<BatchResult> WriteBatch::onNoReply(std::uint64_t id)
{
    return this->completeAll(id, {0, table::NoReply{}});
}

WriteBatch::Items WriteBatch::remove(std::uint64_t id)
{
    const auto found = this->inFlight.find(id);
    if (found == this->inFlight.end()) {
        return {};
    }
    Items items = std::move(found->second);
    this->inFlight.erase(found);
    for (const Item &item : items) {
        this->keysInFlight.erase(item.write.key);
    }
    return items;
}

std::vector<BatchResult> WriteBatch::completeAll(std::uint64_t id, const BatchResult &model)
{
    std::vector<BatchResult> results;
    for (const Item &item : this->remove(id)) {
        results.push_back({item.ticket, model.result});
    }
    return results;
}

} // namespace fescuesill
