// A decode line comes for every token, so its usual form, {"offset":N,"text":"…"} without a backslash, is read by
// hand; everything else goes to the JSON library. The text's JSON form is kept as it is for the caller.

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

// Empty where the line is not of the usual form.
std::optional<DecodeFragment> readUsual(std::string_view line)
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
            return std::nullopt; // escapes, faults and UTF-8 are for the library to check
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
    if (auto usual = readUsual(line)) {
        return std::move(*usual);
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
