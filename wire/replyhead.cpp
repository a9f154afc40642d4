// The parser of the library accepts more than HTTP allows: any three digits as a status, and any transfer coding, whose
// bytes it then returns as they arrived. So each reader of replies parses a head first and makes a ReplyHead of it, and
// takes the status, the headers and the framing from there. What the parser checks already is checked here as well: the
// rules hold whatever parses the bytes.
//
// Requests of HttpClient ask for no upgrade and accept no transfer coding but chunks. A reply with either of them is
// followed by bytes that can't be read, and its head does not tell where they end.
//
// Unknown statuses between 100 and 599, unknown headers, empty values, bytes over 127 in values, lengths that are
// repeated with the same value, and lengths of replies that have no body are valid.

#include "wire/replyhead.h"

#include <algorithm>
#include <boost/algorithm/string/predicate.hpp>
#include <charconv>
#include <fmt/format.h>
#include <optional>

namespace fescuesill
{
namespace
{

constexpr int lowestStatus = 100;
constexpr int lowestFinalStatus = 200;
constexpr int highestStatus = 599;
constexpr int statusSwitchingProtocols = 101;
constexpr unsigned http10 = 10;
constexpr unsigned http11 = 11;

bool isTokenCharacter(char c)
{
    const bool isAlphanumeric = (c >= '0' && c <= '9') || (c >= 'A' && c <= 'Z') || (c >= 'a' && c <= 'z');
    return isAlphanumeric || std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
}

bool isValueCharacter(char c)
{
    const auto byte = static_cast<unsigned char>(c);
    return (byte >= 0x20 && byte != 0x7f) || c == '\t';
}

std::string_view trimmed(std::string_view text)
{
    const std::size_t first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

std::optional<std::uint64_t> decimal(std::string_view text)
{
    std::uint64_t value = 0;
    const auto read = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool isWhole = read.ec == std::errc() && read.ptr == text.data() + text.size();
    return isWhole ? std::optional(value) : std::nullopt;
}

// The elements of a list that may be spread over several headers. Empty ones are left out.
std::vector<std::string_view> listIn(const std::vector<HttpHeader> &headers, std::string_view name)
{
    std::vector<std::string_view> elements;
    for (const HttpHeader &header : headers) {
        if (!boost::algorithm::iequals(header.name, name)) {
            continue;
        }
        std::string_view rest = header.value;
        while (!rest.empty()) {
            const std::size_t end = std::min(rest.find(','), rest.size());
            if (const auto element = trimmed(rest.substr(0, end)); !element.empty()) {
                elements.push_back(element);
            }
            rest.remove_prefix(std::min(end + 1, rest.size()));
        }
    }
    return elements;
}

bool contains(const std::vector<HttpHeader> &headers, std::string_view name)
{
    return std::any_of(headers.begin(), headers.end(),
                       [name](const HttpHeader &header) { return boost::algorithm::iequals(header.name, name); });
}

std::optional<std::string> faultInStatus(const ParsedHead &head)
{
    if (head.version != http10 && head.version != http11) {
        return fmt::format("version {} of HTTP", head.version);
    }
    if (head.status < lowestStatus || head.status > highestStatus) {
        return fmt::format("{:03} is no status", head.status);
    }
    if (head.status == statusSwitchingProtocols) {
        return "switches to another protocol";
    }
    return std::nullopt;
}

// Does not quote what it found, since it may be anything.
std::optional<std::string> faultInHeaders(const ParsedHead &head)
{
    for (const HttpHeader &header : head.headers) {
        if (header.name.empty() || !std::all_of(header.name.begin(), header.name.end(), isTokenCharacter)) {
            return "the name of a header is no token";
        }
        if (!std::all_of(header.value.begin(), header.value.end(), isValueCharacter)) {
            return "control character in the value of a header";
        }
    }
    return std::nullopt;
}

std::optional<std::string> faultInFraming(const ParsedHead &head)
{
    const std::vector<std::string_view> lengths = listIn(head.headers, "Content-Length");
    const bool hasLength = contains(head.headers, "Content-Length");
    const auto isLength = [&lengths](std::string_view text) {
        const auto length = decimal(text);
        return length && length == decimal(lengths.front());
    };
    if (hasLength && (lengths.empty() || !std::all_of(lengths.begin(), lengths.end(), isLength))) {
        return "contradictory or invalid lengths";
    }
    if (!contains(head.headers, "Transfer-Encoding")) {
        return head.framing == BodyFraming::Chunks ? std::optional<std::string>("chunks that are not stated")
                                                   : std::nullopt;
    }
    const std::vector<std::string_view> codings = listIn(head.headers, "Transfer-Encoding");
    if (codings.size() != 1 || !boost::algorithm::iequals(codings.front(), "chunked")
        || head.framing != BodyFraming::Chunks) {
        return "unknown transfer coding";
    }
    if (head.version == http10 || hasLength) {
        return "chunks in HTTP/1.0, or with a length";
    }
    return std::nullopt;
}

} // namespace

tl::expected<ReplyHead, WireError> ReplyHead::create(ParsedHead parsed)
{
    for (const auto check : {faultInStatus, faultInHeaders, faultInFraming}) {
        if (const auto fault = check(parsed)) {
            return tl::make_unexpected(WireError("not a reply: " + *fault));
        }
    }
    return ReplyHead(std::move(parsed));
}

ReplyHead::ReplyHead(ParsedHead checked)
    : head(std::move(checked))
{
}

int ReplyHead::status() const
{
    return this->head.status;
}

BodyFraming ReplyHead::framing() const
{
    return this->head.framing;
}

const std::vector<HttpHeader> &ReplyHead::headers() const
{
    return this->head.headers;
}

bool ReplyHead::isInterim() const
{
    return this->head.status < lowestFinalStatus;
}

HttpResponse ReplyHead::response() const
{
    HttpResponse response;
    response.status = this->head.status;
    response.headers = this->head.headers;
    response.framing = this->head.framing;
    return response;
}

} // namespace fescuesill
