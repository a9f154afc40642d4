#pragma once

// The metrics of a gateway. Used only by the forwarding thread.
//
//     GatewayMetrics metrics;
//     metrics.onPlainEnd("answered", 15ms);
//     metrics.onGenerationEnd("whole", {placed, prefilled, firstEvent, longestPause});
//     metrics.text();                              // in the exposition format

#include "decide/endpointpaths.h"
#include "decide/eventbatch.h"
#include "decide/requestbudget.h"
#include "fescuesill/errors.h"
#include "fescuesill/ids.h"
#include "programs/gateway/endpointslots.h"

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
    std::optional<Duration> configAge; // since it was known to be the newest; only with workspaces
    Duration registryAge{0}; // since the store or the leader last confirmed the registry
    bool isLeading = false;
    bool isFollowing = false;
    bool isCutOff = false; // no endpoint can be reached from this host
    EndpointPaths::Counts connections; // to endpoints
    double linkShare = 0; // of this host's link in use
    std::uint64_t connectionsUnread = 0; // closed unread, since this host is full
    bool isLossSeen = false; // packets are being lost, and events are held to be written together
    std::size_t requestsBlocked = 0; // sets of traits whose requests are refused since they crash endpoints
    SlotCounts slots; // of overloaded plain endpoints
    RequestBudget::Counts requests; // of callers: the memory that they hold, and who yielded for it
    // Connections of other hosts that were closed for new ones before they had said what they want.
    std::uint64_t linksReplaced = 0;
    std::uint64_t tunnelsReplaced = 0;
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
    // Events relayed to callers, the writes that carried them, and the stalls on the way from their engines.
    void onRelayed(const EventBatch::Counts &counts);
    // Each call of a workspace, and those that its quota did not allow. The workspaces beyond the first few hundred are
    // counted together.
    void onWorkspaceCall(const WorkspaceId &workspace, const char *event);
    void set(const GatewayGauges &gauges);
    std::string text() const;

private:
    struct Families;
    std::unique_ptr<Families> families;
};

} // namespace fescuesill
