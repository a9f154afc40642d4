// A call goes through four steps: which rows or objects it names; the faults set for these; the rate; the work itself.
// A lost reply is the fault that the product's guards stand or fall by: the write is carried out in full, then the
// connection is closed without a byte.
//
// A commit counts as one write whatever number of rows it has, as a transactional store is limited by its commits.
// Calls for tests come before all faults, so a test can always end what it began.

#include "testing/fakeplatform/platform.h"

#include <algorithm>

namespace fescuesill::standin
{

using nlohmann::json;

namespace
{

constexpr std::size_t rowsPerReply = 1000;
constexpr std::size_t rowsPerCommit = 100; // larger transactions are refused
constexpr std::string_view objectsRoute = "/objects/";

bool beginsWith(std::string_view text, std::string_view start)
{
    return text.substr(0, start.size()) == start;
}

json rowJson(const TableRow &row)
{
    return {{"key", row.key}, {"value", row.value}, {"version", row.version}};
}

json recordJson(const LogRecord &record)
{
    return {{"seq", record.sequence},         {"time_us", record.timeMicroseconds}, {"commit", record.commit},
            {"key", record.write.key},        {"value", record.write.value},        {"version", record.version},
            {"delete", record.write.isDelete}};
}

TableWrite parseWrite(const json &write)
{
    TableWrite parsed{write.at("key").get<std::string>(), nullptr, std::nullopt, write.value("delete", false)};
    if (!parsed.isDelete) {
        parsed.value = write.at("value");
    }
    if (write.contains("if_version")) {
        parsed.ifVersion = write.at("if_version").get<std::int64_t>();
    }
    return parsed;
}

} // namespace

Platform::Platform(const Options &options)
    : options(options)
    , writes(options.writesPerSecond)
    , reads(options.readsPerSecond)
    , random(options.seed)
{
    this->hostLists.push_back({{}, R"({"hosts":[]})"});
}

void Platform::handle(Exchange &exchange)
{
    try {
        if (this->handleControl(exchange)) {
            return;
        }
        const Call call = callOf(exchange.request());
        ++(call.isWrite ? this->writeCalls : this->readCalls);
        const PlatformFaults active = this->faultsOf(call);
        if (active.freeze) {
            exchange.fallSilent();
            return;
        }
        exchange.sleep(active.delay);
        if (active.outage) {
            exchange.reply(503, R"({"error":"unavailable"})");
        } else if (!this->takeRate(call)) {
            exchange.reply(429, R"({"error":"over_rate"})");
        } else {
            const Answer answer = this->carryOut(exchange.request());
            const bool lost = this->loses(call);
            exchange.sleep(active.slow);
            if (lost) {
                exchange.cut();
            } else if (this->garbles(call)) {
                exchange.reply(200, R"({"versions":[1,)");
            } else {
                exchange.reply(answer.status, answer.body, answer.contentType);
            }
        }
    } catch (const json::exception &error) {
        exchange.reply(400, json{{"error", error.what()}}.dump());
    }
}

bool Platform::handleControl(Exchange &exchange)
{
    const HttpRequest &request = exchange.request();
    const bool isPost = request.method == "POST";
    if (isPost && request.path == "/faults") {
        this->setFaults(json::parse(request.body));
        exchange.reply(200, "{}");
    } else if (isPost && request.path == "/hosts") {
        this->setHosts(json::parse(request.body));
        exchange.reply(200, "{}");
    } else if (request.path == "/log") {
        exchange.reply(200, this->logBody(request.number("after", 0)));
    } else if (request.path == "/counts") {
        exchange.reply(200, this->countsBody());
    } else if (request.path == "/healthz") {
        exchange.reply(200, "{}");
    } else {
        return false;
    }
    return true;
}

void Platform::setFaults(const json &body)
{
    if (body.empty()) {
        this->faults.clear();
        return;
    }
    PlatformFaults fault;
    fault.prefix = body.value("prefix", "");
    fault.outage = body.value("outage", false);
    fault.freeze = body.value("freeze", false);
    fault.slow = std::chrono::milliseconds(body.value("slow_ms", 0));
    fault.delay = std::chrono::milliseconds(body.value("delay_ms", 0));
    fault.loseNext = body.value("lose_next", 0);
    fault.garbageNext = body.value("garbage_next", 0);
    fault.loseRate = body.value("lose_rate", 0.0);
    const auto same = [&](const PlatformFaults &other) {
        return other.prefix == fault.prefix;
    };
    this->faults.erase(std::remove_if(this->faults.begin(), this->faults.end(), same), this->faults.end());
    this->faults.push_back(fault);
}

void Platform::setHosts(const json &body)
{
    const std::chrono::milliseconds lag(body.value("lag_ms", this->options.hostLag.count()));
    const json list{{"hosts", body.at("hosts")}};
    this->hostLists.push_back({std::chrono::steady_clock::now() + lag, list.dump()});
}

std::string Platform::logBody(std::int64_t after) const
{
    json records = json::array();
    std::int64_t next = after;
    for (const LogRecord &record : this->table.log(after, rowsPerReply)) {
        records.push_back(recordJson(record));
        next = record.sequence;
    }
    return json{{"log", records}, {"next", next}}.dump();
}

std::string Platform::countsBody() const
{
    return json{{"writes", this->writeCalls}, {"reads", this->readCalls}, {"over_rate", this->overRate}}.dump();
}

Platform::Call Platform::callOf(const HttpRequest &request)
{
    Call call;
    if (request.path == "/table/commit") {
        call.isWrite = true;
        const json body = json::parse(request.body);
        for (const json &write : body.at("writes")) {
            call.names.push_back(write.at("key").get<std::string>());
        }
    } else if (beginsWith(request.path, objectsRoute)) {
        call.isWrite = request.method == "PUT";
        call.names.push_back(request.path.substr(objectsRoute.size()));
    } else if (request.path == "/hosts") {
        call.names.emplace_back("hosts");
    } else {
        call.names.push_back(request.parameter("key", request.parameter("prefix")));
    }
    return call;
}

PlatformFaults Platform::faultsOf(const Call &call) const
{
    PlatformFaults sum;
    for (const PlatformFaults &fault : this->faults) {
        const auto named = [&](const std::string &name) {
            return beginsWith(name, fault.prefix);
        };
        if (std::any_of(call.names.begin(), call.names.end(), named)) {
            sum.outage = sum.outage || fault.outage;
            sum.freeze = sum.freeze || fault.freeze;
            sum.slow = std::max(sum.slow, fault.slow);
            sum.delay = std::max(sum.delay, fault.delay);
        }
    }
    return sum;
}

bool Platform::loses(const Call &call)
{
    for (PlatformFaults &fault : this->faults) {
        const auto named = [&](const std::string &name) {
            return beginsWith(name, fault.prefix);
        };
        if (!call.isWrite || std::none_of(call.names.begin(), call.names.end(), named)) {
            continue;
        }
        if (fault.loseNext > 0) {
            --fault.loseNext;
            return true;
        }
        if (fault.loseRate > 0 && std::bernoulli_distribution(fault.loseRate)(this->random)) {
            return true;
        }
    }
    return false;
}

bool Platform::garbles(const Call &call)
{
    for (PlatformFaults &fault : this->faults) {
        const auto named = [&](const std::string &name) {
            return beginsWith(name, fault.prefix);
        };
        if (fault.garbageNext > 0 && std::any_of(call.names.begin(), call.names.end(), named)) {
            --fault.garbageNext;
            return true;
        }
    }
    return false;
}

bool Platform::takeRate(const Call &call)
{
    const auto now = std::chrono::steady_clock::now();
    const bool taken = call.isWrite ? this->writes.take(now) : this->reads.take(now);
    this->overRate += taken ? 0 : 1;
    return taken;
}

Platform::Answer Platform::carryOut(const HttpRequest &request)
{
    if (request.path == "/table/commit" && request.method == "POST") {
        return this->commit(json::parse(request.body));
    }
    if (request.path == "/table/row") {
        return this->row(request.parameter("key"));
    }
    if (request.path == "/table/rows") {
        return this->rows(request);
    }
    if (request.path == "/objects" || beginsWith(request.path, objectsRoute)) {
        return this->object(request);
    }
    if (request.path == "/hosts") {
        return this->hosts();
    }
    return {404, R"({"error":"no_such_call"})"};
}

Platform::Answer Platform::commit(const json &body)
{
    std::vector<TableWrite> parsed;
    for (const json &write : body.at("writes")) {
        parsed.push_back(parseWrite(write));
    }
    if (parsed.size() > rowsPerCommit) {
        return {400, R"({"error":"too_many_rows"})"};
    }
    const CommitResult result = this->table.commit(parsed);
    if (const auto *conflict = std::get_if<CommitConflict>(&result)) {
        json reply = rowJson(conflict->current);
        reply["conflict"] = conflict->index;
        return {409, reply.dump()};
    }
    return {200, json{{"versions", std::get<std::vector<std::int64_t>>(result)}}.dump()};
}

Platform::Answer Platform::row(const std::string &key) const
{
    const auto found = this->table.row(key);
    return found ? Answer{200, rowJson(*found).dump()} : Answer{404, R"({"error":"no_row"})"};
}

Platform::Answer Platform::rows(const HttpRequest &request) const
{
    const auto limit = std::clamp<std::int64_t>(request.number("limit", rowsPerReply), 0, rowsPerReply);
    json found = json::array();
    for (const TableRow &row :
         this->table.rows(request.parameter("prefix"), request.parameter("after"), static_cast<std::size_t>(limit))) {
        found.push_back(rowJson(row));
    }
    return {200, json{{"rows", found}}.dump()};
}

Platform::Answer Platform::object(const HttpRequest &request)
{
    if (request.path == "/objects") {
        json names = json::array();
        for (const auto &[name, content] : this->objects) {
            if (beginsWith(name, request.parameter("prefix"))) {
                names.push_back(name);
            }
        }
        return {200, json{{"objects", names}}.dump()};
    }
    const std::string name = request.path.substr(objectsRoute.size());
    if (request.method == "PUT") {
        this->objects[name] = request.body;
        return {200, "{}"};
    }
    const auto found = this->objects.find(name);
    return found == this->objects.end() ? Answer{404, R"({"error":"no_object"})"}
                                        : Answer{200, found->second, "application/octet-stream"};
}

Platform::Answer Platform::hosts()
{
    const auto now = std::chrono::steady_clock::now();
    while (this->hostLists.size() > 1 && this->hostLists[1].visibleAt <= now) {
        this->hostLists.pop_front();
    }
    return {200, this->hostLists.front().body};
}

} // namespace fescuesill::standin
