#pragma once

// A plain application server: reads that may be repeated and bookings that may not.
//
//     Application application(options, faults);
//     application.handle(exchange);     // any route that is not one of the calls for tests
//
// It runs every POST it receives, also one with a key that it has seen: a second run is what a test looks for in
// GET /history. It answers a GET with the path it was asked for, and GET /results/KEY with what the last run with this
// key answered.

#include "testing/fakeengine/engineoptions.h"
#include "testing/fakeengine/faultscript.h"
#include "testing/standin/httpserver.h"

#include <unordered_map>
#include <vector>

namespace fescuesill::standin
{

class Application
{
public:
    Application(const EngineOptions &options, FaultScript &faults);

    void handle(Exchange &exchange);
    nlohmann::json history() const;

private:
    struct Execution {
        std::string key;
        std::string workspace;
        std::string method;
        std::string path;
        std::string bodyHash;
        std::int64_t timeMicroseconds = 0; // of the steady clock, when it took effect
    };

    std::string run(const HttpRequest &request);
    void answerResult(Exchange &exchange) const;

    const EngineOptions &options;
    FaultScript &faults;
    std::vector<Execution> executions;
    std::unordered_map<std::string, std::string> results;
};

} // namespace fescuesill::standin
