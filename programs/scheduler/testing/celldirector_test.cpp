#include "programs/scheduler/celldirector.h"
#include "programs/scheduler/testing/smalldeclaration.h"

#include <gtest/gtest.h>

#include <optional>

namespace fescuesill
{
namespace
{

const CellId cell{ModelId("motor"), DataCentreId("athens")};
const HostId entryHost("athens-a");
const LinkId entryLink{1};
const LinkId laterLink{2};

class CellDirectorTest : public ::testing::Test
{
protected:
    CellDirectorTest()
        : director(CellDirector::Options(), HostId("athens-b"))
    {
        this->director.on(NewDeclaration{declaration()}, this->now);
        this->own({cell});
        this->greet(entryLink);
        this->outputs();
    }

    static std::shared_ptr<const Declaration> declaration()
    {
        auto parsed = Declaration::parse(smallDeclaration, "test");
        EXPECT_TRUE(parsed) << (parsed ? "" : parsed.error().faults.front().line());
        return std::make_shared<const Declaration>(std::move(*parsed));
    }

    void own(std::set<CellId> cells, std::set<HostId> live = {entryHost, HostId("athens-b")})
    {
        this->director.on(Ownership{std::move(cells), std::move(live)}, this->now);
    }

    void greet(LinkId link)
    {
        this->say(link, peer::Hello{entryHost, DataCentreId("athens"), true});
    }

    void say(LinkId link, peer::Message message)
    {
        this->director.on(FromEntry{link, std::move(message)}, this->now);
    }

    void submit(const std::string &request, Tokens prompt = Tokens(1000), std::uint64_t content = 0)
    {
        this->say(entryLink,
                  peer::Submit{RequestId(request),
                               cell,
                               ServiceId("diagnose"),
                               WorkspaceId("w"),
                               prompt,
                               Tokens(10),
                               {},
                               0ms,
                               content});
    }

    // The engine ends while it writes the answer to a request with this content.
    void crashUnder(const std::string &request, std::uint64_t content)
    {
        this->submit(request, Tokens(1000), content);
        this->outputs();
        this->say(entryLink, peer::PrefillDone{RequestId(request), Tokens(1000), Tokens(0), 800ms});
        this->pass(100ms);
        this->say(entryLink, peer::DecodeFailed{RequestId(request), DecodeFault::Unreachable, false, content, 50ms});
    }

    peer::Held held(const std::string &request) const
    {
        return peer::Held{RequestId(request), cell,           ServiceId("diagnose"), WorkspaceId("w"),
                          StreamId(request),  EngineId("d1"), Tokens(1000),          Tokens(1),
                          Tokens(100)};
    }

    std::vector<DirectorOutput> outputs()
    {
        return this->director.poll(this->now);
    }

    // The last message of this kind that an entry was sent.
    template<typename Kind>
    std::optional<Kind> told(LinkId link = entryLink)
    {
        std::optional<Kind> found;
        for (const DirectorOutput &output : this->outputs()) {
            const auto *to = std::get_if<ToEntry>(&output);
            if (to != nullptr && to->link == link && std::holds_alternative<Kind>(to->message)) {
                found = std::get<Kind>(to->message);
            }
        }
        return found;
    }

    std::vector<StreamId> cancelledAfterList(std::vector<EngineStream> streams)
    {
        this->director.on(EngineStreams{EngineId("d1"), std::move(streams)}, this->now);
        std::vector<StreamId> cancelled;
        for (const DirectorOutput &output : this->outputs()) {
            if (const auto *cancel = std::get_if<CancelStream>(&output)) {
                EXPECT_EQ(cancel->reader, entryHost);
                cancelled.push_back(cancel->stream);
            }
        }
        return cancelled;
    }

    void pass(Duration duration)
    {
        this->now += duration;
    }

