#pragma once

// What the load tool sends, to whom, and for how long.

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace fescuesill::standin
{

struct LoadOptions {
    std::vector<std::string> entries; // CALLERS or CALLERS/ADMIN, each IP:PORT
    std::vector<std::string> applications; // whose GET /history is checked at the end
    std::vector<std::string> engines; // whose GET /v1/streams must be empty at the end
    std::string model = "model";
    std::string modelService; // X-Service of model requests; empty: not sent
    std::string bookingRoute = "/bookings";
    std::string lookupRoute = "/lookups";
    std::string historyFile; // empty: none

    // Shares of the calls; what is left are lookups.
    double completions = 0.3; // long logs, streamed
    double chats = 0.2; // long reports, half of them streamed
    double bookings = 0.25;

    double rate = 20; // calls a second
    std::chrono::milliseconds duration{10000};
    std::size_t concurrency = 200; // calls at once; a call over it is not made and counted as "skipped"
    std::int64_t promptBytes = 16000;
    std::int64_t preambleBytes = 8000; // shared by all of a workspace
    std::int64_t outputTokens = 40;
    int workspaces = 8;
    int attempts = 8; // of one call
    double patientShare = 0.7; // of callers that honour Retry-After; the rest come back at once
    std::chrono::milliseconds stall{5000}; // a stream without an event for this long counts as lost
    std::chrono::milliseconds settle{15000}; // at most this long for engines to free their memory after the end
    std::uint32_t seed = 1;
};

} // namespace fescuesill::standin
