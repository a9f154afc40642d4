#pragma once

// One stand-in engine: the calls of docs/ARCHITECTURE.md, "Towards engines", and those for tests.
//
//     Engine engine(io, options);
//     HttpServer server(io, "127.0.0.1:0", [&](Exchange &exchange) { engine.handle(exchange); });
//
// For tests: POST /faults (faultscript.h), GET /history (application mode), GET /orders (those that were taken).

#include "testing/fakeengine/application.h"
#include "testing/fakeengine/decoder.h"
#include "testing/fakeengine/prefiller.h"

#include <nlohmann/json.hpp>

namespace fescuesill::standin
{

class Engine
{
public:
    Engine(asio::io_context &io, const EngineOptions &options, bool isApplication);

    void handle(Exchange &exchange);

private:
    bool handleControl(Exchange &exchange);
    void handleModelCall(Exchange &exchange);
    void handleStream(Exchange &exchange);
    void order(Exchange &exchange);
    std::string loadReport();

    EngineOptions options;
    bool isApplication;
    FaultScript faults;
    Prefiller prefiller;
    Decoder decoder;
    Application application;
    std::string instance;
    std::uint64_t latestConnection = 0;
    std::int64_t fencing = 0;
    nlohmann::json orders = nlohmann::json::array();
    nlohmann::json report;
    SteadyTime reportTime;
};

} // namespace fescuesill::standin