    Instant now{1h};
    CellDirector director;
};

TEST_F(CellDirectorTest, PlacesARequestOnTheDeclaredEngines)
{
    this->submit("r1");
    const auto placed = this->told<peer::Placed>();
    ASSERT_TRUE(placed);
    EXPECT_EQ(placed->prefillAddress, "127.0.0.1:1001");
    EXPECT_EQ(placed->decodeAddress, "127.0.0.1:1002");
    this->say(entryLink, peer::Finished{RequestId("r1"), peer::RequestOutcome::Completed, Tokens(5)});
    EXPECT_EQ(this->director.status(this->now).requests, 0U);
}

TEST_F(CellDirectorTest, ARequestForACellOfAnotherHostIsSentOnItsWay)
{
    this->say(entryLink,
              peer::Submit{RequestId("r1"),
                           CellId{ModelId("other"), DataCentreId("athens")},
                           ServiceId("diagnose"),
                           WorkspaceId("w"),
                           Tokens(10),
                           Tokens(10),
                           {},
                           0ms,
                           0});
    const auto refused = this->told<peer::Refused>();
    ASSERT_TRUE(refused);
    EXPECT_EQ(refused->refusal.code, RefusalCode::Draining);
    EXPECT_EQ(refused->refusal.run, RunState::NotRun);
}

// Guards against a request under which engines have ended, and that is placed for each entry that asks.
TEST_F(CellDirectorTest, RefusesARequestUnderWhichThreeEnginesEnded)
{
    constexpr std::uint64_t deadly = 7;
    for (int crash = 1; crash <= 3; ++crash) {
        const std::string request = "r" + std::to_string(crash);
        this->crashUnder(request, deadly);
        const auto refused = this->told<peer::Refused>();
        ASSERT_EQ(refused.has_value(), crash == 3);
        if (refused) {
            EXPECT_EQ(refused->refusal.run, RunState::MayHaveRun);
        }
        this->say(entryLink, peer::Finished{RequestId(request), peer::RequestOutcome::Failed, Tokens(0)});
    }
    this->submit("r4", Tokens(1000), deadly);
    const auto refused = this->told<peer::Refused>();
    ASSERT_TRUE(refused);
    EXPECT_EQ(refused->refusal.code, RefusalCode::Blocked);
    EXPECT_EQ(refused->refusal.run, RunState::NotRun);
    this->submit("r5", Tokens(1000), 8);
    EXPECT_FALSE(this->told<peer::Refused>());
}

// Guards against a prompt under which engines have ended as they read it, and that is placed for each entry that asks.
TEST_F(CellDirectorTest, RefusesARequestUnderWhichThreeEnginesEndedAsTheyReadItsPrompt)
{
    constexpr std::uint64_t deadly = 7;
    for (int crash = 1; crash <= 3; ++crash) {
        const RequestId request("r" + std::to_string(crash));
        this->submit(request.value(), Tokens(1000), deadly);
        this->outputs();
        this->pass(100ms);
        this->say(entryLink, peer::PrefillFailed{request, PrefillFault::Unreachable, deadly, 50ms});
        ASSERT_EQ(this->told<peer::Refused>().has_value(), crash == 3);
        this->say(entryLink, peer::Finished{request, peer::RequestOutcome::Failed, Tokens(0)});
    }
    this->submit("r4", Tokens(1000), deadly);
    const auto refused = this->told<peer::Refused>();
    ASSERT_TRUE(refused);
    EXPECT_EQ(refused->refusal.code, RefusalCode::Blocked);
}

// A host joins and takes the cell over while requests wait in it. They must not wait here for ever: each is told at
// once that the cell has moved, so that its entry asks the next owner.
TEST_F(CellDirectorTest, WhatWaitsInALostCellIsToldThatItMoved)
{
    for (int i = 0; i < 40; ++i) {
        this->submit("r" + std::to_string(i), Tokens(200));
    }
    this->outputs();
    const std::size_t known = this->director.status(this->now).requests;
    ASSERT_GT(known, 2U);
    this->own({});
    std::size_t moved = 0;
    for (const DirectorOutput &output : this->outputs()) {
        const auto *to = std::get_if<ToEntry>(&output);
        moved += to != nullptr && std::holds_alternative<peer::Refused>(to->message) ? 1 : 0;
    }
    EXPECT_GT(moved, 0U);
    EXPECT_EQ(this->director.status(this->now).requests, 0U);
}

// A quiet cell says nothing new every second: the summaries of 48 cells share the few bytes that ride on probes, and
// crowd out what matters.
TEST_F(CellDirectorTest, AnUnchangedSummaryIsPublishedSeldom)
{
    int published = 0;
    constexpr int seconds = 60;
    for (int i = 0; i < seconds; ++i) {
        this->pass(1s);
        for (const DirectorOutput &output : this->outputs()) {
            published += std::holds_alternative<PublishSummary>(output) ? 1 : 0;
        }
    }
    EXPECT_GE(published, 5);
    EXPECT_LE(published, 7);
}

// The link to an entry breaks and comes back while its request writes. The entry says again what it holds; nothing is
// cancelled and the reservation stays.
TEST_F(CellDirectorTest, AnEntryThatComesBackKeepsWhatItHolds)
{
    this->submit("r1");
    ASSERT_TRUE(this->told<peer::Placed>());
    this->director.on(LinkClosed{entryLink}, this->now);
    this->pass(5s);
    this->greet(laterLink);
    this->say(laterLink, peer::Holding{{this->held("r1")}});
    this->pass(60s);
    EXPECT_TRUE(this->cancelledAfterList({EngineStream{StreamId("r1"), entryHost, false}}).empty());
    EXPECT_EQ(this->director.status(this->now).requests, 1U);
}

// An entry is killed. Its caller may come back elsewhere within the grace, so nothing is cancelled before; after it the
// engine's stream is cancelled and the reservation goes, or the cell would fill up with the dead.
TEST_F(CellDirectorTest, WhatADeadEntryHeldIsCancelledAfterTheGrace)
{
    this->submit("r1");
    ASSERT_TRUE(this->told<peer::Placed>());
    this->director.on(LinkClosed{entryLink}, this->now);
    this->own({cell}, {HostId("athens-b")});
    const EngineStream orphan{StreamId("r1"), entryHost, false};
    EXPECT_TRUE(this->cancelledAfterList({orphan}).empty());
    this->pass(10s);
    EXPECT_TRUE(this->cancelledAfterList({orphan}).empty());
    this->pass(6s);
    EXPECT_EQ(this->cancelledAfterList({orphan}), std::vector<StreamId>{StreamId("r1")});
    EXPECT_EQ(this->director.status(this->now).requests, 0U);
}

// The scheduler of a host dies but its entry lives: membership calls the host dead. Its link here is open, so what it
// reads must not be cancelled under its callers.
TEST_F(CellDirectorTest, AnEntryWithAnOpenLinkIsLiveWhateverMembershipSays)
{
    this->own({cell}, {HostId("athens-b")});
    this->pass(60s);
    const EngineStream read{StreamId("r1"), entryHost, true};
    EXPECT_TRUE(this->cancelledAfterList({read}).empty());
    this->pass(60s);
    EXPECT_TRUE(this->cancelledAfterList({read}).empty());
}

// An entry ends a request while its link is down, so Finished never arrives. The next Holding does not name it, and its
// reservation is freed.
TEST_F(CellDirectorTest, WhatAnEntryNoLongerNamesIsFreed)
{
    this->submit("r1");
    ASSERT_TRUE(this->told<peer::Placed>());
    this->director.on(LinkClosed{entryLink}, this->now);
    this->greet(laterLink);
    this->say(laterLink, peer::Holding{});
    EXPECT_EQ(this->director.status(this->now).requests, 0U);
}

} // namespace
} // namespace fescuesill
