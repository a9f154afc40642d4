#pragma once

// The platform's table, object store and host list, for the coroutines of one io_context.
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
    std::optional<RowVersion> ifVersion; // none: whatever is there; 0: only where the row is absent
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
    std::string entryAdmin = {}; // IP:PORT; empty where the platform does not say
    std::string schedulerAdmin = {};
};

// It answers that it is down, or nothing could be sent to it. Nothing took effect.
struct Unavailable {
    std::string text;
};
// Over the platform's rate. Nothing took effect.
struct RateLimited {
};
// No reply, or a reply cut short: a write may have taken effect.
struct ReplyLost {
    std::string text;
};
// A condition of a commit does not hold; nothing was written.
struct Conflict {
    std::size_t index = 0; // which write
    Row current; // version 0 where the row is absent
};
// The reply does not parse. A write may have taken effect.
struct BadReply {
    std::string text;
};

using PlatformFault = std::variant<Unavailable, RateLimited, ReplyLost, Conflict, BadReply>;

class PlatformError : public std::runtime_error
{
public:
    explicit PlatformError(PlatformFault fault);

    const PlatformFault &fault() const;
    // Of a write: it is not known that nothing was written.
    bool mayHaveTakenEffect() const;

private:
    PlatformFault cause;
};

class PlatformClient
{
public:
    struct Options {
        std::string address = {}; // IP:PORT
        Duration deadline{2s}; // of one call; a store slower than this counts as down
        // Where set, the deadline of a read ends with the reply's header: for rows whose size grows with the
        // deployment.
        std::optional<BodyLimits> readBody = std::nullopt;
        std::size_t connections = 32; // at once; several hundred writes a second at a few ms each need under ten
    };

    PlatformClient(asio::io_context &io, const Options &options);

    // All throw PlatformError.
    std::optional<Row> get(const std::string &key, const asio::yield_context &yield);
    // All writes or none; the new versions, in the order of the writes.
    std::vector<RowVersion> commit(const std::vector<RowWrite> &writes, const asio::yield_context &yield);
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
