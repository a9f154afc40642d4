// One row holds all crashes that may still block requests, and is written whole when they change. Streams are only
// added: each write puts the new ones into the next of a ring of rows, so a write is as large as what is new.
//
// A host that begins to decide reads the rows before it writes any, or it would replace the crashes of the leader
// before it with its own. So does each host that starts again: until it is linked to a leader it decides alone.
//
// What is read can only be too old. That does no harm: the version of a stream never changes, so a stream that is
// missing is refused and none goes on at another version; and crashes only expire later.

#include "programs/gateway/savedstate.h"

#include "platform/storeclient.h"
#include "programs/gateway/crashexchange.h"
#include "programs/gateway/placementgates.h"
#include "wire/clock.h"
#include "wire/coroutine.h"
#include "wire/log.h"

#include <algorithm>
#include <charconv>
#include <cstring>
#include <fmt/format.h>

namespace fescuesill
{
namespace
{

constexpr const char *table = "saved";
constexpr const char *crashesKey = "crashes";
constexpr const char *streamsPrefix = "streams-";
constexpr Duration longestAge{1h}; // of a stream; far more than one lasts

std::string streamsKey(std::size_t row)
{
    return fmt::format("{}{:03}", streamsPrefix, row);
}

// The row of which streamsKey() made the key.
std::optional<std::size_t> streamsRow(const std::string &key)
{
    const std::size_t begin = std::strlen(streamsPrefix);
    std::size_t row = 0;
    const bool isRow = key.rfind(streamsPrefix, 0) == 0
        && std::from_chars(key.data() + begin, key.data() + key.size(), row).ec == std::errc();
    return isRow && streamsKey(row) == key ? std::optional(row) : std::nullopt;
}

// Any process may write rows.
bool areAgesValid(const peer::StreamsBegun &begun)
{
    return std::all_of(begun.streams.begin(), begun.streams.end(), [](const peer::StreamOrigin &origin) {
        return origin.age >= Duration(0) && origin.age <= longestAge;
    });
}

} // namespace

SavedState::SavedState(asio::io_context &context, Options given, PlacementGates &placements,
                       CrashExchange &crashExchange)
    : io(context)
    , options(std::move(given))
    , gates(placements)
    , crashes(crashExchange)
    , mustRead(!this->options.isFirstStart)
{
}

void SavedState::setDeciding(bool decides)
{
    if (decides && !this->isDeciding) {
        this->mustRead = true;
        this->pauseUntil = Instant();
    }
    if (!decides) {
        this->pending.clear();
    }
    this->isDeciding = decides;
}

void SavedState::add(const peer::StreamsBegun &begun)
{
    if (!this->isDeciding) {
        return;
    }
    const Instant now = steadyNow();
    for (const peer::StreamOrigin &origin : begun.streams) {
        if (origin.request.value().size() <= this->options.maxIdSize) {
            this->pending.push_back({origin, now - origin.age});
        }
    }
    while (this->pending.size() > this->options.maxPending) {
        this->pending.pop_front();
    }
}

bool SavedState::isWriteDue(Instant now) const
{
    if (!this->isDeciding || now < this->lastWrite + this->options.shortestInterval) {
        return false;
    }
    return this->crashes.revision() != this->savedCrashes
        || (!this->pending.empty() && now >= this->lastWrite + this->options.streamInterval);
}

void SavedState::onTick(Instant now)
{
    if (this->isCalling || now < this->pauseUntil) {
        return;
    }
    if (this->mustRead) {
        this->start([this](const asio::yield_context &yield) { this->read(yield); });
    } else if (this->isWriteDue(now)) {
        this->lastWrite = now;
        this->start([this](const asio::yield_context &yield) { this->write(yield); });
    }
}

template<typename Call>
void SavedState::start(Call call)
{
    this->isCalling = true;
    startCoroutine(this->io, [this, call](const asio::yield_context &yield) {
        try {
            call(yield);
        } catch (const StoreError &error) {
            Log::info("saved_state_unavailable", {{"reason", error.what()}});
            this->pauseUntil = steadyNow() + this->options.retryPause;
            this->mustRead = this->mustRead && this->isDeciding; // a host that follows another one needs no copy
        }
        this->isCalling = false;
    });
}

void SavedState::read(const asio::yield_context &yield)
{
    StoreClient store(this->io, {this->options.address});
    StoreRows read = store.list(table, yield);
    this->mustRead = false;
    // Oldest first, so that the newest reports are kept where there are too many.
    std::sort(read.rows.begin(), read.rows.end(),
              [](const StoreRow &a, const StoreRow &b) { return a.version < b.version; });
    const bool isAllSaved = this->crashes.known(steadyNow()).crashes.empty();
    for (const StoreRow &row : read.rows) {
        this->apply(row);
    }
    if (isAllSaved) {
        this->savedCrashes = this->crashes.revision();
    }
    Log::info("saved_state_read", {{"rows", static_cast<std::uint64_t>(read.rows.size())}});
}

void SavedState::apply(const StoreRow &row)
{
    const auto message = peer::decodeMessage(row.value);
    const auto *streams = message ? std::get_if<peer::StreamsBegun>(&*message) : nullptr;
    const auto *known = message ? std::get_if<peer::CrashesKnown>(&*message) : nullptr;
    const auto streamsAt = streamsRow(row.key);
    if (streams != nullptr && streamsAt && areAgesValid(*streams)) {
        this->gates.onStreamsSaved(*streams);
        this->nextRow = (*streamsAt + 1) % this->options.streamRows;
    } else if (known != nullptr && row.key == crashesKey) {
        this->crashes.onMessage(*known, steadyNow());
    } else {
        Log::warning("saved_row_skipped", {{"key", row.key}});
    }
}

std::vector<StoreRow> SavedState::takeStreamRows(Instant now)
{
    std::vector<StoreRow> rows;
    while (!this->pending.empty()) {
        peer::StreamsBegun streams;
        while (!this->pending.empty() && streams.streams.size() < this->options.streamsOfRow) {
            peer::StreamOrigin origin = std::move(this->pending.front().origin);
            origin.age = now - this->pending.front().since;
            streams.streams.push_back(std::move(origin));
            this->pending.pop_front();
        }
        rows.push_back({streamsKey(this->nextRow), peer::encodeMessage(streams)});
        this->nextRow = (this->nextRow + 1) % this->options.streamRows;
    }
    return rows;
}

void SavedState::write(const asio::yield_context &yield)
{
    const Instant now = steadyNow();
    const auto unsaved = this->pending;
    std::vector<StoreRow> rows = this->takeStreamRows(now);
    const std::uint64_t revision = this->crashes.revision();
    if (revision != this->savedCrashes) {
        rows.push_back({crashesKey, peer::encodeMessage(this->crashes.known(now))});
    }
    try {
        StoreClient store(this->io, {this->options.address});
        store.writeAll(table, rows, yield);
        this->savedCrashes = revision;
    } catch (const StoreError &) {
        this->pending.insert(this->pending.begin(), unsaved.begin(), unsaved.end());
        throw;
    }
}

} // namespace fescuesill
