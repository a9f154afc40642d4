// Sends generated requests with valid and invalid framing, complete, truncated and mutated, to the server that callers
// reach. The generator is the oracle: it knows which calls may be handled and which bytes are their bodies.

#include "wire/httpserver.h"
#include "wire/testing/servedthread.h"

#include <gtest/gtest.h>
#include <mutex>
#include <rapidcheck/gtest.h>

namespace fescuesill
{
namespace
{

constexpr int maxRequests = 3; // on one connection
constexpr const char *smuggled = "GET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n";

struct HandledCall {
    std::string target;
    std::string body;
};

// Records the calls that the handler receives on the server's thread.
class HandledCalls
{
public:
    void add(const HttpCall &call)
    {
        const std::lock_guard lock(this->mutex);
        this->calls.push_back({call.target, call.body});
    }
    std::vector<HandledCall> take()
    {
        const std::lock_guard lock(this->mutex);
        return std::move(this->calls);
    }

private:
    std::mutex mutex;
    std::vector<HandledCall> calls;
};

struct Framing {
    std::string headers;
    std::string sent; // the bytes after the header
    std::string body; // the body that the handler must receive
    bool isUnambiguous = true;
};

std::string chunked(const std::string &body)
{
    std::string sent;
    for (std::size_t position = 0; position < body.size(); position += 7) {
        const std::string piece = body.substr(position, 7);
        sent += std::string(1, static_cast<char>('0' + piece.size())) + "\r\n" + piece + "\r\n";
    }
    return sent + "0\r\n\r\n";
}

// Headers that a proxy and the server behind it could interpret differently, or that are invalid.
const std::vector<std::string> &ambiguousHeaders()
{
    static const std::vector<std::string> headers = {
        "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
        "Content-Length: 5\r\nContent-Length: 6\r\n",
        "Content-Length: 5, 6\r\n",
        "Content-Length: +5\r\n",
        "Content-Length: 0x5\r\n",
        "Content-Length: -5\r\n",
        "Content-Length: 99999999999999999999999\r\n",
        "Content-Length : 5\r\n",
        "Transfer-Encoding: xchunked\r\n",
        "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked, gzip\r\n",
        "Transfer-Encoding : chunked\r\n",
    };
    return headers;
}

Framing framingOf(int kind, const std::string &body)
{
    switch (kind) {
    case 0:
        return {"", "", "", true};
    case 1:
        return {"Content-Length: " + std::to_string(body.size()) + "\r\n", body, body, true};
    case 2:
        return {"Transfer-Encoding: chunked\r\n", chunked(body), body, true};
    default:
        return {ambiguousHeaders()[static_cast<std::size_t>(kind - 3)], body, "", false};
    }
}

HttpServer::Options fuzzLimits()
{
    HttpServer::Options options;
    options.headerLimit = Bytes(2048);
    options.bodyLimit = Bytes(4096);
    return options;
}

HttpServer::Handler recordInto(HandledCalls &handled)
{
    return [&handled](HttpCall &call, HttpReply &reply, const asio::yield_context &yield) {
        handled.add(call);
        reply.send(200, "ok", yield);
    };
}

// Request smuggling: a caller hides a second request in the body of the first and gives the length in a way that one
// server reads it as a body and another as a request. The hidden request must never be handled, because it would run on
// behalf of the next caller on that connection. Requests with unambiguous framing must be handled as sent.
RC_GTEST_PROP(RequestFuzz, HandlesWhatWasSentAndNothingHidden, ())
{
    static HandledCalls handled;
    static const ServedThread served(fuzzLimits(), recordInto(handled));
    handled.take();
    std::string bytes;
    std::vector<HandledCall> expected;
    bool isUnambiguous = true;
    const int count = *rc::gen::inRange(1, maxRequests + 1);
    for (int number = 0; number < count; ++number) {
        const bool hidesRequest = *rc::gen::arbitrary<bool>();
        const auto noise = *rc::gen::container<std::string>(rc::gen::inRange('a', 'z'));
        const int lastKind = 3 + static_cast<int>(ambiguousHeaders().size());
        const int kind =
            *rc::gen::weightedOneOf<int>({{3, rc::gen::inRange(0, 3)}, {1, rc::gen::inRange(3, lastKind)}});
        const Framing framing = framingOf(kind, hidesRequest ? smuggled + noise : noise);
        const std::string target = "/call" + std::to_string(number);
        bytes += "POST " + target + " HTTP/1.1\r\nHost: a\r\n" + framing.headers + "\r\n" + framing.sent;
        isUnambiguous = isUnambiguous && framing.isUnambiguous;
        if (isUnambiguous) {
            expected.push_back({target, framing.body});
        }
    }
    RawConnection raw(served.port());
    raw.send(bytes);
    raw.finishSending();
    raw.readToEnd();
    const auto calls = handled.take();
    RC_ASSERT(calls.size() == expected.size());
    for (std::size_t i = 0; i < calls.size(); ++i) {
        RC_ASSERT(calls[i].target == expected[i].target);
        RC_ASSERT(calls[i].body == expected[i].body);
    }
}

// Sends a request with some bytes changed and its end cut off. However the server interprets it, it must close the
// connection and serve the next caller.
RC_GTEST_PROP(RequestFuzz, KeepsServingAfterAnyBytes, ())
{
    static HandledCalls handled;
    static const ServedThread served(fuzzLimits(), recordInto(handled));
    std::string bytes = "POST /call HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nX-Request-Id: 1\r\n\r\n"
        + chunked("some body of the call");
    const int changes = *rc::gen::inRange(0, 6);
    for (int change = 0; change < changes; ++change) {
        const auto position = static_cast<std::size_t>(*rc::gen::inRange(0, static_cast<int>(bytes.size())));
        bytes[position] = static_cast<char>(*rc::gen::inRange(0, 256));
    }
    bytes.resize(static_cast<std::size_t>(*rc::gen::inRange(1, static_cast<int>(bytes.size()) + 1)));
    RawConnection raw(served.port());
    raw.send(bytes);
    raw.finishSending();
    raw.readToEnd();
    handled.take();
    RawConnection next(served.port());
    next.send("GET /next HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    RC_ASSERT(next.readToEnd().rfind("HTTP/1.1 200", 0) == 0U);
    const auto calls = handled.take();
    RC_ASSERT(!calls.empty() && calls.back().target == "/next");
}

} // namespace
} // namespace fescuesill
