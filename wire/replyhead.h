#pragma once

// The head of a reply, after the checks that every reply passes before anything in it is used or forwarded.
//
//     auto head = ReplyHead::create({11, 200, BodyFraming::Length, {{"Content-Length", "5"}}});
//     if (!head) {
//         return head.error(); // no reply
//     }
//     if (head->isInterim()) { ... the reply itself is still to come ... }
//     use(head->status(), head->headers());

#include "wire/httpclient.h"
#include "wire/wireerror.h"

#include <tl/expected.hpp>

namespace fescuesill
{

// A head as it was parsed.
struct ParsedHead {
    unsigned version = 11; // ten times the major version plus the minor one, as in Beast
    int status = 0;
    BodyFraming framing = BodyFraming::Length; // by which the parser finds the end of the body
    std::vector<HttpHeader> headers = {};
};

class ReplyHead
{
public:
    // Fails if HTTP allows no such head in a reply to a request of HttpClient.
    static tl::expected<ReplyHead, WireError> create(ParsedHead parsed);

    int status() const;
    BodyFraming framing() const;
    const std::vector<HttpHeader> &headers() const;
    // Whether another reply to the same request follows.
    bool isInterim() const;
    // A reply with this head, and without a body so far.
    HttpResponse response() const;

private:
    explicit ReplyHead(ParsedHead checked);

    ParsedHead head;
};

} // namespace fescuesill
