#include "decide/routetable.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace fescuesill
{
namespace
{

Route route(const std::string &name, const std::string &host, const std::string &prefix)
{
    Route made;
    made.name = name;
    made.host = host;
    made.prefix = prefix;
    made.services = {{ServiceId("s"), 1}};
    return made;
}

TEST(RouteTable, FindsTheLongestPrefixOfItsHost)
{
    const RouteTable table =
        RouteTable::create({route("root", "a.example", "/"), route("shop", "a.example", "/shop/"),
                            route("cart", "a.example", "/shop/cart/"), route("other", "b.example", "/shop/")})
            .value();
    const struct {
        const char *host;
        const char *path;
        const char *expected; // null: no route
    } cases[] = {
        {"a.example", "/shop/cart/7", "cart"},
        {"a.example", "/shop/cart/", "cart"},
        {"a.example", "/shop/cart", "shop"},
        {"a.example", "/shopping", "root"},
        {"a.example:8080", "/shop/x", "shop"},
        {"a.example", "/", "root"},
        {"b.example", "/shop/x", "other"},
        {"b.example", "/", nullptr},
        {"c.example", "/shop/", nullptr},
        {"a.example", "shop", nullptr},
        {"a.example", "", nullptr},
    };
    for (const auto &each : cases) {
        const Route *found = table.find(each.host, each.path);
        EXPECT_STREQ(found == nullptr ? nullptr : found->name.c_str(), each.expected) << each.host << each.path;
    }
}

TEST(RouteTable, RejectsInvalidRoutes)
{
    Route noService = route("r", "a", "/");
    noService.services.clear();
    Route negative = route("r", "a", "/");
    negative.services = {{ServiceId("s"), -1}};
    EXPECT_FALSE(RouteTable::create({route("r", "a", "x/")}));
    EXPECT_FALSE(RouteTable::create({route("r", "a", "/x")}));
    EXPECT_FALSE(RouteTable::create({route("r", "a", "")}));
    EXPECT_FALSE(RouteTable::create({noService}));
    EXPECT_FALSE(RouteTable::create({negative}));
    EXPECT_FALSE(RouteTable::create({route("r", "a", "/"), route("q", "a", "/")}));
}

// The oracle checks every route.
RC_GTEST_PROP(RouteTable, AgreesWithASearchOfAllRoutes, ())
{
    const std::vector<std::string> parts = {"", "a/", "b/", "a/b/", "a/a/"};
    std::vector<std::string> prefixes;
    for (const std::string &part : parts) {
        if (*rc::gen::inRange(0, 2) == 1) {
            prefixes.push_back(part);
        }
    }
    const std::vector<std::string> ends = {"", "a", "b", "c"};
    const std::string path = "/" + parts[static_cast<std::size_t>(*rc::gen::inRange(0, 5))]
        + ends[static_cast<std::size_t>(*rc::gen::inRange(0, 4))];
    std::vector<Route> routes;
    routes.reserve(prefixes.size());
    const Route *expected = nullptr;
    for (const std::string &prefix : prefixes) {
        routes.push_back(route(prefix, "h", "/" + prefix));
    }
    for (const Route &each : routes) {
        const bool matches = path.compare(0, each.prefix.size(), each.prefix) == 0;
        if (matches && (expected == nullptr || each.prefix.size() > expected->prefix.size())) {
            expected = &each;
        }
    }
    const RouteTable table = RouteTable::create(routes).value();
    const Route *found = table.find("h", path);
    RC_ASSERT((found == nullptr) == (expected == nullptr));
    if (found != nullptr) { // RC_ASSERT evaluates both sides of an or
        RC_ASSERT(found->prefix == expected->prefix);
    }
}

TEST(RouteTable, SplitsByWeightAndTheSameWayForTheSameRequest)
{
    Route split = route("r", "a", "/");
    split.services = {{ServiceId("big"), 90}, {ServiceId("small"), 10}, {ServiceId("none"), 0}};
    int small = 0;
    for (int number = 0; number < 10000; ++number) {
        const RequestId id("request-" + std::to_string(number));
        const ServiceId &service = chooseService(split, id);
        EXPECT_EQ(service, chooseService(split, id));
        EXPECT_NE(service, ServiceId("none"));
        small += service == ServiceId("small") ? 1 : 0;
    }
    EXPECT_NEAR(small, 1000, 100);
}

} // namespace
} // namespace fescuesill
