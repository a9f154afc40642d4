// Nothing is shared between entries for this: the token names the engine's stream, the engine keeps the text, and the
// token's signature and workspace decide who may read it. The stream is read from its start again, since only the whole
// text can be checked by its digest, and the caller gets what it lacks.

#include "programs/entry/resumecall.h"

#include "programs/entry/canceller.h"
#include "programs/entry/streamids.h"
#include "programs/entry/streampump.h"
#include "wire/clock.h"
#include "wire/log.h"

namespace fescuesill
{
namespace
{

const Refusal streamGone{RefusalCode::StreamGone, RunState::MayHaveRun, "the stream is no longer held", std::nullopt};

CellId cellOf(const Engine &engine)
{
    return {engine.model, engine.dataCentre};
}

} // namespace

void resumeStream(ShardServices &services, const EntryView &view, const WorkspaceId &workspace,
                  const std::string &lastEventId, const RequestId &id, HttpReply &reply,
                  const asio::yield_context &yield)
{
    const auto tokens = services.state.resumeTokens();
    if (!tokens) {
        reply.refuse(
            {RefusalCode::StoreUnavailable, RunState::MayHaveRun, "the token keys are not known yet", Duration(1s)},
            yield);
        return;
    }
    const auto point = tokens->open(lastEventId, workspace, sharedNow());
    if (!point) {
        reply.refuse(resumeRefusal(point.error()), yield);
        return;
    }
    const Engine *const engine = view.declaration->findEngine(point->grant.engine);
    const auto kind = kindOf(point->grant.stream);
    if (engine == nullptr || !kind) {
        reply.refuse(streamGone, yield);
        return;
    }
    Log::info("resumed",
              {{"request", id.value()},
               {"original", point->grant.request.value()},
               {"engine", engine->id.value()},
               {"from", point->next.value()}});
    const AnswerWriter writer(*kind, engine->model.value(), point->grant.request, sharedNow().time_since_epoch() / 1s);
    PumpSink sink{reply, writer, true, Tokens(std::numeric_limits<std::int64_t>::max()), point->next};
    StreamPump pump(services, {engine->address, point->grant.stream, tokens->mint(point->grant)}, sink);
    reply.onCallerGone([&pump] { pump.abandon(); });
    const PumpEnd end = pump.run(std::nullopt, yield);
    reply.onCallerGone({});

    const CellRoute *const route = view.findRoute(cellOf(*engine));
    const peer::Finished finished{point->grant.request, peer::RequestOutcome::Completed, Tokens(0)};
    switch (end) {
    case PumpEnd::Whole:
        if (route != nullptr && route->owner) {
            services.links.send(*route->owner, finished);
        }
        reply.finish(yield);
        return;
    case PumpEnd::CallerGone:
        services.canceller->cancel({engine->address, point->grant.stream, [] {
                                    }});
        return;
    case PumpEnd::Moved: {
        std::string out;
        const Offset last = point->next + sink.delivered.count() - Offset(1);
        writer.moved(out, ResumeTokens::eventId(tokens->mint(point->grant), last));
        reply.write(out, yield);
        reply.finish(yield);
        return;
    }
    case PumpEnd::EngineLost:
    case PumpEnd::Corrupt:
        break;
    }
    if (!sink.isStarted) {
        reply.refuse(streamGone, yield);
        return;
    }
    throw CallerGone(); // closes the connection without an end: the caller asks again with its last id
}

} // namespace fescuesill
