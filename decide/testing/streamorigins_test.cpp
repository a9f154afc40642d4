#include "decide/streamorigins.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace fescuesill
{
namespace
{

const ServiceId llm("llm");
const SoftwareVersion v1("v1");
const SoftwareVersion v2("v2");
const Instant start = Instant() + 1h;

BegunStream stream(const char *id, const SoftwareVersion &version, Instant since)
{
    return {RequestId(id), llm, version, since};
}

TEST(StreamOrigins, KnowReportedStreams)
{
    StreamOrigins origins({});
    origins.onListed(llm, {v1, v2}, start);
    origins.onBegun(stream("a", v1, start), start);
    origins.onBegun(stream("b", v2, start), start);
    EXPECT_EQ(origins.find(RequestId("a"), llm), v1);
    EXPECT_EQ(origins.find(RequestId("b"), llm), v2);
    EXPECT_EQ(origins.find(RequestId("c"), llm), std::nullopt);
    EXPECT_EQ(origins.find(RequestId("a"), ServiceId("other")), std::nullopt);
    EXPECT_EQ(origins.begun(start + 1s).size(), 2U);
}

// Guards against a guess at a version that another one may have been, at its beginning or after it has gone.
TEST(StreamOrigins, KnowOtherStreamsOnlyOfASingleVersion)
{
    StreamOrigins origins({});
    origins.onListed(llm, {v1}, start);
    EXPECT_EQ(origins.onlyVersion(llm, start + 45s), std::nullopt); // of a version before this process began
    EXPECT_EQ(origins.onlyVersion(llm, start + 46s), v1);
    origins.onListed(llm, {v1, v2}, start + 50s);
    EXPECT_EQ(origins.onlyVersion(llm, start + 50s), std::nullopt);
    EXPECT_TRUE(origins.isMixed(llm, start + 50s));
    origins.onListed(llm, {v2}, start + 60s);
    EXPECT_EQ(origins.onlyVersion(llm, start + 105s), std::nullopt);
    EXPECT_EQ(origins.onlyVersion(llm, start + 106s), v2);
    EXPECT_FALSE(origins.isMixed(llm, start + 106s));
    EXPECT_EQ(origins.onlyVersion(ServiceId("unlisted"), start + 106s), std::nullopt);
}

// Guards against a host that can't read the list, still has a single version on it, and takes that for every stream's.
TEST(StreamOrigins, TrustNoListFromBeforeAnOutage)
{
    for (const bool isFirstStart : {false, true}) {
        StreamOrigins::Options options;
        options.isFirstStart = isFirstStart;
        StreamOrigins origins(options);
        origins.onListed(llm, {v1}, start);
        EXPECT_EQ(origins.onlyVersion(llm, start + 60s), v1);
        origins.onOutdated(start + 60s);
        EXPECT_EQ(origins.onlyVersion(llm, start + 60s), std::nullopt);
        origins.onListed(llm, {v1}, start + 61s);
        EXPECT_EQ(origins.onlyVersion(llm, start + 62s), std::nullopt);
        EXPECT_EQ(origins.onlyVersion(llm, start + 106s), v1);
    }
}

TEST(StreamOrigins, KnowAllVersionsSinceTheFirstStartOfTheFleet)
{
    StreamOrigins::Options options;
    options.isFirstStart = true;
    StreamOrigins origins(options);
    origins.onListed(llm, {v1}, start);
    EXPECT_EQ(origins.onlyVersion(llm, start), v1);
    origins.onListed(llm, {v1, v2}, start + 1s);
    EXPECT_EQ(origins.onlyVersion(llm, start + 1s), std::nullopt);
}

TEST(StreamOrigins, ForgetTheOldest)
{
    StreamOrigins::Options options;
    options.maxStreams = 3;
    StreamOrigins origins(options);
    origins.onListed(llm, {v1, v2}, start);
    for (const char *id : {"a", "b", "c", "d"}) {
        origins.onBegun(stream(id, v1, start), start);
    }
    EXPECT_EQ(origins.find(RequestId("a"), llm), std::nullopt);
    EXPECT_EQ(origins.begun(start).size(), 3U);
    origins.onBegun(stream("e", v1, start + 31s), start + 31s);
    EXPECT_EQ(origins.find(RequestId("d"), llm), std::nullopt);
    EXPECT_EQ(origins.begun(start + 31s).size(), 1U);
}

// Against an oracle that keeps every event: a version that is found is the one that began the stream.
RC_GTEST_PROP(StreamOrigins, NeverFindAnotherVersion, ())
{
    StreamOrigins origins({});
    std::map<std::string, std::pair<SoftwareVersion, Instant>> truth;
    std::set<SoftwareVersion> listed = {v1};
    Instant now = start;
    const auto steps = *rc::gen::inRange(1, 60);
    for (int step = 0; step < steps; ++step) {
        now += std::chrono::milliseconds(*rc::gen::inRange(0, 12000));
        const bool isOutdated = *rc::gen::inRange(0, 5) == 0;
        if (*rc::gen::inRange(0, 4) == 0) {
            const std::vector<std::set<SoftwareVersion>> lists = {{v1}, {v2}, {v1, v2}, {}};
            listed = *rc::gen::elementOf(lists);
        }
        if (isOutdated) { // versions that come and go unseen
            origins.onOutdated(now);
        } else {
            origins.onListed(llm, listed, now);
        }
        const SoftwareVersion version = listed.empty() ? v1 : *rc::gen::elementOf(listed);
        if (!listed.empty()) {
            const std::string id = std::to_string(step);
            truth[id] = {version, now};
            if (*rc::gen::arbitrary<bool>()) { // the others began at hosts that have not reported them
                origins.onBegun({RequestId(id), llm, version, now}, now);
            }
        }
        for (const auto &[id, origin] : truth) {
            auto found = origins.find(RequestId(id), llm);
            found = found ? found : origins.onlyVersion(llm, now);
            const bool lives = now - origin.second <= StreamOrigins::Options{}.keep;
            RC_ASSERT(!lives || !found || *found == origin.first);
        }
    }
}

// Guards against a version that is inferred from a list that is older than the stream, by a host that stood still or
// was cut off when another version joined.
TEST(StreamOrigins, InferNoVersionFromAListThatIsOlderThanTheRequest)
{
    StreamOrigins origins({});
    origins.onListed(llm, {v1}, start);
    const RequestId unreported("u");
    const Instant now = start + 60s;
    const Instant asked = start + 1h; // of another clock
    const auto lookUp = [&](Instant when) {
        return origins.lookUp(unreported, llm, when, now);
    };
    EXPECT_TRUE(std::holds_alternative<version_lookup::Unconfirmed>(lookUp(asked)));
    origins.onConfirmed(asked - 1us);
    EXPECT_TRUE(std::holds_alternative<version_lookup::Unconfirmed>(lookUp(asked)));
    origins.onConfirmed(asked);
    ASSERT_TRUE(std::holds_alternative<version_lookup::Found>(lookUp(asked)));
    EXPECT_EQ(std::get<version_lookup::Found>(lookUp(asked)).version, v1);
    EXPECT_FALSE(std::get<version_lookup::Found>(lookUp(asked)).isReported);
    origins.onConfirmed(asked - 1us); // the answer to an earlier check
    EXPECT_TRUE(std::holds_alternative<version_lookup::Found>(lookUp(asked)));
    origins.onListed(llm, {v1, v2}, now); // what the check found
    EXPECT_TRUE(std::holds_alternative<version_lookup::Unknown>(lookUp(asked)));
}

TEST(StreamOrigins, NeedNoConfirmationOfWhatWasReported)
{
    StreamOrigins origins({});
    origins.onListed(llm, {v1, v2}, start);
    origins.onBegun(stream("a", v2, start), start);
    const VersionLookup found = origins.lookUp(RequestId("a"), llm, start, start);
    ASSERT_TRUE(std::holds_alternative<version_lookup::Found>(found));
    EXPECT_EQ(std::get<version_lookup::Found>(found).version, v2);
    EXPECT_TRUE(std::get<version_lookup::Found>(found).isReported);
}

// Guards against a stream that goes on at the only version of a service that did not begin it.
TEST(StreamOrigins, InferNoVersionOfAStreamOfAnotherService)
{
    StreamOrigins origins({});
    const ServiceId other("other");
    origins.onListed(other, {v1}, start);
    origins.onBegun(stream("a", v1, start + 50s), start + 50s);
    origins.onConfirmed(start + 1h);
    const VersionLookup found = origins.lookUp(RequestId("a"), other, start + 1h, start + 60s);
    EXPECT_TRUE(std::holds_alternative<version_lookup::Unknown>(found));
}

// Guards against a deputy that does not know the streams that began before there was a further version.
TEST(StreamOrigins, ReportAllStreamsOnceThereAreSeveralVersions)
{
    StreamOrigins origins({});
    origins.onListed(llm, {v1}, start);
    origins.onBegun(stream("a", v1, start), start);
    EXPECT_TRUE(origins.takeNew(start).empty());
    origins.onListed(llm, {v1, v2}, start + 1s);
    EXPECT_EQ(origins.takeNew(start + 1s).size(), 1U);
    origins.onBegun(stream("b", v2, start + 2s), start + 2s);
    origins.onBegun(stream("b", v2, start + 2s), start + 2s); // reported by two hosts
    origins.onKnown(stream("c", v2, start + 2s), start + 2s);
    const std::vector<BegunStream> taken = origins.takeNew(start + 2s);
    ASSERT_EQ(taken.size(), 1U);
    EXPECT_EQ(taken.front().request, RequestId("b"));
    EXPECT_TRUE(origins.takeNew(start + 3s).empty());
}

// Guards against a caller that takes up the stream of another workspace.
TEST(StreamOrigins, KnowsWhoseStreamItIs)
{
    StreamOrigins origins(StreamOrigins::Options{});
    const Instant now{1h};
    origins.onBegun({RequestId("r"), ServiceId("llm"), SoftwareVersion("v1"), now, WorkspaceId("w")}, now);
    EXPECT_FALSE(origins.isOfAnother(RequestId("r"), WorkspaceId("w")));
    EXPECT_TRUE(origins.isOfAnother(RequestId("r"), WorkspaceId("v")));
    EXPECT_TRUE(origins.isOfAnother(RequestId("r"), WorkspaceId()));
    EXPECT_FALSE(origins.isOfAnother(RequestId("unknown"), WorkspaceId("v")));
}

} // namespace
} // namespace fescuesill
