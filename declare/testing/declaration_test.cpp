#include "declare/declaration.h"

#include "declare/declarationtext.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

namespace fescuesill
{
namespace
{

// One line for each key, so that a case can replace a line.
const std::string sample = R"([data_centre athens]
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

[class urgent]
rank = 0
first_token = 300ms

[service verdicts]
class = urgent
kind = model
model = m7

[service bookings]
class = urgent
kind = plain
route = /bookings
methods = POST
endpoints = b1
)";

std::string faultsOf(const std::string &text)
{
    const auto declaration = Declaration::parse(text, "s.ini");
    std::string lines;
    if (!declaration) {
        for (const Fault &fault : declaration.error().faults) {
            lines += fault.line() + "\n";
        }
    }
    return lines;
}

struct Case {
    std::string from;
    std::string to;
    std::string expected; // a part of the one fault
};

TEST(Declaration, EachFaultIsFound)
{
    const std::vector<Case> cases{
        {"region = attica", "", "s.ini:1: [data_centre athens] region: ''; allowed: letters"},
        {"region = attica", "region = attica\nsize = 3", "size: '3'; allowed: the keys region"},
        {"[data_centre athens]", "[data_center athens]", "[data_center athens] 'data_center athens'; allowed: [data_c"},
        {"[engine d1]", "[engine p1]",
         "s.ini:10: [engine p1] '[engine p1]'; allowed: each section once; first on line"},
        {"address = 10.0.0.2:80", "address = 10.0.0.1:80",
         "s.ini:11: [engine d1] address: '10.0.0.1:80'; allowed: an address of its own; [engine p1] has this one"},
        {"address = 10.0.0.3:80", "address = 10.0.0.1:80", "[engine p1] has this one"},
        {"address = 10.0.0.1:80\n", "", "s.ini:4: [engine p1] address: ''; allowed: IP:PORT"},
        {"address = 10.0.0.1:80", "address = 10.0.0.1:0", "address: '10.0.0.1:0'; allowed: IP:PORT"},
        {"data_centre = athens\nmodel = m7\nrole = prefill", "data_centre = pireas\nmodel = m7\nrole = prefill",
         "data_centre: 'pireas'; allowed: athens"},
        {"role = decode", "role = write", "role: 'write'; allowed: prefill, decode"},
        {"role = decode", "role = prefill", "model: 'm7'; allowed: a model with a prefill and a decode [engine]"},
        {"role = decode", "role = decode\npieces = 0", "pieces: '0'; allowed: a whole number from 1 to 65536"},
        {"first_token = 300ms", "first_token = 300", "first_token: '300'; allowed: a whole number with us"},
        {"first_token = 300ms", "", "[class urgent] first_token: ''; allowed: a whole number with us"},
        {"rank = 0", "rank = 10", "rank: '10'; allowed: a whole number from 0 to 9"},
        {"class = urgent\nkind = model", "class = calm\nkind = model", "class: 'calm'; allowed: urgent"},
        {"kind = plain", "kind = plain\nmodel = m7", "model: 'm7'; allowed: the keys"},
        {"methods = POST", "methods = PUSH", "methods: 'PUSH'; allowed: DELETE, GET, HEAD"},
        {"methods = POST", "methods = POST, GET", "methods: 'GET'; allowed: POST, PUT, PATCH, DELETE where repeatable"},
        {"endpoints = b1", "endpoints = b2", "endpoints: 'b2'; allowed: b1"},
        {"endpoints = b1\n", "", "[service bookings] endpoints: ''; allowed: the names of one or more [endpoint]"},
        {"route = /bookings", "route = /v1/bookings", "route: '/v1/bookings'; allowed: a path prefix"},
        {"kind = model", "kind = model\ndepends_on = nobody", "depends_on: 'nobody'; allowed: verdicts, bookings"},
        {"kind = model", "kind = model\ndepends_on = verdicts", "'verdicts, verdicts'; allowed: dependencies without"},
        {"address = 10.0.0.3:80", "address = 10.0.0.3:80\nleaving = yes", ""},
        {"[class urgent]", "[retries]\nattempts = 6\n[class urgent]",
         "attempts: '6'; allowed: a whole number from 1 to"},
    };
    EXPECT_EQ(faultsOf(sample), "");
    for (const Case &c : cases) {
        std::string text = sample;
        text.replace(text.find(c.from), c.from.size(), c.to);
        const std::string faults = faultsOf(text);
        EXPECT_NE(faults.find(c.expected), std::string::npos) << c.to << "\n" << faults;
        EXPECT_EQ(faults.empty(), c.expected.empty()) << c.to << "\n" << faults;
    }
}

TEST(Declaration, ManyFaultsComeAtOnceInTheOrderOfTheFile)
{
    const std::string faults = faultsOf("[class urgent]\nrank = x\n[service a]\nclass = b\nkind = c\n");
    EXPECT_EQ(std::count(faults.begin(), faults.end(), '\n'), 5) << faults;
    EXPECT_LT(faults.find("s.ini:2"), faults.find("s.ini:5"));
}

TEST(Declaration, DependencyCycleAndLeavingDependencyAreNamed)
{
    std::string cycle = sample;
    cycle.replace(cycle.find("kind = model"), 4, "depends_on = bookings\nkind");
    std::string leaving = cycle;
    cycle.replace(cycle.find("kind = plain"), 4, "depends_on = verdicts\nkind");
    EXPECT_NE(faultsOf(cycle).find("'verdicts, bookings, verdicts'"), std::string::npos) << faultsOf(cycle);
    leaving.replace(leaving.find("[class"), 0, "leaving = yes\n\n");
    EXPECT_NE(faultsOf(leaving).find("a service that still takes work"), std::string::npos) << faultsOf(leaving);
}

TEST(Declaration, RoutesMatchWholeSegmentsAndTheLongestWins)
{
    std::string text = sample
        + "[service one]\nclass = urgent\nkind = plain\nroute = /bookings/one\nmethods = POST\n"
          "endpoints = b1\n";
    const Declaration declaration = Declaration::parse(text, "s.ini").value();
    EXPECT_EQ(declaration.findRoute("/bookings")->id, ServiceId("bookings"));
    EXPECT_EQ(declaration.findRoute("/bookings?x=1")->id, ServiceId("bookings"));
    EXPECT_EQ(declaration.findRoute("/bookings/one/2")->id, ServiceId("one"));
    EXPECT_EQ(declaration.findRoute("/bookings2"), nullptr);
    EXPECT_EQ(declaration.findRoute("/"), nullptr);
}

RC_GTEST_PROP(Declaration, AnyBytesAreParsedWithoutHarm, (const std::string &text, std::uint16_t at))
{
    std::string mixed = sample;
    mixed.insert(at % (sample.size() + 1), text);
    faultsOf(mixed);
}

rc::Gen<Engine> genEngine(int number)
{
    using namespace rc;
    return gen::apply(
        [number](bool decode, int pieces, bool fencing, bool leaving) {
            Engine engine{EngineId("e" + std::to_string(number)),
                          "10.0.0.1:" + std::to_string(number + 1),
                          DataCentreId("athens"),
                          ModelId("m7"),
                          decode ? EngineRole::Decode : EngineRole::Prefill,
                          Pieces(pieces),
                          fencing,
                          leaving};
            return engine;
        },
        gen::arbitrary<bool>(), gen::inRange(1, 100), gen::arbitrary<bool>(), gen::arbitrary<bool>());
}

RC_GTEST_PROP(Declaration, CanonicalTextParsesToTheSameDeclaration, ())
{
    Declaration declaration = Declaration::parse(sample, "s.ini").value();
    const int engines = *rc::gen::inRange(0, 30);
    for (int i = 0; i < engines; ++i) {
        declaration.engines.push_back(*genEngine(i));
    }
    declaration.classes[0].patience = Duration(*rc::gen::inRange<std::int64_t>(0, 3'600'000'000));
    declaration.classes[0].wasteWeight = *rc::gen::inRange(0, 1000) / 16.0;
    for (int i = 0; i < *rc::gen::inRange(0, 40); ++i) {
        declaration.services[0].workspaces.push_back("workshop-" + std::to_string(i));
    }
    const std::string text = canonicalText(declaration);
    const auto parsed = Declaration::parse(text, "s.ini");
    RC_ASSERT(parsed.has_value());
    RC_ASSERT(canonicalText(*parsed) == text);
    RC_ASSERT(parsed->classes[0].patience == declaration.classes[0].patience);
    RC_ASSERT(parsed->services[0].workspaces == declaration.services[0].workspaces);
}

} // namespace
} // namespace fescuesill
