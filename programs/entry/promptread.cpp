// Failure: an engine stalls in a read, its connection open. The owner of the cell sees the read overdue after some
// hundred milliseconds and places the request anew; an entry that first waited for the old call to end would do so for
// up to the call's 20 s, long after the caller's target. Failure: a caller goes while its prompt waits or is read; the
// engine would read on for nobody.
//
// Either shows here as giveUp(). It closes the connection, which ends the call at once and tells the engine to stop. A
// result that was made in the same moment expires at the engine within a second. Letting the old call run beside the
// new one, to take whichever is first, was rejected: the owner has counted the old engine free of this prompt.

#include "programs/entry/promptread.h"

#include "wire/log.h"

namespace fescuesill
{

PromptRead::PromptRead(ShardServices &shared, const RequestId &requestId, const ModelRequest &parsed, int classRank)
    : services(shared)
    , id(requestId)
    , request(parsed)
    , rank(classRank)
{
}

PromptRead::End PromptRead::run(const std::string &address, const asio::yield_context &yield)
{
    PrefillCall call;
    call.request = this->id;
    call.prompt = this->request.prompt;
    call.promptTokens = this->request.promptTokens;
    call.prefix = prefixHashes(this->request.prompt);
    call.priority = this->rank;
    try {
        return this->services.engines.prefill(address, call, this->abort, yield);
    } catch (const EngineError &error) {
        if (this->abort.isAborted()) {
            Log::info("prefill_given_up", {{"request", this->id.value()}, {"address", address}});
            return GivenUp{};
        }
        Log::info("prefill_failed", {{"request", this->id.value()}, {"fault", error.what()}});
        if (std::holds_alternative<QueueFull>(error.fault())) {
            return Failed{PrefillFault::QueueFull, false};
        }
        const auto *unreachable = std::get_if<Unreachable>(&error.fault());
        return Failed{PrefillFault::Unreachable, unreachable != nullptr && !unreachable->isKnownNotSent};
    }
}

void PromptRead::giveUp()
{
    this->abort.abort();
}

} // namespace fescuesill
