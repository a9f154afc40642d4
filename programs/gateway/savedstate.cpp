// One row holds all crashes that may still block requests, and is written whole when they change.
//
// A host that begins to decide reads the rows before it writes any, or it would replace the crashes of the leader
// before it with its own. So does each host that starts again: until it is linked to a leader it decides alone.
//
// What is read can only be too old. That does no harm: crashes only expire later.

#include "programs/gateway/savedstate.h"

#include "platform/storeclient.h"
#include "programs/gateway/crashguard.h"
#include "wire/clock.h"
#include "wire/coroutine.h"
#include "wire/log.h"

namespace fescuesill
{
namespace
{

constexpr const char *table = "saved";
constexpr const char *crashesKey = "crashes";

} // namespace

SavedState::SavedState(asio::io_context &context, Options given, CrashGuard &crashGuard)
    : io(context)
    , options(std::move(given))
    , crashes(crashGuard)
    , mustRead(!this->options.isFirstStart)
{
}

void SavedState::setDeciding(bool decides)
{
    if (decides && !this->isDeciding) {
        this->mustRead = true;
        this->pauseUntil = Instant();
    }
    this->isDeciding = decides;
}

bool SavedState::isWriteDue(Instant now) const
{
    return this->isDeciding && now >= this->lastWrite + this->options.shortestInterval
        && this->crashes.revision() != this->savedCrashes;
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
    const StoreRows read = store.list(table, yield);
    this->mustRead = false;
    const bool isAllSaved = this->crashes.known().crashes.empty();
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
    const auto *known = message ? std::get_if<peer::CrashesKnown>(&*message) : nullptr;
    if (known != nullptr && row.key == crashesKey) {
        this->crashes.onMessage(*known);
    } else {
        Log::warning("saved_row_skipped", {{"key", row.key}});
    }
}

void SavedState::write(const asio::yield_context &yield)
{
    const std::uint64_t revision = this->crashes.revision();
    StoreClient store(this->io, {this->options.address});
    store.writeAll(table, {{crashesKey, peer::encodeMessage(this->crashes.known())}}, yield);
    this->savedCrashes = revision;
}

} // namespace fescuesill
