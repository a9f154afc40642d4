#pragma once

// Keeps calls of this entry from plain endpoints that have asked it for rest or said that they leave. Thread-safe.
//
//     LocalRests rests;
//     if (!rests.isResting(address, now)) { ... send ... }
//     rests.onAnswer(address, response);         // each answer of a plain endpoint

#include "decide/endpointrests.h"
#include "wire/httpclient.h"

#include <atomic>
#include <mutex>
#include <string>

namespace fescuesill
{

class LocalRests
{
public:
    bool isResting(const std::string &address, Instant now);
    void onAnswer(const std::string &address, const HttpResponse &response);

private:
    std::atomic<bool> empty{true}; // as on any day on which no endpoint is in need
    std::mutex mutex;
    EndpointRests rests{EndpointRests::Options{}};
};

} // namespace fescuesill
