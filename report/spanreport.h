#pragma once

// What happened to one host, engine or endpoint over a span of time, out of the logs of all hosts.
//
//     SpanReport report({SpanReport::Of::Partner, "i-7f3a91c2", begin, end});
//     report.read(logOfOneHost);
//     print(report.text());      // each change as it stands, requests as counts for each second

#include "fescuesill/units.h"
#include "report/logline.h"

#include <map>

namespace fescuesill
{

class SpanReport
{
public:
    enum class Of {
        Host,
        Partner, // an engine or an endpoint
    };
    struct Query {
        Of kind = Of::Host;
        std::string name;
        // As a log line writes times; the whole log where empty.
        std::optional<Duration> from;
        std::optional<Duration> to;
    };

    explicit SpanReport(Query given)
        : query(std::move(given))
    {
    }

    void read(std::string_view log);
    bool isEmpty() const;
    std::string text() const;

private:
    // Of one second: how often each outcome stands in it.
    using Outcomes = std::map<std::string, std::size_t>;

    bool isAsked(const LogLine &line) const;

    Query query;
    std::vector<LogLine> changes;
    std::map<std::string, Outcomes> requests; // by second, as a log line writes it
    std::size_t leftOut = 0;
};

} // namespace fescuesill
