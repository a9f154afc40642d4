#include "wire/linkguard.h"

#include "wire/address.h"
#include "wire/wireerror.h"

#include <boost/asio/ip/address.hpp>

#include <algorithm>
#include <openssl/rand.h>

// A client without the key can open connections and send nothing, until the node accepts no more links. So a connection
// that has not been authenticated is closed after proofLimit, and when there are more than maxUnproven of them the
// oldest is closed at once. Evicting the oldest is safe because the handshake of a legitimate peer takes milliseconds.
// Refusing new connections instead would let an attacker keep all slots.
//
// The logged names are those that the other end claimed before it was authenticated. They are hints for operators only,
// and no decision depends on them.

namespace fescuesill
{
namespace
{

constexpr Duration recentRefusalAge = 30s;

LinkNonce freshNonce()
{
    LinkNonce nonce{};
    if (RAND_bytes(reinterpret_cast<unsigned char *>(nonce.data()), static_cast<int>(nonce.size())) != 1) {
        throw WireError("cannot generate random bytes for the nonce of a link");
    }
    return nonce;
}

// Returns the canonical form of an address, because the two ends of a link compare addresses as text.
std::string canonical(const std::string &text)
{
    const auto address = Address::parse(text);
    if (!address) {
        return text;
    }
    return Address{boost::asio::ip::make_address(address->ip).to_string(), address->port}.text();
}

} // namespace

LinkGuard::LinkGuard(const KeyRing &fleet, LinkEnd self)
    : LinkGuard(fleet, std::move(self), Options())
{
}

LinkGuard::LinkGuard(const KeyRing &fleet, LinkEnd self, Options options)
    : keys(LinkAuth::linkKeys(fleet))
    , self({std::move(self.host), canonical(self.address)})
    , options(options)
{
}

std::string LinkGuard::begin(LinkId link, const Connection &connection, Instant now)
{
    const bool isAccepted = connection.side == Side::Accepted;
    const LinkEnd dialling{this->self.host, canonical(connection.address)};
    LinkAuth auth = isAccepted ? LinkAuth::accept(this->keys, this->self, freshNonce())
                               : LinkAuth::initiate(this->keys, dialling, freshNonce());
    std::string first = auth.opening();
    this->links.insert_or_assign(link, Guarded{std::move(auth), now, connection});
    this->unproven[link] = connection.side;
    return first;
}

tl::expected<LinkGuard::Arrival, LinkFault> LinkGuard::on(LinkId link, std::string_view bytes, Instant now)
{
    const auto found = this->links.find(link);
    if (found == this->links.end()) {
        return tl::unexpected(LinkFault::Ended);
    }
    Guarded &guarded = found->second;
    const bool wasProven = guarded.auth.isProven();
    Arrival arrival;
    std::optional<LinkFault> fault;
    if (wasProven) {
        const auto payload = guarded.auth.open(bytes);
        fault = payload ? std::nullopt : std::optional<LinkFault>(payload.error());
        arrival.payload = payload ? std::optional<std::string_view>(*payload) : std::nullopt;
    } else {
        auto reply = guarded.auth.on(bytes);
        fault = reply ? std::nullopt : std::optional<LinkFault>(reply.error());
        arrival.reply = reply ? std::move(*reply) : std::string();
    }
    if (fault) {
        this->refuse(guarded, faultName(*fault), now);
        this->end(link);
        return tl::unexpected(*fault);
    }
    if (!wasProven && guarded.auth.isProven()) {
        arrival.isNowProven = true;
        this->unproven.erase(link);
    }
    return arrival;
}

std::string LinkGuard::seal(LinkId link, std::string_view payload)
{
    const auto found = this->links.find(link);
    return found == this->links.end() ? std::string() : found->second.auth.seal(payload);
}

// If the other end closed an outgoing connection before the handshake succeeded, it most likely does not accept this
// node's key.
void LinkGuard::lost(LinkId link, Instant now)
{
    const auto found = this->unproven.find(link);
    if (found != this->unproven.end() && found->second == Side::Dialled) {
        this->refuse(this->links.at(link), "closed_before_proof", now);
    }
    this->end(link);
}

void LinkGuard::end(LinkId link)
{
    this->links.erase(link);
    this->unproven.erase(link);
}

std::optional<LinkId> LinkGuard::surplus() const
{
    std::optional<LinkId> oldest;
    std::size_t accepted = 0;
    for (const auto &[link, side] : this->unproven) {
        if (side == Side::Accepted) {
            oldest = oldest.value_or(link);
            ++accepted;
        }
    }
    return accepted > this->options.maxUnproven ? oldest : std::nullopt;
}

std::vector<LinkId> LinkGuard::overdue(Instant now)
{
    std::vector<LinkId> late;
    for (const auto &[link, side] : this->unproven) {
        const Guarded &guarded = this->links.at(link);
        if (now - guarded.since > this->options.proofLimit) {
            this->refuse(guarded, "no_proof_in_time", now);
            late.push_back(link);
        }
    }
    for (const LinkId link : late) {
        this->end(link);
    }
    return late;
}

std::uint64_t LinkGuard::refused() const
{
    return this->refusedCount;
}

bool LinkGuard::hasRefusedLately(Instant now) const
{
    const std::int64_t at = this->refusedAt;
    return at != 0 && now - Instant(Duration(at)) < recentRefusalAge;
}

void LinkGuard::refuse(const Guarded &guarded, const char *cause, Instant now)
{
    ++this->refusedCount;
    this->refusedAt = now.time_since_epoch().count();
    const std::string &name = guarded.auth.peer().value();
    const auto address = Address::parse(guarded.connection.address);
    const bool isDialled = guarded.connection.side == Side::Dialled;
    // The remote port of an accepted connection differs each time, so it is not logged.
    const std::string source = address && !isDialled ? address->ip : guarded.connection.address;
    this->refusals.note((name.empty() ? "unknown" : name) + " at " + source, cause, now);
}

} // namespace fescuesill
