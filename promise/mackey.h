#pragma once

// A secret for HMAC-SHA256.
//
//     const MacKey key("32 bytes or more...");
//     const MacKey links = key.derive("links");
//     const std::string mac = links.sign({header, payload});
//     if (!links.check(mac, {header, payload})) { ... forged ... }
//
// The parts are signed as one concatenation without separators, so callers pass parts whose lengths are fixed or
// encoded in them.

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
    // MACs are truncated to half of the hash, the minimum that RFC 2104 recommends. A guess succeeds with 2^-128.
    static constexpr std::size_t macBytes = 16;

    explicit MacKey(std::string_view secret);

    std::string sign(std::initializer_list<std::string_view> parts) const;
    // Compares in constant time.
    bool check(std::string_view mac, std::initializer_list<std::string_view> parts) const;
    // A key for one purpose. What is signed with it is not valid for any other purpose.
    MacKey derive(std::string_view purpose, std::string_view context = {}) const;

private:
    std::string digest(std::initializer_list<std::string_view> parts) const;

    // Keyed once. Each signature works on a copy, so that a key can be used on any thread.
    std::shared_ptr<const evp_mac_ctx_st> keyed;
};

} // namespace fescuesill
