// A token's event is put together from two fixed pieces around the text, which stays in the JSON form that the engine
// sent: taking a JSON library through every token would cost more than all the rest of its way.

#include "programs/entry/answerwriter.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace fescuesill
{
namespace
{

std::string quoted(const std::string &text)
{
    return nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

const char *reasonName(FinishReason reason)
{
    return reason == FinishReason::Stop ? "stop" : "length";
}

std::string usageJson(const DecodeEnd &end)
{
    return fmt::format(R"("usage":{{"prompt_tokens":{},"completion_tokens":{},"total_tokens":{}}},)"
                       R"("fescuesill":{{"length":{},"digest":{}}})",
                       end.prompt.value(), end.output.value(), (end.prompt + end.output).value(), end.length.value(),
                       quoted(end.digest));
}

} // namespace

AnswerWriter::AnswerWriter(ModelRequest::Kind requestKind, const std::string &model, const RequestId &id,
                           std::int64_t createdSeconds)
    : kind(requestKind)
    , head(fmt::format(R"("id":{},"created":{},"model":{})", quoted(id.value()), createdSeconds, quoted(model)))
{
    const bool isChat = this->kind == ModelRequest::Kind::Chat;
    this->fragmentHead = this->envelope(isChat ? "chat.completion.chunk" : "text_completion")
        + (isChat ? R"("choices":[{"index":0,"delta":{"content":)" : R"("choices":[{"index":0,"text":)");
    this->fragmentTail = isChat ? R"(},"finish_reason":null}]})" : R"(,"finish_reason":null}]})";
}

std::string AnswerWriter::envelope(const char *object) const
{
    return fmt::format(R"({{{},"object":"{}",)", this->head, object);
}

void AnswerWriter::start(std::string &out) const
{
    if (this->kind == ModelRequest::Kind::Chat) {
        out += "data: " + this->envelope("chat.completion.chunk")
            + R"("choices":[{"index":0,"delta":{"role":"assistant","content":""},"finish_reason":null}]})" + "\n\n";
    }
}

void AnswerWriter::fragment(std::string &out, std::string_view eventId, std::string_view textJson) const
{
    out += "id: ";
    out += eventId;
    out += "\ndata: ";
    out += this->fragmentHead;
    out += textJson;
    out += this->fragmentTail;
    out += "\n\n";
}

void AnswerWriter::end(std::string &out, std::string_view eventId, const DecodeEnd &end, FinishReason reason) const
{
    const bool isChat = this->kind == ModelRequest::Kind::Chat;
    fmt::format_to(std::back_inserter(out),
                   "id: {}\ndata: {}\"choices\":[{{\"index\":0,{},\"finish_reason\":\"{}\"}}],{}}}\n\ndata: [DONE]\n\n",
                   eventId, this->envelope(isChat ? "chat.completion.chunk" : "text_completion"),
                   isChat ? "\"delta\":{}" : "\"text\":\"\"", reasonName(reason), usageJson(end));
}

void AnswerWriter::moved(std::string &out, std::string_view eventId) const
{
    fmt::format_to(std::back_inserter(out), "id: {}\nevent: moved\ndata: {{\"resume\":{}}}\n\n", eventId,
                   quoted(std::string(eventId)));
}

void AnswerWriter::failed(std::string &out, const std::string &refusal) const
{
    out += "event: error\ndata: " + refusal + "\n\n";
}

std::string AnswerWriter::whole(const std::string &text, const DecodeEnd &end, FinishReason reason) const
{
    const bool isChat = this->kind == ModelRequest::Kind::Chat;
    const std::string content =
        isChat ? R"("message":{"role":"assistant","content":)" + quoted(text) + "}" : "\"text\":" + quoted(text);
    return fmt::format(R"({}"choices":[{{"index":0,{},"finish_reason":"{}"}}],{}}})",
                       this->envelope(isChat ? "chat.completion" : "text_completion"), content, reasonName(reason),
                       usageJson(end));
}

} // namespace fescuesill
