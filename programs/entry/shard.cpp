// Routing of one call: refuse what cannot be taken now, before anything is spent on it; then by path to a completion, a
// resume, or the plain service whose declared route is the longest prefix.

#include "programs/entry/shard.h"

#include "programs/entry/modelcall.h"
#include "programs/entry/plaincall.h"
#include "programs/entry/resumecall.h"
#include "wire/clock.h"
#include "wire/log.h"
#include "wire/url.h"

#include <algorithm>

namespace fescuesill
{
namespace
{

// A burst of answers to every request of a thread; a full ring only delays, see post().
constexpr std::size_t mostEvents = 16384;
constexpr std::size_t mostNameLength = 64;
constexpr Duration configurationRetry{2s};
constexpr int bodyCopies = 3; // the body or its prompt, the call to an endpoint, and that call as it is written
constexpr const char *unnamedWorkspace = "default";

bool isName(std::string_view text)
{
    const bool isClean = std::all_of(text.begin(), text.end(), [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_'
            || c == '.';
    });
    return isClean && !text.empty() && text.size() <= mostNameLength;
}

// A service is named by the header, by its own name as the model, or is the only one with that model.
const Service *findModelService(const Declaration &declaration, std::string_view named, const std::string &model)
{
    const Service *found = declaration.findService(ServiceId(named.empty() ? model : std::string(named)));
    if (found != nullptr || !named.empty()) {
        return found != nullptr && std::holds_alternative<ModelService>(found->kind) ? found : nullptr;
    }
    int count = 0;
    for (const Service &service : declaration.services) {
        const auto *kind = std::get_if<ModelService>(&service.kind);
        if (kind != nullptr && kind->model == ModelId(model)) {
            found = &service;
            ++count;
        }
    }
    return count == 1 ? found : nullptr;
}

bool mayUse(const Service &service, const WorkspaceId &workspace)
{
    const auto &allowed = service.workspaces;
    return allowed.empty() || std::find(allowed.begin(), allowed.end(), workspace.value()) != allowed.end();
}

// The largest context that a writing engine of the model can hold.
Pieces largestMemory(const Declaration &declaration, const ModelId &model)
{
    Pieces largest(0);
    for (const Engine &engine : declaration.engines) {
        if (engine.model == model && engine.role == EngineRole::Decode) {
            largest = std::max(largest, engine.memory);
        }
    }
    return largest;
}

Refusal unknownService()
{
    return {RefusalCode::UnknownService, RunState::NotRun, "no such service for this workspace", std::nullopt};
}

EngineClient::Options engineOptions(const EntrySettings &settings)
{
    EngineClient::Options options;
    options.http.connections = settings.requests * 2;
    return options;
}

CellChoice::Options choiceOptions(const EntrySettings &settings)
{
    CellChoice::Options options;
    options.home = settings.dataCentre;
    return options;
}

} // namespace

Shard::Shard(const EntryCommon &common, std::size_t index, std::uint64_t boot)
    : io(1)
    , work(io.get_executor())
    , services{io,
               common.settings,
               common.state,
               common.links,
               common.held,
               common.metrics,
               common.ledger,
               index,
               RequestIds(common.settings.host, boot, index),
               EngineClient(io, engineOptions(common.settings)),
               HttpClient(io, HttpClient::Options::forEndpoints()),
               OwnerMailbox(io),
               CellChoice(choiceOptions(common.settings), boot + index),
               {},
               RetryBudget({}),
               nullptr,
               nullptr,
               nullptr}
    , canceller(services)
    , degradedLoads(services)
    , events(mostEvents, [this] { asio::post(this->io, [this] { this->drainRing(); }); })
{
    this->services.canceller = &this->canceller;
    this->services.degradedLoads = &this->degradedLoads;
}

Shard::~Shard()
{
    this->stop();
}

std::optional<WireError> Shard::listen()
{
    const EntrySettings &settings = this->services.settings;
    HttpServer::Options options;
    options.address = settings.callers;
    options.reusePort = true;
    const MemoryPlan plan = settings.planOfThread();
    options.connections = plan.connections;
    options.requestMemory = plan.requests;
    options.sendBuffers = plan.sendBuffers;
    options.bodyCopies = bodyCopies;
    options.bodyLimit = settings.bodyLimit;
    options.stallLimit = settings.stallLimit;
    options.newRequestId = [this] {
        return this->services.ids.next();
    };
    options.onRefused = [this](const Refusal &refusal) {
        this->services.metrics.onRefused(refusal);
    };
    options.onDropped = [this](std::string_view cause) {
        this->services.metrics.onDropped(cause);
    };
    auto created = HttpServer::create(this->io, options,
                                      [this](HttpCall &call, HttpReply &reply, const asio::yield_context &yield) {
                                          this->handle(call, reply, yield);
                                      });
    if (!created) {
        return created.error();
    }
    this->server = std::move(*created);
    return std::nullopt;
}

void Shard::start()
{
    this->thread = std::thread([this] { this->io.run(); });
}

void Shard::stop()
{
    if (!this->thread.joinable()) {
        return;
    }
    asio::post(this->io, [this] {
        this->server->close();
        this->io.stop();
    });
    this->thread.join();
}

bool Shard::post(LinkEvent event)
{
    return this->events.tryPush(std::move(event));
}

void Shard::drainRing()
{
    while (auto event = this->events.tryPop()) {
        if (auto *news = std::get_if<OwnerNews>(&*event)) {
            this->services.mailbox.put(news->request, std::move(*news->message));
        } else {
            this->services.mailbox.onLinkLost(std::get<OwnerLost>(*event).link);
        }
    }
}

std::optional<Refusal> Shard::refusalForNew(const EntryView &view) const
{
    const Instant now = steadyNow();
    if (auto refusal = this->services.state.refusalForNew(now)) {
        return refusal;
    }
    // Failure: this host is cut off while operators change the configuration elsewhere. It shows as requests sent to an
    // endpoint that has left. Without word from a scheduler that serves, what is known here may be old: take nothing.
    const bool isCutOff = now - view.heard > this->services.settings.freshness;
    if (!view.declaration || isCutOff) {
        return Refusal{RefusalCode::NoConfiguration, RunState::NotRun, "no configuration in force here",
                       configurationRetry};
    }
    return std::nullopt;
}

void Shard::handle(HttpCall &call, HttpReply &reply, const asio::yield_context &yield)
{
    const EntryState::Work counted(this->services.state);
    this->services.metrics.requestsInProgress(1);
    try {
        this->route(call, reply, yield);
    } catch (...) {
        // Also for the unwinding of a coroutine that is never resumed.
        this->services.metrics.requestsInProgress(-1);
        throw;
    }
    this->services.metrics.requestsInProgress(-1);
}

void Shard::route(HttpCall &call, HttpReply &reply, const asio::yield_context &yield)
{
    if (this->services.state.isDraining()) {
        reply.closeAfterReply();
    }
    const std::shared_ptr<const EntryView> view = this->services.links.view();
    if (const auto refusal = this->refusalForNew(*view)) {
        reply.refuse(*refusal, yield);
        return;
    }
    const std::string_view named = call.header("X-Workspace");
    const WorkspaceId workspace(named.empty() ? unnamedWorkspace : std::string(named));
    if (!isName(workspace.value())) {
        reply.refuse({RefusalCode::BadRequest, RunState::NotRun, "X-Workspace is not a name", std::nullopt}, yield);
        return;
    }
    const std::string path = parseTarget(call.target).path;
    const bool isChat = path == "/v1/chat/completions";
    const bool isModel = isChat || path == "/v1/completions";
    const bool isResume = path == "/v1/streams";
    if ((isModel && call.method != "POST") || (isResume && call.method != "GET")) {
        reply.refuse({RefusalCode::MethodNotAllowed, RunState::NotRun, "POST completions, GET streams", std::nullopt},
                     yield);
        return;
    }
    if (isModel) {
        this->serveModel(isChat ? ModelRequest::Kind::Chat : ModelRequest::Kind::Completion, call, reply, yield);
        return;
    }
    if (isResume) {
        resumeStream(this->services, *view, workspace, std::string(call.header("Last-Event-ID")), call.id, reply,
                     yield);
        return;
    }
    const Service *const service = view->declaration->findRoute(path);
    if (service == nullptr || !mayUse(*service, workspace)) {
        reply.refuse(unknownService(), yield);
        return;
    }
    PlainCall(this->services, *view, *service, workspace, call, reply).run(yield);
}

void Shard::serveModel(ModelRequest::Kind kind, HttpCall &call, HttpReply &reply, const asio::yield_context &yield)
{
    const std::shared_ptr<const EntryView> view = this->services.links.view();
    auto request = ModelRequest::parse(kind, call.body);
    call.body = std::string(); // the prompt is held once
    if (!request) {
        reply.refuse(request.error(), yield);
        return;
    }
    const std::string_view named = call.header("X-Workspace");
    const WorkspaceId workspace(named.empty() ? unnamedWorkspace : std::string(named));
    const Service *const service = findModelService(*view->declaration, call.header("X-Service"), request->model);
    if (service == nullptr || !mayUse(*service, workspace)) {
        reply.refuse(unknownService(), yield);
        return;
    }
    const auto &model = std::get<ModelService>(service->kind);
    const bool isUnlimited = request->maxTokens == Tokens(0) || model.maxOutput < request->maxTokens;
    request->maxTokens = isUnlimited ? model.maxOutput : request->maxTokens;
    if (largestMemory(*view->declaration, model.model) < piecesFor(request->promptTokens + request->maxTokens)) {
        reply.refuse(
            {RefusalCode::TooLarge, RunState::NotRun, "no engine holds a context of this length", std::nullopt}, yield);
        return;
    }
    feedChoosers(this->services, view);
    ModelCall(this->services, view, *service, workspace, std::move(*request), call.id, reply).run(yield);
}

} // namespace fescuesill
