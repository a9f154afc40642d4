#pragma once

// Tracks whether this host reaches its endpoints.
//
//     EndpointPaths paths(EndpointPaths::Options{});
//     if (paths.onConnectFailed("10.1.64.20:8204", now)) { ... log that no endpoint can be reached ... }
//     if (paths.onConnected(now)) { ... log that they can be reached again ... }

#include "fescuesill/units.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace fescuesill
{

class EndpointPaths
{
public:
    struct Options {
        // Failed connections in a row to one endpoint that count like failures to two: the fleet may have only one.
        std::size_t failuresOfOne = 4;
    };
    struct Counts {
        std::uint64_t opened = 0;
        std::uint64_t failed = 0;
    };

    explicit EndpointPaths(const Options &given)
        : options(given)
    {
    }

    // A connection from this host to an endpoint was opened. Returns whether this ends isCutOff().
    bool onConnected(Instant now);
    // A connection from this host to the endpoint at `address` could not be opened. Returns whether this begins
    // isCutOff().
    bool onConnectFailed(const std::string &address, Instant now);

    // Whether this host reaches no endpoint: connections to different ones failed, and none was opened in between.
    bool isCutOff() const
    {
        return this->cutOff;
    }
    // When isCutOff() last changed.
    Instant changedAt() const
    {
        return this->changed;
    }
    const Counts &counts() const
    {
        return this->direct;
    }

private:
    void change(bool isCutOff, Instant now);

    Options options;
    bool cutOff = false;
    Instant changed;
    Counts direct;
    // Since the last connection that was opened.
    std::string failedAddress; // the first that failed
    std::size_t failures = 0;
};

} // namespace fescuesill
