#include "promise/datagramseal.h"

#include "promise/bytefields.h"

#include <algorithm>

// DATAGRAM = format, key id, time, payload, MAC over all preceding bytes.
//
// A single forged datagram could announce version 9e18 of the declaration, so that the fleet waits for a version that
// does not exist, or report a dead host as alive. The MAC is therefore verified before the payload is parsed.
//
// Replay protection combines two checks, because neither is enough alone. A time window alone accepts a replay for the
// length of the window. A sequence number per sender alone accepts old datagrams at a receiver that has just started,
// and those of a sender that has left. So the timestamp serves as the sequence number: it must lie within the window
// and be later than the last one accepted from that sender. Timestamps outside the window need no state, so the table
// holds only the senders of the last seconds. A receiver that starts within a datagram's window may accept it a second
// time; this is harmless, since the facts in it are versioned and the probe it answers is not pending.
//
// A datagram that arrives after a later one of the same sender is dropped. It counts as a lost probe, which the
// protocol tolerates.
//
// A sender whose clock is set back within the window continues from its last timestamp in steps of one microsecond, so
// that timestamps keep increasing. When the clock is set back by more than the window, the sender starts from the new
// time: receivers did not accept what it sent with the wrong clock.

namespace fescuesill
{
namespace
{

constexpr int formatByte = 1;
constexpr std::size_t headerBytes = DatagramSeal::addedBytes - MacKey::macBytes;

} // namespace

const char *faultName(DatagramFault fault)
{
    switch (fault) {
    case DatagramFault::Malformed:
        return "malformed";
    case DatagramFault::UnknownKey:
        return "unknown_key";
    case DatagramFault::Forged:
        return "forged";
    case DatagramFault::Stale:
        return "stale";
    case DatagramFault::Misdirected:
        return "misdirected";
    case DatagramFault::Replayed:
        return "replayed";
    }
    return "malformed";
}

DatagramSeal::DatagramSeal(const KeyRing &fleet, HostId self)
    : DatagramSeal(fleet, std::move(self), Options())
{
}

DatagramSeal::DatagramSeal(const KeyRing &fleet, HostId self, Options options)
    : keys(fleet.derive("fescuesill probes"))
    , self(std::move(self))
    , options(options)
{
}

std::string DatagramSeal::seal(std::string_view payload, Instant now)
{
    const bool isSetBack = this->lastSent > now + this->options.window;
    this->lastSent = isSetBack ? now : std::max(now, this->lastSent + Duration(1));
    std::string datagram;
    datagram.reserve(addedBytes + payload.size());
    putNumber(datagram, formatByte, 1);
    putNumber(datagram, this->keys.signing().id, 4);
    putNumber(datagram, static_cast<std::uint64_t>(this->lastSent.time_since_epoch().count()), 8);
    datagram += payload;
    datagram += this->keys.signing().key.sign({datagram});
    return datagram;
}

tl::expected<DatagramSeal::Opened, DatagramFault> DatagramSeal::open(std::string_view datagram, Instant now) const
{
    if (datagram.size() < addedBytes) {
        return tl::unexpected(DatagramFault::Malformed);
    }
    const std::string_view body = datagram.substr(0, datagram.size() - MacKey::macBytes);
    FieldReader reader(body);
    if (reader.number(1) != formatByte) {
        return tl::unexpected(DatagramFault::Malformed);
    }
    const MacKey *key = this->keys.find(static_cast<KeyId>(reader.number(4)));
    if (key == nullptr) {
        return tl::unexpected(DatagramFault::UnknownKey);
    }
    if (!key->check(datagram.substr(body.size()), {body})) {
        return tl::unexpected(DatagramFault::Forged);
    }
    const Instant sentAt{Duration(static_cast<std::int64_t>(reader.number(8)))};
    if (sentAt < now - this->options.window || sentAt > now + this->options.window) {
        return tl::unexpected(DatagramFault::Stale);
    }
    return Opened{body.substr(headerBytes), sentAt};
}

std::optional<DatagramFault> DatagramSeal::admit(const Delivery &delivery, Instant now)
{
    if (delivery.to != this->self || delivery.from == this->self) {
        return DatagramFault::Misdirected;
    }
    const auto found = this->lastAccepted.find(delivery.from);
    if (found != this->lastAccepted.end()) {
        if (delivery.sentAt <= found->second) {
            return DatagramFault::Replayed;
        }
        found->second = delivery.sentAt;
        return std::nullopt;
    }
    if (this->lastAccepted.size() >= this->options.maxSenders) {
        this->evictStale(now);
    }
    // The table can only be filled with recent senders by a holder of the key. A datagram whose sender cannot be
    // recorded could be replayed, so it is refused.
    if (this->lastAccepted.size() >= this->options.maxSenders) {
        return DatagramFault::Replayed;
    }
    this->lastAccepted.emplace(delivery.from, delivery.sentAt);
    return std::nullopt;
}

std::size_t DatagramSeal::senders() const
{
    return this->lastAccepted.size();
}

void DatagramSeal::evictStale(Instant now)
{
    for (auto sender = this->lastAccepted.begin(); sender != this->lastAccepted.end();) {
        const bool isOld = sender->second < now - this->options.window;
        sender = isOld ? this->lastAccepted.erase(sender) : std::next(sender);
    }
}

} // namespace fescuesill
