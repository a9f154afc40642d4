#include "decide/requesttrait.h"

#include <xxhash.h>

namespace fescuesill
{

RequestTrait RequestTrait::wholeRequest(std::string_view content)
{
    return RequestTrait((XXH3_64bits(content.data(), content.size()) & ~readBit) | wholeRequestBit);
}

RequestTrait RequestTrait::promptPart(std::string_view name)
{
    return RequestTrait(XXH3_64bits(name.data(), name.size()) & ~(wholeRequestBit | readBit));
}

} // namespace fescuesill
