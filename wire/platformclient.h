#pragma once

// Client for the platform's table, object store and host list, used from the coroutines of one io_context.
//
//     PlatformClient platform(io, PlatformClient::Options{"127.0.0.1:9000"});
//     try {
//         const std::optional<Row> row = platform.get("config/current", yield);
//         platform.commit({RowWrite::put("config/current", text, row ? row->version : RowVersion(0))}, yield);
//     } catch (const PlatformError &error) {
//         if (const auto *conflict = std::get_if<Conflict>(&error.fault())) { ... conflict->current ... }
//         if (error.mayHaveTakenEffect()) { ... read the row back before doing anything else ... }
//     }

#include "fescuesill/ids.h"
#include "wire/httpclient.h"

#include <optional>
#include <variant>

namespace fescuesill
{

struct Row {
    std::string key;
    std::string value;
    RowVersion version;
};

struct RowWrite {
    std::string key;
    std::string value;
    std::optional<RowVersion> ifVersion; // none: unconditional; 0: only if the row does not exist
    bool isDelete = false;

    static RowWrite put(std::string key, std::string value, std::optional<RowVersion> ifVersion = std::nullopt);
    static RowWrite remove(std::string key, std::optional<RowVersion> ifVersion = std::nullopt);
};

enum class HostState {
    Live,
    Leaving,
};

struct PlatformHost {
    HostId host;
    DataCentreId dataCentre;
    std::string entry; // IP:PORT
    std::string scheduler; // IP:PORT
    HostState state = HostState::Live;
    std::string entryAdmin = {}; // IP:PORT; empty if the platform does not list it
    std::string schedulerAdmin = {};
};

// The platform reported an error, or the request could not be sent. The call had no effect.
struct Unavailable {
    std::string text;
};
// The platform's rate limit was exceeded. The call had no effect.
struct RateLimited {
};
// No reply, or a truncated one. A write may have taken effect.
struct ReplyLost {
    std::string text;
};
// A condition of a commit did not hold. Nothing was written.
struct Conflict {
    std::size_t index = 0; // of the write whose condition failed
    Row current; // version 0 if the row does not exist
};
// The reply could not be parsed. A write may have taken effect.
struct BadReply {
    std::string text;
};

using PlatformFault = std::variant<Unavailable, RateLimited, ReplyLost, Conflict, BadReply>;

class PlatformError : public std::runtime_error
{
public:
    explicit PlatformError(PlatformFault fault);

    const PlatformFault &fault() const;
    // For a write: false only if it is certain that nothing was written.
    bool mayHaveTakenEffect() const;

private:
    PlatformFault cause;
};

class PlatformClient
{
public:
    struct Options {
        std::string address = {}; // IP:PORT
        Duration deadline{2s}; // for one call; a slower store is treated as unavailable
        // If set, the deadline of a read covers only the header of the reply, and these limits apply to its body. For
        // rows whose size grows with the deployment.
        std::optional<BodyLimits> readBody = std::nullopt;
        // Maximum number of open connections. Several hundred writes a second of a few ms each need under ten.
        std::size_t connections = 32;
    };

    PlatformClient(asio::io_context &io, const Options &options);

    // All calls throw PlatformError on failure. get() and getObject() return nothing if there is no such row or object.
    std::optional<Row> get(const std::string &key, const asio::yield_context &yield);
    // Applies all writes atomically or none. Returns the new versions in the order of the writes.
    std::vector<RowVersion> commit(const std::vector<RowWrite> &writes, const asio::yield_context &yield);
    // Up to `limit` rows whose key has this prefix and sorts after `after`.
    std::vector<Row> rows(const std::string &prefix, const std::string &after, std::size_t limit,
                          const asio::yield_context &yield);
    void putObject(const std::string &name, const std::string &content, const asio::yield_context &yield);
    std::optional<std::string> getObject(const std::string &name, const asio::yield_context &yield);
    std::vector<std::string> listObjects(const std::string &prefix, const asio::yield_context &yield);
    std::vector<PlatformHost> hosts(const asio::yield_context &yield);

private:
    HttpResponse call(const HttpRequest &request, const asio::yield_context &yield);

    std::string address;
    Duration deadline;
    std::optional<BodyLimits> readBody;
    HttpClient client;
};

} // namespace fescuesill
