#pragma once

// The metrics of a gateway. Used only by the forwarding thread.
//
//     GatewayMetrics metrics;
//     metrics.onPlainEnd("answered", 15ms);
//     metrics.onGenerationEnd("whole", {placed, prefilled, firstEvent, longestPause});
//     metrics.text();                              // in the exposition format

#include "decide/endpointpaths.h"
#include "fescuesill/errors.h"
#include "fescuesill/ids.h"

#include <memory>
#include <optional>
#include <string>

namespace fescuesill
{

// Times of one generation. All but the pause are measured from its arrival; a stage that it did not reach is empty.
struct GenerationTimes {
    std::optional<Duration> placed;
    std::optional<Duration> prefilled;
    std::optional<Duration> firstEvent;
    std::optional<Duration> longestPause; // between two events
};

struct GatewayGauges {
    int inProgress = 0;
    std::size_t waitingForPlace = 0;
    std::size_t placed = 0; // generations placed by this host's gates; on the leader, those of all hosts
    ConfigVersion config; // the active version; 0 before the first
    Duration registryAge{0}; // since the store or the leader last confirmed the registry
    bool isLeading = false;
    bool isFollowing = false;
    bool isCutOff = false; // no endpoint can be reached from this host
    EndpointPaths::Counts connections; // to endpoints
};

class GatewayMetrics
{
public:
    GatewayMetrics();
    ~GatewayMetrics();
    GatewayMetrics(const GatewayMetrics &) = delete;
    GatewayMetrics &operator=(const GatewayMetrics &) = delete;

    void onPlainEnd(const char *outcome, Duration took);
    void onGenerationEnd(const char *outcome, const GenerationTimes &times);
    void onRefused(const Refusal &refusal);
    void onRetry();
    void set(const GatewayGauges &gauges);
    std::string text() const;

private:
    struct Families;
    std::unique_ptr<Families> families;
};

} // namespace fescuesill
