#include "declare/difference.h"

#include <gtest/gtest.h>

namespace fescuesill
{
namespace
{

const std::string base = R"([data_centre athens]
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
[engine d2]
address = 10.0.0.4:80
data_centre = athens
model = m7
role = decode
[endpoint b1]
address = 10.0.0.3:80
data_centre = athens
[class urgent]
rank = 0
first_token = 300ms
[service bookings]
class = urgent
kind = plain
route = /bookings
methods = POST
endpoints = b1
[service verdicts]
class = urgent
kind = model
model = m7
depends_on = bookings
)";

struct Case {
    std::string from;
    std::string to;
    std::string expected;
    bool drop;
};

TEST(Difference, SaysWhatChangesForWhom)
{
    const std::vector<Case> cases{
        {"region = attica", "; a comment\nregion = attica", "no change\n", false},
        {"role = prefill", "role = prefill\nleaving = no", "no change\n", false},
        {"first_token = 300ms", "first_token = 1s",
         "~ [class urgent] first_token: 300ms -> 1s\n    for: bookings, verdicts\n", false},
        {"10.0.0.3", "10.0.0.9", "~ [endpoint b1] address: 10.0.0.3:80 -> 10.0.0.9:80\n    for: bookings\n", false},
        {"[class urgent]", "[retries]\nattempts = 3\n[class urgent]",
         "~ [retries] attempts: 2 -> 3\n    for: bookings, verdicts\n", false},
        {"depends_on = bookings\n", "", "~ [service verdicts] depends_on: bookings -> (none)\n    for: verdicts\n",
         false},
        {"methods = POST", "methods = POST\ndeadline = 3s",
         "~ [service bookings] deadline: 2s -> 3s\n    for: bookings, verdicts\n", false},
        {"role = decode\n[endpoint", "role = decode\nleaving = yes\n[endpoint",
         "~ [engine d2] leaving: no -> yes\n    for: verdicts\ncapacity that takes new work:\n"
         "    m7 decode: 2 -> 1 engines, 40 -> 20 pieces (less: needs --yes)\n",
         true},
        {"role = prefill", "role = prefill\npieces = 25",
         "~ [engine p1] pieces: 20 -> 25\n    for: verdicts\ncapacity that takes new work:\n"
         "    m7 prefill: 1 -> 1 engines, 20 -> 25 pieces\n",
         false},
        {"[endpoint b1]", "[endpoint b2]\naddress = 10.0.0.7:80\ndata_centre = athens\n[endpoint b1]",
         "+ [endpoint b2]\n    for: no service\n", false},
    };
    const Declaration before = Declaration::parse(base, "s.ini").value();
    for (const Case &c : cases) {
        std::string text = base;
        text.replace(text.find(c.from), c.from.size(), c.to);
        const Difference difference = Difference::between(before, Declaration::parse(text, "s.ini").value());
        EXPECT_EQ(difference.text(), c.expected);
        EXPECT_EQ(difference.lowersCapacity(), c.drop) << c.to;
        EXPECT_EQ(difference.isEmpty(), c.expected == "no change\n") << c.to;
    }
}

TEST(Difference, RemovedServiceIsADropAndSectionOrderIsNone)
{
    const Declaration before = Declaration::parse(base, "s.ini").value();
    const auto cut = base.find("[service bookings]");
    const auto rest = base.find("[service verdicts]");
    const std::string bookings = base.substr(cut, rest - cut);
    const std::string other = base.substr(0, cut) + base.substr(rest);
    EXPECT_TRUE(Difference::between(before, Declaration::parse(other + bookings, "s.ini").value()).isEmpty());
    std::string without = other;
    without.erase(without.find("depends_on"));
    const Difference difference = Difference::between(before, Declaration::parse(without, "s.ini").value());
    EXPECT_NE(difference.text().find("- [service bookings] (needs --yes)\n    for: bookings, verdicts\n"),
              std::string::npos);
    EXPECT_TRUE(difference.lowersCapacity());
}

} // namespace
} // namespace fescuesill
