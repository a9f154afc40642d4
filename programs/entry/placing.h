#pragma once

// Where one request is to run: asks the owner of a cell, or decides here while no owner can be reached.
//
//     Placing placing(services, job);
//     placing.submit();
//     while (const auto answer = placing.wait(limit, yield)) { ... Placed, StartDecode or Refused ... }
//     placing.decodeFailed(DecodeFault::NoMemory, true);     // then wait() again

#include "decide/requesttrait.h"
#include "programs/entry/shardservices.h"

#include <boost/asio/spawn.hpp>

namespace fescuesill
{

struct PlacingJob {
    RequestId request;
    ModelId model;
    ServiceId service;
    WorkspaceId workspace;
    Tokens prompt;
    Tokens maxOutput;
    std::vector<std::uint64_t> prefix;
    RequestTrait content; // the whole request
    Instant arrival;
    Duration firstToken{0}; // the target
};

class Placing
{
public:
    using Answer = std::variant<peer::Placed, peer::StartDecode, peer::Refused>;

    Placing(ShardServices &services, PlacingJob job, std::shared_ptr<const EntryView> view);
    ~Placing();
    Placing(const Placing &) = delete;
    Placing &operator=(const Placing &) = delete;

    void submit();
    // After a refusal: asks another cell, once. Whether it did; otherwise the refusal stands.
    bool submitElsewhere(const Refusal &refusal);
    // None where the owner says nothing in time.
    std::optional<Answer> wait(Duration limit, const asio::yield_context &yield);
    // Called when the owner places the request anew or refuses it, while what it said before is still acted on; empty:
    // nobody wants to know.
    void onSuperseded(const std::function<void()> &superseded);
    // Ends a wait: the caller has gone.
    void interrupt();

    void prefillDone(const PrefillAnswer &answer);
    // `ran`: how long the engine had run the request when it ended; empty if it did not end under it.
    void prefillFailed(PrefillFault fault, std::optional<Duration> ran);
    void decoding(const StreamId &stream, const EngineId &engine, Tokens output);
    void decodeFailed(DecodeFault fault, bool kvHeld, std::optional<Duration> ran);
    void finished(peer::RequestOutcome outcome, Tokens output);

    const CellId &cell() const;
    bool isDegraded() const;

private:
    void chooseCell(Instant now);
    void askOwner(Instant now);
    void send(const peer::Message &message);
    void placeHere();
    Answer refuseHere(const char *text) const;

    ShardServices &services;
    PlacingJob job;
    std::shared_ptr<const EntryView> view;
    CellId chosen;
    std::optional<LinkId> owner; // none: decided here
    OwnerMailbox::Box box;
    std::optional<Answer> here; // an answer of our own
    int tries = 0;
    bool isUsing = false; // counted as a use of the cell: keeps the link to its owner open
    bool isElsewhere = false; // another cell was asked after a refusal
};

// Gives the choosers of this thread the view's summaries and engines, once for each view.
void feedChoosers(ShardServices &services, const std::shared_ptr<const EntryView> &view);

} // namespace fescuesill
