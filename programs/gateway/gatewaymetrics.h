#pragma once

// The counters and histograms of a gateway, of the forwarding thread.
//
//     GatewayMetrics metrics;
//     metrics.onPlainEnd("answered", 15ms);
//     metrics.onGenerationEnd("whole", {placed, read, firstEvent, longestPause});
//     metrics.text();                              // in the exposition format

#include "fescuesill/errors.h"
#include "fescuesill/ids.h"

#include <memory>
#include <optional>
#include <string>

namespace fescuesill
{

// Times of one generation, from its arrival but for the pause; none for what it did not come to.
struct GenerationTimes {
    std::optional<Duration> placed;
    std::optional<Duration> prefilled;
    std::optional<Duration> firstEvent;
    std::optional<Duration> longestPause; // between two events
};

struct GatewayGauges {
    int inProgress = 0;
    std::size_t waitingForPlace = 0;
    std::size_t placed = 0; // as the gate of this host knows them: of all hosts on the leader
    ConfigVersion config; // in force; 0 before the first
    Duration registryAge{0}; // since the store or the leader last confirmed what is believed
    bool isLeading = false;
    bool isFollowing = false;
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
