// What a configuration of so many routes costs a gateway: to decode it whole, and to follow a change of three routes.

#include "platform/configrow.h"
#include "testing/slopes/measures.h"
#include "wire/routingchangecodec.h"

#include <fmt/format.h>

namespace fescuesill
{
namespace
{

constexpr int rounds = 10;

std::string routeText(int number, int timeoutMs)
{
    return fmt::format(
        R"({{"name":"r-{0:x}","host":"shop{1}.example","prefix":"/p{0:x}/","kind":"safe","timeout_ms":{2},)"
        R"("target_latency_ms":150,"priority":2,"service":"booking","max_attempts":2}})",
        number * 7919, number % 300, timeoutMs);
}

// Three routes of the later version differ.
std::string rowText(int routes, bool isLater)
{
    std::string text = fmt::format(R"({{"version":{},"routes":[)", isLater ? 2 : 1);
    for (int number = 0; number < routes; ++number) {
        text += number > 0 ? "," : "";
        text += routeText(number, isLater && number < 3 ? 900 : 1000);
    }
    return text + R"(],"services":[{"name":"booking"}]})";
}

template<typename Step>
double millisecondsOf(Step step)
{
    const double start = cpuSeconds();
    for (int round = 0; round < rounds; ++round) {
        step();
    }
    return 1000 * (cpuSeconds() - start) / rounds;
}

void measure(int routes)
{
    const std::string row = rowText(routes, false);
    const double before = residentBytes();
    const auto earlier = decodeConfigRow(row);
    const double held = residentBytes() - before;
    const auto later = decodeConfigRow(rowText(routes, true));
    const std::string bytes = encodeRoutingChange(changeBetween(*earlier, *later));
    const double decode = millisecondsOf([&] { (void)decodeConfigRow(row); });
    const double encode = millisecondsOf([&] { (void)encodeRoutingChange(changeBetween(*earlier, *later)); });
    const double apply = millisecondsOf([&] { (void)applyChange(*earlier, *decodeRoutingChange(bytes)); });
    fmt::print(
        "{{\"core\":\"configuration\",\"routes\":{},\"row_kb\":{:.0f},\"decode_ms\":{:.1f},\"resident_mb\":{:.1f},"
        "\"change_bytes\":{},\"encode_change_ms\":{:.1f},\"apply_change_ms\":{:.1f}}}\n",
        routes, static_cast<double>(row.size()) / 1024, decode, held / (1 << 20), bytes.size(), encode, apply);
}

} // namespace

void measureConfiguration(const std::vector<int> &sizes)
{
    for (const int routes : sizes) {
        measure(routes);
    }
}

} // namespace fescuesill
