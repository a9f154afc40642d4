#include "promise/datagramseal.h"

#include "promise/bytefields.h"

#include <algorithm>

// DATAGRAM = format, key id, time, payload, code over all before it.
//
// Failure: one forged datagram names version 9e18 of the declaration, or a dead host as alive. It shows as a fleet that
// waits for a version that does not exist. The code is checked before one byte of the payload is looked at.
//
// Replay. Two guards were weighed, and each alone has a hole. A window of time alone lets a datagram be sent again for
// as long as the window; a number that rises for each sender alone lets everything of the past in at a receiver that
// has just started, and all of a sender that is gone. So the time is the number: it has to lie within the window and to
// be above the last one taken from that sender. What falls out of the window needs no memory, so the table holds the
// senders of the last seconds only. A receiver that starts within the window of a datagram takes it once more; what
// rides on it is versioned, and it is an answer to a probe that nobody waits for.
//
// A datagram that overtakes another of the same sender is dropped: a lost probe, which the protocol is made for.
//
// A sender whose clock is set back goes on from its last time, one microsecond at a time, so that it stays above what
// it sent. Set back by more than the window it starts over: what it sent by the wrong clock nobody took.

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
    // Full of senders of the last seconds: not to be had without the key. Without a place in the table a datagram could
    // be taken twice, so it is not taken.
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
