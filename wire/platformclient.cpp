// Each call is one HTTP exchange and is not retried here. Only the caller knows whether a retry is safe, and a commit
// whose reply was lost must be read back rather than sent again.
//
// Commits and object writes never use a pooled connection. HttpClient retries a call whose pooled connection turns out
// to be stale, and a commit that is sent twice could find the row that the first attempt wrote and report a conflict
// with itself.

#include "wire/platformclient.h"

#include "fescuesill/overloaded.h"
#include "wire/url.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace fescuesill
{
namespace
{

using Json = nlohmann::json;

constexpr int statusOk = 200;
constexpr int statusNotFound = 404;
constexpr int statusConflict = 409;
constexpr int statusRateLimited = 429;

std::string describe(const PlatformFault &fault)
{
    return std::visit(
        Overloaded{[](const Unavailable &unavailable) { return "platform unavailable: " + unavailable.text; },
                   [](const RateLimited &) { return std::string("platform rate limit"); },
                   [](const ReplyLost &lost) { return "platform reply lost: " + lost.text; },
                   [](const Conflict &conflict) { return "conflict on row " + conflict.current.key; },
                   [](const BadReply &bad) {
                       return "platform reply does not parse: " + bad.text;
                   }},
        fault);
}

// Parses a reply and turns every JSON error, also a missing field or an unexpected type, into BadReply.
template<typename Parse>
auto parseReply(const HttpResponse &response, Parse parse)
{
    try {
        return parse(Json::parse(response.body));
    } catch (const Json::exception &error) {
        throw PlatformError(BadReply{error.what()});
    }
}

Row readRow(const Json &json)
{
    Row row;
    row.key = json.at("key").get<std::string>();
    row.value = json.at("value").get<std::string>();
    row.version = RowVersion(json.at("version").get<std::int64_t>());
    return row;
}

Conflict readConflict(const Json &json)
{
    Conflict conflict;
    conflict.index = json.at("conflict").get<std::size_t>();
    conflict.current.key = json.at("key").get<std::string>();
    conflict.current.version = RowVersion(json.at("version").get<std::int64_t>());
    const Json &value = json.at("value");
    conflict.current.value = value.is_null() ? std::string() : value.get<std::string>();
    return conflict;
}

PlatformHost readHost(const Json &json)
{
    PlatformHost host;
    host.host = HostId(json.at("host").get<std::string>());
    host.dataCentre = DataCentreId(json.at("data_centre").get<std::string>());
    host.entry = json.at("entry").get<std::string>();
    host.scheduler = json.at("scheduler").get<std::string>();
    host.entryAdmin = json.value("entry_admin", "");
    host.schedulerAdmin = json.value("scheduler_admin", "");
    host.state = json.at("state").get<std::string>() == "leaving" ? HostState::Leaving : HostState::Live;
    return host;
}

Json writeOf(const RowWrite &write)
{
    Json json = {{"key", write.key}};
    if (write.isDelete) {
        json["delete"] = true;
    } else {
        json["value"] = write.value;
    }
    if (write.ifVersion) {
        json["if_version"] = write.ifVersion->value();
    }
    return json;
}

std::string dump(const Json &json)
{
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace

RowWrite RowWrite::put(std::string key, std::string value, std::optional<RowVersion> ifVersion)
{
    return {std::move(key), std::move(value), ifVersion, false};
}

RowWrite RowWrite::remove(std::string key, std::optional<RowVersion> ifVersion)
{
    return {std::move(key), {}, ifVersion, true};
}

PlatformError::PlatformError(PlatformFault fault)
    : std::runtime_error(describe(fault))
    , cause(std::move(fault))
{
}

const PlatformFault &PlatformError::fault() const
{
    return this->cause;
}

bool PlatformError::mayHaveTakenEffect() const
{
    return std::holds_alternative<ReplyLost>(this->cause) || std::holds_alternative<BadReply>(this->cause);
}

PlatformClient::PlatformClient(asio::io_context &io, const Options &options)
    : address(options.address)
    , deadline(options.deadline)
    , readBody(options.readBody)
    , client(io, [&options] {
        HttpClient::Options limits;
        limits.connections = options.connections;
        return limits;
    }())
{
}

HttpResponse PlatformClient::call(const HttpRequest &request, const asio::yield_context &yield)
{
    const CallOptions options = request.method == "GET"
        ? CallOptions{this->deadline, Reuse::Allowed, nullptr, this->readBody}
        : CallOptions{this->deadline, Reuse::Never};
    try {
        HttpResponse response = this->client.call(this->address, request, options, yield);
        if (response.status == statusRateLimited) {
            throw PlatformError(RateLimited{});
        }
        const bool isExpected =
            response.status == statusOk || response.status == statusNotFound || response.status == statusConflict;
        if (!isExpected) {
            throw PlatformError(Unavailable{fmt::format("status {}", response.status)});
        }
        return response;
    } catch (const HttpError &error) {
        if (error.isKnownNotSent()) {
            throw PlatformError(Unavailable{error.what()});
        }
        if (error.fault() == HttpFault::Malformed || error.fault() == HttpFault::TooLarge) {
            throw PlatformError(BadReply{error.what()});
        }
        throw PlatformError(ReplyLost{error.what()});
    }
}

std::optional<Row> PlatformClient::get(const std::string &key, const asio::yield_context &yield)
{
    const HttpResponse response = this->call({"GET", "/table/row?key=" + percentEncode(key)}, yield);
    if (response.status == statusNotFound) {
        return std::nullopt;
    }
    return parseReply(response, readRow);
}

std::vector<RowVersion> PlatformClient::commit(const std::vector<RowWrite> &writes, const asio::yield_context &yield)
{
    Json body = {{"writes", Json::array()}};
    for (const RowWrite &write : writes) {
        body["writes"].push_back(writeOf(write));
    }
    const HttpResponse response = this->call({"POST", "/table/commit", dump(body)}, yield);
    if (response.status == statusConflict) {
        throw PlatformError(parseReply(response, readConflict));
    }
    return parseReply(response, [&writes](const Json &json) {
        std::vector<RowVersion> versions;
        for (const Json &version : json.at("versions")) {
            versions.emplace_back(version.get<std::int64_t>());
        }
        if (versions.size() != writes.size()) {
            throw PlatformError(BadReply{"number of versions differs from number of writes"});
        }
        return versions;
    });
}

std::vector<Row> PlatformClient::rows(const std::string &prefix, const std::string &after, std::size_t limit,
                                      const asio::yield_context &yield)
{
    const HttpResponse response = this->call(
        {"GET",
         fmt::format("/table/rows?prefix={}&after={}&limit={}", percentEncode(prefix), percentEncode(after), limit)},
        yield);
    return parseReply(response, [](const Json &json) {
        std::vector<Row> rows;
        for (const Json &row : json.at("rows")) {
            rows.push_back(readRow(row));
        }
        return rows;
    });
}

void PlatformClient::putObject(const std::string &name, const std::string &content, const asio::yield_context &yield)
{
    this->call({"PUT", "/objects/" + percentEncode(name), content}, yield);
}

std::optional<std::string> PlatformClient::getObject(const std::string &name, const asio::yield_context &yield)
{
    HttpResponse response = this->call({"GET", "/objects/" + percentEncode(name)}, yield);
    if (response.status == statusNotFound) {
        return std::nullopt;
    }
    return std::move(response.body);
}

std::vector<std::string> PlatformClient::listObjects(const std::string &prefix, const asio::yield_context &yield)
{
    const HttpResponse response = this->call({"GET", "/objects?prefix=" + percentEncode(prefix)}, yield);
    return parseReply(response, [](const Json &json) { return json.at("objects").get<std::vector<std::string>>(); });
}

std::vector<PlatformHost> PlatformClient::hosts(const asio::yield_context &yield)
{
    const HttpResponse response = this->call({"GET", "/hosts"}, yield);
    return parseReply(response, [](const Json &json) {
        std::vector<PlatformHost> hosts;
        for (const Json &host : json.at("hosts")) {
            hosts.push_back(readHost(host));
        }
        return hosts;
    });
}

} // namespace fescuesill
