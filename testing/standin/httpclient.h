#pragma once

// One HTTP call on a connection of its own, inside a coroutine.
//
//     const ClientReply reply = fetch(io, "127.0.0.1:9000", {"GET", "/table/row?key=a"}, yield);
//     if (reply.status == 0) { ... no whole reply: reply.wasSent tells whether it may have been carried out ... }

#include "testing/standin/httpserver.h"

namespace fescuesill::standin
{

struct ClientCall {
    std::string method;
    std::string target;
    std::string body = {};
    std::map<std::string, std::string> headers = {};
    std::chrono::milliseconds limit{10000}; // for the whole call
};

struct ClientReply {
    int status = 0; // 0: none came, or it was cut short
    std::map<std::string, std::string> headers; // names in lower case
    std::string body;
    bool wasSent = false; // at least a part of the request may have reached the other end
};

ClientReply fetch(asio::io_context &io, const std::string &address, const ClientCall &call,
                  const asio::yield_context &yield);

// The bytes of a call as they go on the wire.
std::string wireText(const std::string &address, const ClientCall &call);

} // namespace fescuesill::standin
