#pragma once

// Tells endpoints that ended from answers that broke off for other reasons. Used only by the forwarding thread.
//
//     CrashGuard guard(io, client);
//     guard.onBrokenOff(endpoint, call);

#include "decide/requesttrait.h"
#include "promise/endpointregistry.h"
#include "wire/httpclient.h"
#include "wire/httpserver.h"

namespace fescuesill
{

class CrashGuard
{
public:
    CrashGuard(asio::io_context &io, HttpClient &client);

    // The answer of the endpoint broke off: finds out in the background whether the endpoint has ended, and logs it.
    void onBrokenOff(const EndpointRecord &endpoint, const HttpCall &call);

private:
    void confirm(const EndpointRecord &endpoint, const RequestTraits &traits, const asio::yield_context &yield);

    asio::io_context &io;
    HttpClient &client;
};

} // namespace fescuesill
