// The parser of the library accepts more than HTTP allows: any three digits as a status. So each reader of replies
// parses a head first and makes a ReplyHead of it, and takes the status, the headers and the framing from there. What
// the parser checks already is checked here as well: the rules hold whatever parses the bytes.
//
// Requests of HttpClient ask for no upgrade. The bytes after a reply that switches to another protocol can't be read.
//
// Unknown statuses between 100 and 599, unknown headers, empty values and bytes over 127 in values are valid.

#include "wire/replyhead.h"

#include <algorithm>
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

} // namespace

tl::expected<ReplyHead, WireError> ReplyHead::create(ParsedHead parsed)
{
    for (const auto check : {faultInStatus, faultInHeaders}) {
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
