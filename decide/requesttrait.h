#pragma once

// A property by which requests can be recognised that differ in their ids, hosts and callers.
//
//     const RequestTrait whole = RequestTrait::wholeRequest(text);   // requests with the same content
//     whole.isWholeRequest();

#include <cstdint>
#include <string_view>
#include <vector>

namespace fescuesill
{

class RequestTrait
{
public:
    static RequestTrait wholeRequest(std::string_view content);
    // From value(), as sent by another host.
    explicit RequestTrait(std::uint64_t number)
        : number(number)
    {
    }

    std::uint64_t value() const
    {
        return this->number;
    }

    friend bool operator==(const RequestTrait &a, const RequestTrait &b)
    {
        return a.number == b.number;
    }
    friend bool operator<(const RequestTrait &a, const RequestTrait &b)
    {
        return a.number < b.number;
    }

private:
    std::uint64_t number;
};

using RequestTraits = std::vector<RequestTrait>;

} // namespace fescuesill
