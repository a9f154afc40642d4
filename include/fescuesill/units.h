#pragma once

// Strong types for amounts and times.
//
//     const Tokens prompt(9000);
//     const Pieces held = piecesFor(prompt + Tokens(200));   // Pieces(3)
//     const Instant deadline = now + 550ms;
//
// Code that makes decisions never reads a clock: every function that needs the time takes an Instant. Programs read it
// from the steady clock, and tests advance it themselves.

#include <chrono>
#include <cstdint>
#include <ostream>

namespace fescuesill
{

using namespace std::chrono_literals;

// The clock type of Instant. It has no now(), because the time is always passed in.
struct Timeline {
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<Timeline>;
    static constexpr bool is_steady = true;
};

using Duration = Timeline::duration;
using Instant = Timeline::time_point;

// A whole number of one kind of thing.
template<typename Tag>
class Count
{
public:
    constexpr Count() = default;
    constexpr explicit Count(std::int64_t value)
        : number(value)
    {
    }

    constexpr std::int64_t value() const
    {
        return this->number;
    }

    constexpr Count &operator+=(Count other)
    {
        this->number += other.number;
        return *this;
    }
    constexpr Count &operator-=(Count other)
    {
        this->number -= other.number;
        return *this;
    }
    friend constexpr Count operator+(Count a, Count b)
    {
        return Count(a.number + b.number);
    }
    friend constexpr Count operator-(Count a, Count b)
    {
        return Count(a.number - b.number);
    }
    friend constexpr bool operator==(Count a, Count b)
    {
        return a.number == b.number;
    }
    friend constexpr bool operator!=(Count a, Count b)
    {
        return a.number != b.number;
    }
    friend constexpr bool operator<(Count a, Count b)
    {
        return a.number < b.number;
    }
    friend constexpr bool operator<=(Count a, Count b)
    {
        return a.number <= b.number;
    }
    friend constexpr bool operator>(Count a, Count b)
    {
        return a.number > b.number;
    }
    friend constexpr bool operator>=(Count a, Count b)
    {
        return a.number >= b.number;
    }
    friend std::ostream &operator<<(std::ostream &out, Count count)
    {
        return out << count.number;
    }

private:
    std::int64_t number = 0;
};

using Tokens = Count<struct TokensTag>;
// Blocks of KV cache. The memory of an engine is allocated in pieces of tokensPerPiece tokens.
using Pieces = Count<struct PiecesTag>;
using Bytes = Count<struct BytesTag>;
// Version of the declaration. Strictly increasing; 0 means that there is none yet.
using ConfigVersion = Count<struct ConfigVersionTag>;
// Version of a row of the platform's table. 0 means that the row is absent.
using RowVersion = Count<struct RowVersionTag>;
// Sent with each order to an engine. An engine that checks it refuses a number lower than the highest it has seen.
using FencingNumber = Count<struct FencingNumberTag>;
// A position in the output of a generation, counted in fragments.
using Offset = Count<struct OffsetTag>;

constexpr std::int64_t tokensPerPiece = 4096;

// The engine memory taken by a context of this length, rounded up to whole pieces.
constexpr Pieces piecesFor(Tokens tokens)
{
    return Pieces((tokens.value() + tokensPerPiece - 1) / tokensPerPiece);
}

} // namespace fescuesill
