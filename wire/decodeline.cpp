// Parses one line of a decode stream. An engine sends a line for every token, so the common form
// {"offset":N,"text":"…"}, whose text is ASCII without escapes, is parsed by hand as a fast path. Every other line goes
// to the JSON library. The JSON form of the text is kept, because it is relayed to the caller as it is.

#include "wire/engineclient.h"

#include <charconv>
#include <nlohmann/json.hpp>

namespace fescuesill
{
namespace
{

using Json = nlohmann::json;

constexpr std::string_view lineStart = "{\"offset\":";
constexpr std::string_view textStart = ",\"text\":\"";
constexpr std::string_view lineEnd = "\"}";

// Returns nothing if the line does not have the common form.
std::optional<DecodeFragment> parseCommonForm(std::string_view line)
{
    if (line.substr(0, lineStart.size()) != lineStart) {
        return std::nullopt;
    }
    line.remove_prefix(lineStart.size());
    std::int64_t offset = 0;
    const auto [stop, error] = std::from_chars(line.data(), line.data() + line.size(), offset);
    if (error != std::errc()) {
        return std::nullopt;
    }
    line.remove_prefix(static_cast<std::size_t>(stop - line.data()));
    const bool hasFrame = line.size() >= textStart.size() + lineEnd.size()
        && line.substr(0, textStart.size()) == textStart && line.substr(line.size() - lineEnd.size()) == lineEnd;
    if (!hasFrame) {
        return std::nullopt;
    }
    const std::string_view text = line.substr(textStart.size(), line.size() - textStart.size() - lineEnd.size());
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (c == '"' || c == '\\' || byte < 0x20 || byte >= 0x80) {
            return std::nullopt; // the JSON library handles escapes, invalid characters and UTF-8
        }
    }
    DecodeFragment fragment;
    fragment.offset = Offset(offset);
    fragment.json.reserve(text.size() + 2);
    fragment.json += '"';
    fragment.json += text;
    fragment.json += '"';
    fragment.text = text;
    return fragment;
}

DecodeEnd readEnd(const Json &json)
{
    DecodeEnd end;
    end.length = Offset(json.at("length").get<std::int64_t>());
    end.digest = json.at("digest").get<std::string>();
    end.prompt = Tokens(json.at("prompt_tokens").get<std::int64_t>());
    end.output = Tokens(json.at("output_tokens").get<std::int64_t>());
    return end;
}

} // namespace

tl::expected<DecodeLine, DecodeLineError> parseDecodeLine(std::string_view line)
{
    while (!line.empty() && (line.back() == '\n' || line.back() == '\r')) {
        line.remove_suffix(1);
    }
    if (auto fragment = parseCommonForm(line)) {
        return std::move(*fragment);
    }
    try {
        const Json json = Json::parse(line);
        if (json.contains("end")) {
            return readEnd(json);
        }
        DecodeFragment fragment;
        fragment.offset = Offset(json.at("offset").get<std::int64_t>());
        fragment.text = json.at("text").get<std::string>();
        fragment.json = json.at("text").dump();
        return fragment;
    } catch (const Json::exception &error) {
        return tl::make_unexpected(DecodeLineError{error.what()});
    }
}

} // namespace fescuesill
