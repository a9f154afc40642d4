#include "programs/gateway/gatewaymetrics.h"

#include "wire/log.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>
#include <set>

namespace fescuesill
{
namespace
{

using prometheus::BuildCounter;
using prometheus::BuildGauge;
using prometheus::BuildHistogram;
using Buckets = prometheus::Histogram::BucketBoundaries;

// The buckets cover the targets in use: 0.1 s for a plain call, 1 s to the first event, 0.3 s between two events.
const Buckets answerBuckets{0.005, 0.01, 0.02, 0.04, 0.08, 0.12, 0.2, 0.4, 0.6, 1, 2, 5};
constexpr std::size_t maxWorkspaces = 400; // with counters of their own

const Buckets eventBuckets{0.05, 0.1, 0.2, 0.3, 0.4, 0.55, 0.75, 1, 1.5, 2, 4, 8};

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

void observe(prometheus::Histogram &histogram, const std::optional<Duration> &time)
{
    if (time) {
        histogram.Observe(seconds(*time));
    }
}

} // namespace

struct GatewayMetrics::Families {
    prometheus::Registry registry;
    prometheus::Family<prometheus::Counter> &calls = BuildCounter()
                                                         .Name("fescuesill_gateway_calls_total")
                                                         .Help("Calls by kind and outcome")
                                                         .Register(this->registry);
    prometheus::Family<prometheus::Counter> &refusals = BuildCounter()
                                                            .Name("fescuesill_gateway_refused_total")
                                                            .Help("Refusals by code and whether the call ran")
                                                            .Register(this->registry);
    prometheus::Counter &retries = BuildCounter()
                                       .Name("fescuesill_gateway_retries_total")
                                       .Help("Sends beyond the first of a plain call")
                                       .Register(this->registry)
                                       .Add({});
    prometheus::Family<prometheus::Counter> &relayed =
        BuildCounter()
            .Name("fescuesill_gateway_relayed_total")
            .Help("Events of streams, the writes that carried them to callers, and stalls on the way from engines")
            .Register(this->registry);
    prometheus::Counter &events = this->relayed.Add({{"of", "events"}});
    prometheus::Counter &writes = this->relayed.Add({{"of", "writes"}});
    prometheus::Counter &stalls = this->relayed.Add({{"of", "stalls"}});
    prometheus::Family<prometheus::Counter> &workspaceCalls =
        BuildCounter()
            .Name("fescuesill_gateway_workspace_calls_total")
            .Help("Calls of a workspace, and refusals by its quota")
            .Register(this->registry);
    std::set<WorkspaceId> workspaces;
    prometheus::Family<prometheus::Histogram> &times = BuildHistogram()
                                                           .Name("fescuesill_gateway_seconds")
                                                           .Help("Times of calls by what ended")
                                                           .Register(this->registry);
    prometheus::Family<prometheus::Gauge> &gauges = BuildGauge()
                                                        .Name("fescuesill_gateway_state")
                                                        .Help("What this host holds and believes")
                                                        .Register(this->registry);
    prometheus::Histogram &answer = this->times.Add({{"of", "plain_answer"}}, answerBuckets);
    prometheus::Histogram &placed = this->times.Add({{"of", "place"}}, eventBuckets);
    prometheus::Histogram &prefilled = this->times.Add({{"of", "read"}}, eventBuckets);
    prometheus::Histogram &firstEvent = this->times.Add({{"of", "first_event"}}, eventBuckets);
    prometheus::Histogram &longestPause = this->times.Add({{"of", "longest_pause"}}, eventBuckets);
};

GatewayMetrics::GatewayMetrics()
    : families(std::make_unique<Families>())
{
}

GatewayMetrics::~GatewayMetrics() = default;

void GatewayMetrics::onPlainEnd(const char *outcome, Duration took)
{
    this->families->calls.Add({{"kind", "plain"}, {"outcome", outcome}}).Increment();
    this->families->answer.Observe(seconds(took));
}

void GatewayMetrics::onGenerationEnd(const char *outcome, const GenerationTimes &times)
{
    this->families->calls.Add({{"kind", "generation"}, {"outcome", outcome}}).Increment();
    observe(this->families->placed, times.placed);
    observe(this->families->prefilled, times.prefilled);
    observe(this->families->firstEvent, times.firstEvent);
    observe(this->families->longestPause, times.longestPause);
}

void GatewayMetrics::onRefused(const Refusal &refusal)
{
    this->families->refusals
        .Add({{"code", std::string(codeName(refusal.code))}, {"run", std::string(runStateName(refusal.run))}})
        .Increment();
}

void GatewayMetrics::onRetry()
{
    this->families->retries.Increment();
}

void GatewayMetrics::onRelayed(const EventBatch::Counts &counts)
{
    this->families->events.Increment(static_cast<double>(counts.events));
    this->families->writes.Increment(static_cast<double>(counts.writes));
    this->families->stalls.Increment(static_cast<double>(counts.stalls));
}

void GatewayMetrics::onWorkspaceCall(const WorkspaceId &workspace, const char *event)
{
    auto &known = this->families->workspaces;
    if (known.size() < maxWorkspaces) {
        known.insert(workspace);
    }
    const std::string name = known.count(workspace) > 0 ? workspace.value() : "(others)";
    this->families->workspaceCalls.Add({{"workspace", name}, {"event", event}}).Increment();
}

void GatewayMetrics::set(const GatewayGauges &now)
{
    const auto put = [this](const char *name, double value) {
        this->families->gauges.Add({{"of", name}}).Set(value);
    };
    put("in_progress", now.inProgress);
    put("waiting_for_place", static_cast<double>(now.waitingForPlace));
    put("placed", static_cast<double>(now.placed));
    put("config_version", static_cast<double>(now.config.value()));
    if (now.configAge) {
        put("config_age_seconds", seconds(*now.configAge));
    }
    put("registry_age_seconds", seconds(now.registryAge));
    put("leading", now.isLeading ? 1 : 0);
    put("following", now.isFollowing ? 1 : 0);
    put("endpoints_unreachable", now.isCutOff ? 1 : 0);
    put("endpoint_connections_opened", static_cast<double>(now.connections.opened));
    put("endpoint_connections_tunnelled", static_cast<double>(now.connections.tunnelled));
    put("endpoint_connections_failed", static_cast<double>(now.connections.failed));
    put("link_share", now.linkShare);
    put("connections_unread", static_cast<double>(now.connectionsUnread));
    put("event_loss", now.isLossSeen ? 1 : 0);
    put("requests_blocked", static_cast<double>(now.requestsBlocked));
    put("slots_waiting", static_cast<double>(now.slots.waiting));
    put("slots_in_flight", static_cast<double>(now.slots.inFlight));
    put("slots_granted", static_cast<double>(now.slots.granted));
    put("slots_denied", static_cast<double>(now.slots.denied));
    put("endpoints_limited", static_cast<double>(now.slots.limited));
    put("caller_connections", static_cast<double>(now.requests.connections));
    put("request_memory_bytes", static_cast<double>(now.requests.held.value()));
    put("request_memory_limit_bytes", static_cast<double>(now.requests.limit.value()));
    put("callers_dropped", static_cast<double>(now.requests.dropped));
    put("callers_replaced", static_cast<double>(now.requests.replaced));
    put("requests_refused_for_memory", static_cast<double>(now.requests.refused));
    put("link_connections_replaced", static_cast<double>(now.linksReplaced));
    put("tunnel_connections_replaced", static_cast<double>(now.tunnelsReplaced));
    put("log_lines_left_out", static_cast<double>(Log::droppedLines()));
}

std::string GatewayMetrics::text() const
{
    return prometheus::TextSerializer().Serialize(this->families->registry.Collect());
}

} // namespace fescuesill
