#pragma once

// An answer in the shape that common client libraries read: server-sent events, or one JSON body.
//
//     AnswerWriter writer(request, id, created);
//     writer.fragment(piece, "TOKEN.0", fragment.json);      // appends one event
//     writer.end(piece, "TOKEN.7", end, FinishReason::Stop); // appends the usage, length, digest and [DONE]
//
// The last JSON, of a stream or a body, carries "fescuesill":{"length","digest"}: without it an answer is not whole.

#include "programs/entry/modelrequest.h"
#include "wire/engineclient.h"

namespace fescuesill
{

enum class FinishReason {
    Stop,
    Length, // max_tokens was reached
};

class AnswerWriter
{
public:
    AnswerWriter(ModelRequest::Kind kind, const std::string &model, const RequestId &id, std::int64_t createdSeconds);

    void start(std::string &out) const;
    void fragment(std::string &out, std::string_view eventId, std::string_view textJson) const;
    void end(std::string &out, std::string_view eventId, const DecodeEnd &end, FinishReason reason) const;
    // The stream goes on elsewhere: the caller sends this token as Last-Event-ID to any entry.
    void moved(std::string &out, std::string_view eventId) const;
    // A stream that failed after it began.
    void failed(std::string &out, const std::string &refusal) const;

    std::string whole(const std::string &text, const DecodeEnd &end, FinishReason reason) const;

private:
    std::string envelope(const char *object) const;

    ModelRequest::Kind kind;
    std::string head; // the id, time and model of every JSON
    std::string fragmentHead;
    std::string fragmentTail;
};

} // namespace fescuesill
