#pragma once

// A property by which requests can be recognised that differ in their ids, hosts and callers.
//
//     const RequestTrait whole = RequestTrait::wholeRequest(text);   // requests with the same content
//     const RequestTrait part = RequestTrait::promptPart("5c1e07a2");   // requests with this part in their prompts
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
    static RequestTrait promptPart(std::string_view name);
    // From value(), as sent by another host.
    explicit RequestTrait(std::uint64_t number)
        : number(number)
    {
    }

    // The same property, of requests whose prompts prefill engines read. An answer shows that it is harmless only if
    // one of them has read the prompt.
    RequestTrait whenRead() const
    {
        return RequestTrait(this->number | readBit);
    }
    bool isWhenRead() const
    {
        return (this->number & readBit) != 0;
    }
    // The property of which this one is whenRead(), or itself.
    RequestTrait base() const
    {
        return RequestTrait(this->number & ~readBit);
    }
    std::uint64_t value() const
    {
        return this->number;
    }
    bool isWholeRequest() const
    {
        return (this->number & wholeRequestBit) != 0;
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
    static constexpr std::uint64_t wholeRequestBit = 1;
    static constexpr std::uint64_t readBit = 2;

    std::uint64_t number; // a hash, but for these bits
};

using RequestTraits = std::vector<RequestTrait>;

} // namespace fescuesill
