#pragma once

// The counters of an entry, by service and class. Counted once for each request, never for each token.
//
//     metrics.onModelEnd({service, serviceClass}, ModelOutcome{"completed", firstToken, perToken, true});

#include "declare/declaration.h"
#include "fescuesill/errors.h"

#include <optional>
#include <prometheus/registry.h>

namespace prometheus
{
class Counter;
class Gauge;
class Histogram;
} // namespace prometheus

namespace fescuesill
{

enum class WasteCause {
    Redone, // the decode failed and the KV was gone
    Cancelled, // the caller went before its first token
    NoPlace, // no decode engine took the result in time
};

struct ModelOutcome {
    const char *name = "completed"; // completed, refused, cancelled, failed, moved
    std::optional<Duration> firstToken;
    std::optional<Duration> perToken; // mean over the answer
};

class EntryMetrics
{
public:
    explicit EntryMetrics(prometheus::Registry &registry);

    void onModelEnd(const ServiceId &service, const ServiceClass &serviceClass, const ModelOutcome &outcome);
    void onRefused(const Refusal &refusal);
    // A caller's connection was closed, or its request refused, since memory or connections are used up.
    void onDropped(std::string_view cause);
    void onCallEnd(const ServiceId &service, const char *outcome);
    void onWasted(Tokens prompt, WasteCause cause);
    void onAskedAway(const CellId &cell, bool isAfterRefusal);
    void onDegradedPlacing();
    void onReattach();
    void onCancelLeft();
    void requestsInProgress(int change);
    void cancellations(int change);
    void ownerLinks(std::size_t open);

private:
    using Counters = prometheus::Family<prometheus::Counter>;
    using Histograms = prometheus::Family<prometheus::Histogram>;

    Counters &requests;
    Counters &withinTarget;
    Histograms &firstToken;
    Histograms &perToken;
    Counters &refused;
    Counters &dropped;
    Counters &wasted;
    Counters &calls;
    Counters &askedAway;
    prometheus::Counter &degraded;
    prometheus::Counter &reattached;
    prometheus::Counter &cancelLeft;
    prometheus::Gauge &inProgress;
    prometheus::Gauge &cancelling;
    prometheus::Gauge &links;
};

} // namespace fescuesill
