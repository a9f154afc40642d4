#include "promise/writebatch.h"

#include <algorithm>
#include <utility>

// A commit is atomic, while the writes in one batch are independent of each other. A conflict identifies the write that
// caused it: that write fails, and the others are placed first in the next commit. Each write keeps its own condition,
// so the others end as if they had been written alone.
//
// Many conflicts in one batch (callers that repeat after an outage) would cost one commit each. So a conflict halves
// the size of the next batches and a success doubles it: the cost approaches that of single writes and is at most
// twice that.
//
// Two writes of one key are never in the same commit or in flight at the same time: they are applied in the order of
// add().

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
    // Writes behind one of the same key in flight wait for its result, not for a time: returning a time in the past
    // would make the program poll in a tight loop.
    const auto ready = std::find_if(this->waiting.begin(), this->waiting.end(),
                                    [this](const Item &item) { return this->keysInFlight.count(item.write.key) == 0; });
    if (ready == this->waiting.end()) {
        return std::nullopt;
    }
    return this->waiting.size() >= this->limit ? Instant::min() : ready->due;
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
        item.due = Instant::min(); // its window has already passed
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

std::vector<BatchResult> WriteBatch::completeAll(std::uint64_t id, const BatchResult &common)
{
    std::vector<BatchResult> results;
    for (const Item &item : this->remove(id)) {
        results.push_back({item.ticket, common.result});
    }
    return results;
}

} // namespace fescuesill
