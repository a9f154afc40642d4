#pragma once

// A secret for HMAC-SHA256.
//
//     const MacKey key("32 bytes or more...");
//     const MacKey links = key.derive("links");
//     const std::string mac = links.sign({header, payload});
//     if (!links.check(mac, {header, payload})) { ... forged ... }
//
// The parts are signed one after the other without a mark between them: callers give parts whose lengths are fixed or
// written in them.

#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>

struct evp_mac_ctx_st;

namespace fescuesill
{

class MacKey
{
public:
    // Of a code: half of the hash, the least that RFC 2104 gives; 2^-128 is no chance.
    static constexpr std::size_t macBytes = 16;

    explicit MacKey(std::string_view secret);

    std::string sign(std::initializer_list<std::string_view> parts) const;
    // Compares in constant time.
    bool check(std::string_view mac, std::initializer_list<std::string_view> parts) const;
    // A key for one purpose; what is signed with it is worth nothing under another one.
    MacKey derive(std::string_view purpose, std::string_view context = {}) const;

private:
    std::string digest(std::initializer_list<std::string_view> parts) const;

    // Keyed once; each signature works on a copy, so that a key is used on any thread.
    std::shared_ptr<const evp_mac_ctx_st> keyed;
};

} // namespace fescuesill
