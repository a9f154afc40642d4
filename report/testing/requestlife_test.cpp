#include "report/logtime.h"
#include "report/requestlife.h"
#include "report/spanreport.h"

#include <gtest/gtest.h>

namespace fescuesill
{
namespace
{

// Two hosts: "b" leads and places, "a" took the request.
const char *const logOfA =
    "time=2026-01-02T03:04:01.000Z level=info process=gateway host=a event=leader_lost address=10.0.0.2:1\n"
    "time=2026-01-02T03:04:05.100Z level=info process=gateway host=a event=generation_ended request=r1 "
    "outcome=broken_off engine=e1 last_fault=\"10.0.0.9:80: reply cut short\"\n"
    "time=2026-01-02T03:04:06.000Z level=info process=gateway host=a event=endpoint_removed endpoint=e1\n"
    "time=2026-01-02T03:04:06.000Z level=info process=gateway host=a event=endpoint_removed endpoint=e2\n"
    "time=2026-01-02T03:04:30.000Z level=info process=gateway host=a event=store_lost table=op\n";
const char *const logOfB =
    "time=2026-01-02T03:04:04.000Z level=info process=gateway host=b event=place_tried request=r1 engine=e1 waiting=0\n"
    "time=2026-01-02T03:04:04.100Z level=info process=gateway host=b event=place_tried request=r2 engine=e1 "
    "waiting=0\n";

// An engine dies and a stream breaks off. The life of the request shows who placed it there, and that the engine's
// entry lapsed right after; what concerns other engines or another minute is not in the way.
TEST(RequestLife, ShowsTheCauseBesideTheRequest)
{
    RequestLife life("r1");
    life.read(logOfA);
    life.read(logOfB);
    const std::string text = life.text();
    EXPECT_LT(text.find("place_tried"), text.find("generation_ended"));
    EXPECT_NE(text.find("last_fault=10.0.0.9:80: reply cut short"), std::string::npos);
    EXPECT_NE(text.find("endpoint=e1"), std::string::npos);
    EXPECT_NE(text.find("leader_lost"), std::string::npos);
    EXPECT_EQ(text.find("endpoint=e2"), std::string::npos);
    EXPECT_EQ(text.find("store_lost"), std::string::npos);
    EXPECT_EQ(text.find("request=r2"), std::string::npos);
    EXPECT_EQ(text.find("missing"), std::string::npos);
}

TEST(RequestLife, SaysWhatIsMissing)
{
    RequestLife withoutLeader("r1");
    withoutLeader.read(logOfA);
    EXPECT_NE(withoutLeader.text().find("missing: no line tells who placed it"), std::string::npos);

    RequestLife withoutEnd("r1");
    withoutEnd.read(logOfB);
    withoutEnd.read("time=2026-01-02T03:04:07.000Z level=info process=gateway host=a event=started\n");
    EXPECT_NE(withoutEnd.text().find("missing: no line tells how it ended"), std::string::npos);
    EXPECT_NE(withoutEnd.text().find("missing: host a started again at 2026-01-02T03:04:07.000Z"), std::string::npos);

    RequestLife unknown("r9");
    unknown.read(logOfA);
    EXPECT_TRUE(unknown.isEmpty());
    EXPECT_EQ(unknown.text(), "");
}

TEST(LogLine, IsReadAsItWasWritten)
{
    const auto line = LogLine::parse("  12.5 host-1 time=2026-01-02T03:04:05.678Z level=info process=gateway host=a "
                                     "event=refused request=r1 reason=\"a \\\"b\\\" c=d\" last=\"\"");
    ASSERT_TRUE(line);
    EXPECT_EQ(line->host, "a");
    EXPECT_EQ(line->event, "refused");
    EXPECT_EQ(line->value("reason"), "a \"b\" c=d");
    EXPECT_EQ(line->value("last"), "");
    for (const char *text : {"", "hello", "level=info", "runtime=3 event=x", "time=1 no more"}) {
        EXPECT_FALSE(LogLine::parse(text)) << text;
    }
}

TEST(LogTime, ReadsWhatTheLogWrites)
{
    const auto at = parseLogTime("2026-01-02T03:04:05.678Z");
    ASSERT_TRUE(at);
    EXPECT_EQ(*parseLogTime("2026-01-02T03:04:06.678Z") - *at, 1s);
    EXPECT_EQ(*at - *parseLogTime("2026-01-02T03:04:05"), 678ms);
    for (const char *text : {"", "03:04:05", "2026-01-02", "2026-01-02T03:04:05.6x", "2026-01-02T03:04:05+01"}) {
        EXPECT_FALSE(parseLogTime(text)) << text;
    }
}

TEST(SpanReport, CountsRequestsBetweenTheChanges)
{
    SpanReport host(
        {SpanReport::Of::Host, "a", parseLogTime("2026-01-02T03:04:00"), parseLogTime("2026-01-02T03:04:10")});
    host.read(logOfA);
    host.read(logOfB);
    const std::string text = host.text();
    EXPECT_LT(text.find("leader_lost"), text.find("generation_ended:broken_off=1"));
    EXPECT_LT(text.find("generation_ended:broken_off=1"), text.find("endpoint=e2"));
    EXPECT_EQ(text.find("store_lost"), std::string::npos); // after the span

    SpanReport engine({SpanReport::Of::Partner, "e1", {}, {}});
    engine.read(logOfA);
    engine.read(logOfB);
    EXPECT_NE(engine.text().find("place_tried=2"), std::string::npos);
    EXPECT_NE(engine.text().find("endpoint_removed"), std::string::npos);
    EXPECT_EQ(engine.text().find("leader_lost"), std::string::npos);

    SpanReport nobody({SpanReport::Of::Host, "c", {}, {}});
    nobody.read(logOfA);
    EXPECT_TRUE(nobody.isEmpty());
}

} // namespace
} // namespace fescuesill
