#pragma once

// The limits of the clients that call plain endpoints.
//
//     HttpClient endpoints(io, endpointHttp());

#include "wire/httpclient.h"

namespace fescuesill
{

inline HttpClient::Options endpointHttp()
{
    HttpClient::Options options;
    options.bodyLimit = Bytes(4 << 20); // as that of a caller's request
    options.bufferedLimit = Bytes(8 << 20); // for each thread
    return options;
}

} // namespace fescuesill
