#include "programs/entry/entrymetrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>

namespace fescuesill
{
namespace
{

using prometheus::BuildCounter;
using prometheus::BuildGauge;
using prometheus::BuildHistogram;
using prometheus::Histogram;

// Around the usual targets of 550 ms and 71 ms, so that the share within them can be read off.
const Histogram::BucketBoundaries firstTokenBuckets{0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.45, 0.55, 0.75, 1, 2, 5, 10};
const Histogram::BucketBoundaries perTokenBuckets{0.005, 0.01, 0.02, 0.03, 0.04, 0.05, 0.06, 0.071, 0.1, 0.15, 0.3, 1};

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

const char *causeName(WasteCause cause)
{
    switch (cause) {
    case WasteCause::Redone:
        return "redone";
    case WasteCause::Cancelled:
        return "cancelled";
    case WasteCause::NoPlace:
        return "no_place";
    }
    return "unknown";
}

} // namespace

EntryMetrics::EntryMetrics(prometheus::Registry &registry)
    : requests(BuildCounter().Name("fescuesill_requests_total").Help("Model requests by outcome").Register(registry))
    , withinTarget(BuildCounter()
                       .Name("fescuesill_within_target_total")
                       .Help("Model requests completed within both targets")
                       .Register(registry))
    , firstToken(BuildHistogram()
                     .Name("fescuesill_first_token_seconds")
                     .Help("From the caller's request to the first token written to it")
                     .Register(registry))
    , perToken(BuildHistogram()
                   .Name("fescuesill_per_token_seconds")
                   .Help("Mean time of one token of an answer after the first")
                   .Register(registry))
    , refused(BuildCounter().Name("fescuesill_refused_total").Help("Refusals by code").Register(registry))
    , dropped(BuildCounter()
                  .Name("fescuesill_callers_dropped_total")
                  .Help("Callers that yielded since memory or connections were used up, by cause")
                  .Register(registry))
    , wasted(BuildCounter()
                 .Name("fescuesill_wasted_prefill_tokens_total")
                 .Help("Prompt tokens read whose result was not used")
                 .Register(registry))
    , calls(BuildCounter().Name("fescuesill_calls_total").Help("Plain calls by outcome").Register(registry))
    , askedAway(BuildCounter()
                    .Name("fescuesill_asked_away_total")
                    .Help("Requests for which the cell of another data centre was asked")
                    .Register(registry))
    , degraded(BuildCounter()
                   .Name("fescuesill_degraded_placings_total")
                   .Help("Requests placed here because no owner of the cell was reachable")
                   .Register(registry)
                   .Add({}))
    , reattached(BuildCounter()
                     .Name("fescuesill_stream_reattaches_total")
                     .Help("Streams read on over a new connection")
                     .Register(registry)
                     .Add({}))
    , cancelLeft(BuildCounter()
                     .Name("fescuesill_cancellations_left_total")
                     .Help("Cancellations that no engine confirmed in time, left to the owner of the cell")
                     .Register(registry)
                     .Add({}))
    , inProgress(
          BuildGauge().Name("fescuesill_requests_in_progress").Help("Requests in progress").Register(registry).Add({}))
    , cancelling(BuildGauge()
                     .Name("fescuesill_cancellations_in_progress")
                     .Help("Cancellations not confirmed yet")
                     .Register(registry)
                     .Add({}))
    , links(BuildGauge()
                .Name("fescuesill_owner_links")
                .Help("Open links to schedulers, that of this host included")
                .Register(registry)
                .Add({}))
{
}

void EntryMetrics::onModelEnd(const ServiceId &service, const ServiceClass &serviceClass, const ModelOutcome &outcome)
{
    const std::map<std::string, std::string> labels = {{"service", service.value()}, {"class", serviceClass.name}};
    auto byOutcome = labels;
    byOutcome["outcome"] = outcome.name;
    this->requests.Add(byOutcome).Increment();
    if (outcome.firstToken) {
        this->firstToken.Add(labels, firstTokenBuckets).Observe(seconds(*outcome.firstToken));
    }
    if (outcome.perToken) {
        this->perToken.Add(labels, perTokenBuckets).Observe(seconds(*outcome.perToken));
    }
    const bool isWithin = std::string_view(outcome.name) == "completed" && outcome.firstToken
        && *outcome.firstToken <= serviceClass.firstToken
        && outcome.perToken.value_or(Duration(0)) <= serviceClass.perToken;
    if (isWithin) {
        this->withinTarget.Add(labels).Increment();
    }
}

void EntryMetrics::onRefused(const Refusal &refusal)
{
    this->refused.Add({{"code", std::string(codeName(refusal.code))}}).Increment();
}

void EntryMetrics::onDropped(std::string_view cause)
{
    this->dropped.Add({{"cause", std::string(cause)}}).Increment();
}

void EntryMetrics::onCallEnd(const ServiceId &service, const char *outcome)
{
    this->calls.Add({{"service", service.value()}, {"outcome", outcome}}).Increment();
}

void EntryMetrics::onWasted(Tokens prompt, WasteCause cause)
{
    this->wasted.Add({{"cause", causeName(cause)}}).Increment(static_cast<double>(prompt.value()));
}

void EntryMetrics::onAskedAway(const CellId &cell, bool isAfterRefusal)
{
    this->askedAway
        .Add({{"model", cell.model.value()},
              {"data_centre", cell.dataCentre.value()},
              {"why", isAfterRefusal ? "refused_here" : "no_cell_here"}})
        .Increment();
}

void EntryMetrics::onDegradedPlacing()
{
    this->degraded.Increment();
}

void EntryMetrics::onReattach()
{
    this->reattached.Increment();
}

void EntryMetrics::onCancelLeft()
{
    this->cancelLeft.Increment();
}

void EntryMetrics::requestsInProgress(int change)
{
    this->inProgress.Increment(change);
}

void EntryMetrics::cancellations(int change)
{
    this->cancelling.Increment(change);
}

void EntryMetrics::ownerLinks(std::size_t open)
{
    this->links.Set(static_cast<double>(open));
}

} // namespace fescuesill
