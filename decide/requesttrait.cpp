#include "decide/requesttrait.h"

#include <xxhash.h>

namespace fescuesill
{

RequestTrait RequestTrait::wholeRequest(std::string_view content)
{
    return RequestTrait(XXH3_64bits(content.data(), content.size()));
}

} // namespace fescuesill
