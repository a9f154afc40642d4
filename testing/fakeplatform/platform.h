#pragma once

// The stand-in platform: table, objects, host list, rates and faults, as routes of one HTTP server.
//
//     Platform platform(Platform::Options{});
//     HttpServer server(io, "127.0.0.1:0", [&](Exchange &exchange) { platform.handle(exchange); });
//
// Besides the calls of docs/ARCHITECTURE.md, for tests:
//
//     POST /faults {"prefix":"call/","outage":true}     rows and objects whose name begins so; "" is everything
//     POST /faults {"prefix":"","slow_ms":400}          each such call is carried out at once and answered late
//     POST /faults {"prefix":"","delay_ms":400}         each such call is carried out late
//     POST /faults {"prefix":"","lose_next":2}          the next two writes take effect and get no reply
//     POST /faults {"prefix":"","lose_rate":0.1}        the same for a share of the writes, by the seed
//     POST /faults {"prefix":"","garbage_next":1}       the next reply does not parse
//     POST /faults {"prefix":"","freeze":true}          accepted and never answered
//     POST /faults {}                                   no fault any more
//     POST /hosts  {"hosts":[...],"lag_ms":2000}        the list that GET /hosts gives after the lag
//     GET  /log?after=N                                 every write, in order
//     GET  /counts                                      how many calls of each kind came, and how many were over the
//     rate

#include "testing/fakeplatform/table.h"
#include "testing/standin/httpserver.h"
#include "testing/standin/ratelimit.h"

#include <deque>
#include <random>

namespace fescuesill::standin
{

struct PlatformFaults {
    std::string prefix;
    bool outage = false;
    bool freeze = false;
    std::chrono::milliseconds slow{0};
    std::chrono::milliseconds delay{0};
    std::int64_t loseNext = 0;
    std::int64_t garbageNext = 0;
    double loseRate = 0;
};

class Platform
{
public:
    struct Options {
        double writesPerSecond = 400; // commits and object puts; "several hundred"
        double readsPerSecond = 2000;
        std::chrono::milliseconds hostLag{2000}; // between POST /hosts and what GET /hosts shows
        std::uint32_t seed = 1;
    };

    explicit Platform(const Options &options);

    void handle(Exchange &exchange);

private:
    struct Answer {
        int status = 200;
        std::string body;
        std::string contentType = "application/json";
    };
    struct HostList {
        std::chrono::steady_clock::time_point visibleAt;
        std::string body;
    };
    struct Call {
        bool isWrite = false;
        std::vector<std::string> names; // rows or objects it touches
    };

    bool handleControl(Exchange &exchange);
    void setFaults(const nlohmann::json &body);
    void setHosts(const nlohmann::json &body);
    std::string logBody(std::int64_t after) const;
    std::string countsBody() const;
    PlatformFaults faultsOf(const Call &call) const;
    bool loses(const Call &call);
    bool garbles(const Call &call);
    bool takeRate(const Call &call);
    Answer carryOut(const HttpRequest &request);
    Answer commit(const nlohmann::json &body);
    Answer row(const std::string &key) const;
    Answer rows(const HttpRequest &request) const;
    Answer object(const HttpRequest &request);
    Answer hosts();
    static Call callOf(const HttpRequest &request);

    Options options;
    Table table;
    std::map<std::string, std::string> objects;
    std::deque<HostList> hostLists;
    std::vector<PlatformFaults> faults;
    RateLimit writes;
    RateLimit reads;
    std::mt19937 random;
    std::int64_t writeCalls = 0;
    std::int64_t readCalls = 0;
    std::int64_t overRate = 0;
};

} // namespace fescuesill::standin
