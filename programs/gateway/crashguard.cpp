// An answer that breaks off has many causes. Only an endpoint that has ended counts, which shows at once: its port
// refuses connections, from other hosts as well.

#include "programs/gateway/crashguard.h"

#include "platform/calldialect.h"
#include "wire/coroutine.h"
#include "wire/log.h"

#include <fmt/format.h>

namespace fescuesill
{
namespace
{

std::string textOf(const RequestTraits &traits)
{
    std::string text;
    for (const RequestTrait &trait : traits) {
        text += fmt::format("{}{:016x}", text.empty() ? "" : ",", trait.value());
    }
    return text;
}

} // namespace

CrashGuard::CrashGuard(asio::io_context &context, HttpClient &httpClient)
    : io(context)
    , client(httpClient)
{
}

void CrashGuard::onBrokenOff(const EndpointRecord &endpoint, const HttpCall &call)
{
    startCoroutine(this->io, [this, endpoint, traits = readTraits(call)](const asio::yield_context &yield) {
        this->confirm(endpoint, traits, yield);
    });
}

void CrashGuard::confirm(const EndpointRecord &endpoint, const RequestTraits &traits, const asio::yield_context &yield)
{
    const Liveness found = this->client.probe(endpoint.address, yield);
    Log::info("answer_broken_off",
              {{"endpoint", endpoint.id.value()},
               {"incarnation", endpoint.incarnation},
               {"liveness", nameOf(found)},
               {"traits", textOf(traits)}});
}

} // namespace fescuesill
