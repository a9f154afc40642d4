#include "report/requestlife.h"
#include "report/servicereport.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

namespace fescuesill
{
namespace
{

const std::string declared = R"([data_centre athens]
region = attica
[engine p1]
address = 10.0.0.1:80
data_centre = athens
model = m7
role = prefill
[engine d1]
address = 10.0.0.2:80
data_centre = athens
model = m7
role = decode
[endpoint b1]
address = 10.0.0.3:80
data_centre = athens
[class live]
rank = 0
first_token = 300ms
[service verdicts]
class = live
kind = model
model = m7
[service bookings]
class = live
kind = plain
route = /bookings
methods = POST
endpoints = b1
)";

Counters countersOf(int completed, int within, int refused, int cancelled, int answered, int unknown)
{
    const auto line = [](const std::string &series, int value) {
        return series + " " + std::to_string(value) + "\n";
    };
    return readCounters(
        "# HELP x y\n"
            + line("fescuesill_requests_total{class=\"live\",outcome=\"completed\",service=\"verdicts\"}", completed)
            + line("fescuesill_requests_total{class=\"live\",outcome=\"refused\",service=\"verdicts\"}", refused)
            + line("fescuesill_requests_total{class=\"live\",outcome=\"cancelled\",service=\"verdicts\"}", cancelled)
            + line("fescuesill_within_target_total{class=\"live\",service=\"verdicts\"}", within)
            + line("fescuesill_refused_total{code=\"overloaded\"}", refused)
            + line("fescuesill_calls_total{service=\"bookings\",outcome=\"answered\"}", answered)
            + line("fescuesill_calls_total{service=\"bookings\",outcome=\"outcome_unknown\"}", unknown)
            + line("fescuesill_calls_total{service=\"bookings\",outcome=\"bad_idempotency_key\"}", 5)
            + line("other", 1),
        reportedCounters());
}

TEST(MetricsText, ReadsEscapedLabelsAndPassesOverBrokenLines)
{
    const Counters counters = readCounters("a{x=\"1,\\\"}\\n\"} 2\na{x=\"open\na{x= 3\na 1e2\na nothing\nb 4\n", {"a"});
    ASSERT_EQ(counters.size(), 2U);
    EXPECT_EQ(counters.at(Series{"a", {}}), 100);
    EXPECT_EQ(counters.at(Series{"a", {{"x", "1,\"}\n"}}}), 2);
}

RC_GTEST_PROP(MetricsText, AnyBytesAreReadWithoutHarm, (const std::string &text))
{
    readCounters("a{" + text + "\na{x=\"" + text, {"a"});
}

// A process restarts and its counters begin at zero; another can't be reached for a while and comes back.
TEST(FleetTally, SurvivesRestartsAndAbsence)
{
    const Series series{"a", {}};
    FleetTally tally;
    tally.advance({{"e1", {{series, 100}}}, {"e2", {{series, 1000}}}}, 0);
    EXPECT_EQ(tally.sample().totals.at(series), 0);
    tally.advance({{"e1", {{series, 110}}}}, 60);
    tally.advance({{"e1", {{series, 5}}}, {"e2", {{series, 1020}}}, {"e3", {{series, 7}}}}, 120);
    EXPECT_EQ(tally.sample().totals.at(series), 10 + 5 + 20);
    const auto again = FleetTally::fromJson(tally.toJson());
    ASSERT_TRUE(again);
    FleetTally copy = *again;
    copy.advance({{"e3", {{series, 9}}}}, 180);
    EXPECT_EQ(copy.sample().totals.at(series), 37);
    EXPECT_FALSE(FleetTally::fromJson("{\"time\":1,\"totals\":[[1]]}"));
    EXPECT_FALSE(FleetTally::fromJson("not JSON"));
}

ServiceReport sampleReport()
{
    std::vector<Sample> samples{{10000, countersOf(100, 100, 0, 0, 50, 0)},
                                {10000 + 3300, countersOf(1000, 1000, 0, 9, 100, 0)},
                                {10000 + 3600, countersOf(1060, 1050, 40, 9, 150, 1)}};
    Findings findings;
    findings.unreachable = {"athens-b entry (10.0.0.9:1): <refused>"};
    findings.doubtfulKeys = {"bookings/ws/k1"};
    return buildReport(Declaration::parse(declared, "s.ini").value(), samples, findings);
}

TEST(ServiceReport, CountsWindowsOutOfSamples)
{
    const ServiceReport report = sampleReport();
    ASSERT_EQ(report.services.size(), 2U);
    const ServiceBurn &verdicts = report.services[0];
    EXPECT_EQ(verdicts.windows[0].total, 100); // 60 completed, 40 refused; the cancelled ones are no verdict
    EXPECT_EQ(verdicts.windows[0].good, 50);
    EXPECT_EQ(verdicts.windows[1].total, 1000);
    EXPECT_EQ(verdicts.windows[2].coveredSeconds, 3600);
    EXPECT_EQ(verdicts.alert, AlertLevel::None); // the hour lost 5 of 100: a burn of 5
    EXPECT_EQ(verdicts.burnOverTime.size(), 36U);
    const ServiceBurn &bookings = report.services[1];
    EXPECT_EQ(bookings.windows[0].total, 51); // bad keys are the caller's fault
    EXPECT_EQ(bookings.windows[0].good, 50);
    EXPECT_EQ(report.refusals.size(), 1U);
    EXPECT_EQ(report.refusals[0].count, 40);
}

TEST(ServiceReport, EveryFormNamesWhatIsMissing)
{
    const ServiceReport report = sampleReport();
    for (const std::string &form : {reportText(report), reportJson(report), reportHtml(report)}) {
        EXPECT_NE(form.find("athens-b entry"), std::string::npos);
        EXPECT_NE(form.find("bookings/ws/k1"), std::string::npos);
        EXPECT_NE(form.find("overloaded"), std::string::npos);
    }
    EXPECT_EQ(reportHtml(report).find("<refused>"), std::string::npos);
    reportHtml(buildReport(Declaration(), {}, {}));
}

TEST(RequestLife, GathersTheLinesOfOneRequestInOrder)
{
    RequestLife life("r-1");
    life.read("time=2026-01-02T03:04:06.000Z level=info process=entry event=ended request=r-1 outcome=\"a b\"\n"
              "time=2026-01-02T03:04:05.500Z level=info process=entry event=placed request=r-10 decode=d2\n");
    life.read(
        "time=2026-01-02T03:04:05.000Z level=info process=scheduler event=placed request=r-1 decode=d1\nnonsense r-1");
    EXPECT_EQ(life.text(),
              "2026-01-02T03:04:05.000Z  scheduler  placed             request=r-1 decode=d1\n"
              "2026-01-02T03:04:06.000Z  entry      ended              request=r-1 outcome=a b\n");
    EXPECT_TRUE(RequestLife("r-2").isEmpty());
}

} // namespace
} // namespace fescuesill
