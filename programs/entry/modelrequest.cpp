// The shape is the one that common client libraries speak. What is not understood is ignored, as they expect; what is
// understood and wrong is refused with the name of the field.
//
// Tokens are estimated at four bytes each. The estimate serves placing only: it need not be exact, it must never be far
// too low for plain text, and a tokenizer per model in every entry would cost more than the error does.

#include "programs/entry/modelrequest.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace fescuesill
{
namespace
{

using Json = nlohmann::json;

constexpr std::size_t bytesPerToken = 4;
constexpr std::int64_t mostOutput = 1 << 20;
// Names and values of one body. A parsed value takes several times the memory of its text.
constexpr std::size_t mostValues = 1 << 18;

tl::unexpected<Refusal> refused(const std::string &text)
{
    return tl::make_unexpected(Refusal{RefusalCode::BadRequest, RunState::NotRun, text, std::nullopt});
}

// A string, or the text parts of a list.
std::optional<std::string> contentText(const Json &content)
{
    if (content.is_string()) {
        return content.get<std::string>();
    }
    if (!content.is_array()) {
        return std::nullopt;
    }
    std::string text;
    for (const Json &part : content) {
        const bool isText = part.is_object() && part.value("type", Json()) == "text" && part.contains("text")
            && part["text"].is_string();
        if (!isText) {
            return std::nullopt;
        }
        text += part["text"].get<std::string>();
    }
    return text;
}

std::optional<std::string> chatPrompt(const Json &messages)
{
    if (!messages.is_array() || messages.empty()) {
        return std::nullopt;
    }
    std::string prompt;
    for (const Json &message : messages) {
        const bool isWhole = message.is_object() && message.contains("role") && message["role"].is_string()
            && message.contains("content");
        const auto text = isWhole ? contentText(message["content"]) : std::nullopt;
        if (!text) {
            return std::nullopt;
        }
        prompt += message["role"].get<std::string>() + ": " + *text + "\n";
    }
    return prompt;
}

std::optional<std::int64_t> outputLimit(const Json &json)
{
    for (const char *name : {"max_completion_tokens", "max_tokens"}) {
        if (!json.contains(name) || json[name].is_null()) {
            continue;
        }
        const bool isGood = json[name].is_number_integer() && json[name].get<std::int64_t>() > 0
            && json[name].get<std::int64_t>() <= mostOutput;
        return isGood ? std::optional(json[name].get<std::int64_t>()) : std::nullopt;
    }
    return 0;
}

} // namespace

tl::expected<ModelRequest, Refusal> ModelRequest::parse(Kind kind, std::string_view body)
{
    std::size_t values = 0;
    const auto isKept = [&values](int /*depth*/, Json::parse_event_t /*event*/, Json & /*value*/) {
        return ++values <= mostValues;
    };
    const Json json = Json::parse(body, isKept, false);
    if (values > mostValues) {
        return refused("body has too many values");
    }
    if (!json.is_object()) {
        return refused("body is not a JSON object");
    }
    ModelRequest request;
    request.kind = kind;
    const Json model = json.value("model", Json(""));
    const Json stream = json.value("stream", Json(false));
    if (!model.is_string() || !stream.is_boolean()) {
        return refused("model must be a string and stream true or false");
    }
    request.model = model.get<std::string>();
    request.isStream = stream.get<bool>();
    const auto limit = outputLimit(json);
    if (!limit) {
        return refused("max_tokens must be a whole number from 1 to 1048576");
    }
    request.maxTokens = Tokens(*limit);
    const bool isChat = kind == Kind::Chat;
    const auto prompt = isChat ? chatPrompt(json.value("messages", Json())) : contentText(json.value("prompt", Json()));
    if (!prompt || prompt->empty()) {
        return refused(isChat ? "messages must be a list of role and content" : "prompt must be a string");
    }
    request.prompt = *prompt;
    request.promptTokens = Tokens(static_cast<std::int64_t>((prompt->size() + bytesPerToken - 1) / bytesPerToken));
    return request;
}

std::vector<std::uint64_t> prefixHashes(std::string_view prompt)
{
    constexpr std::size_t block = static_cast<std::size_t>(prefixBlock.value()) * bytesPerToken;
    const std::size_t count = std::min(prompt.size() / block, mostPrefixHashes);
    std::vector<std::uint64_t> hashes;
    hashes.reserve(count);
    std::uint64_t chained = 0;
    for (std::size_t i = 0; i < count; ++i) {
        chained = XXH3_64bits_withSeed(prompt.data() + i * block, block, chained);
        hashes.push_back(chained);
    }
    return hashes;
}

} // namespace fescuesill
