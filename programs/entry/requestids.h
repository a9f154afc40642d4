#pragma once

// Ids of requests and streams, unique over all entries and restarts, which name the I/O thread they belong to.
//
//     RequestIds ids(HostId("athens-a"), boot, 3);
//     const RequestId id = ids.next();            // athens-a-5f3a90c1-3-17
//     RequestIds::shardOf(id);                    // 3

#include "fescuesill/ids.h"

#include <charconv>
#include <fmt/format.h>
#include <optional>

namespace fescuesill
{

class RequestIds
{
public:
    // `boot` is random: a host that restarts must not use an id again, an engine may still hold its stream.
    RequestIds(const HostId &host, std::uint64_t boot, std::size_t shard)
        : prefix(fmt::format("{}-{:016x}-{}-", host.value(), boot, shard))
    {
    }

    RequestId next()
    {
        return RequestId(this->prefix + std::to_string(++this->last));
    }

    static std::optional<std::size_t> shardOf(const RequestId &id)
    {
        const std::string &text = id.value();
        const std::size_t end = text.rfind('-');
        if (end == std::string::npos || end == 0) {
            return std::nullopt;
        }
        const std::size_t begin = text.rfind('-', end - 1);
        std::size_t shard = 0;
        const char *const from = text.data() + (begin == std::string::npos ? 0 : begin + 1);
        const auto [stop, error] = std::from_chars(from, text.data() + end, shard);
        if (error != std::errc() || stop != text.data() + end) {
            return std::nullopt;
        }
        return shard;
    }

private:
    std::string prefix;
    std::uint64_t last = 0;
};

} // namespace fescuesill
