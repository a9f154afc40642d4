// A call takes effect in the middle of its time, so that there are both moments to cut it: before it ran and after. The
// log of executions is kept whole, since a doubled booking may be many thousand calls apart.

#include "testing/fakeengine/application.h"

#include "testing/fakeengine/answertext.h"

#include <nlohmann/json.hpp>
#include <string_view>

namespace fescuesill::standin
{

using nlohmann::json;

namespace
{

constexpr std::string_view resultsRoute = "/results/";

// A key is its workspace's own: two workspaces may choose the same one.
std::string resultName(const HttpRequest &request, const std::string &key)
{
    return request.header("x-workspace") + "\n" + key;
}

} // namespace

Application::Application(const EngineOptions &options, FaultScript &faults)
    : options(options)
    , faults(faults)
{
}

void Application::handle(Exchange &exchange)
{
    const HttpRequest &request = exchange.request();
    if (request.method == "GET" && request.path.compare(0, resultsRoute.size(), resultsRoute) == 0) {
        this->answerResult(exchange);
        return;
    }
    const auto half =
        std::chrono::duration_cast<Microseconds>(this->options.applicationTime * this->faults.slowFactor() / 2);
    exchange.sleep(this->options.scaled(half));
    const std::string answer = this->run(request);
    exchange.sleep(this->options.scaled(half));
    if (request.method != "GET" && this->faults.losesReply()) {
        exchange.cut();
    } else {
        exchange.reply(200, answer);
    }
}

json Application::history() const
{
    json listed = json::array();
    for (const Execution &execution : this->executions) {
        listed.push_back({{"key", execution.key},
                          {"workspace", execution.workspace},
                          {"method", execution.method},
                          {"path", execution.path},
                          {"body_hash", execution.bodyHash},
                          {"time_us", execution.timeMicroseconds}});
    }
    return {{"executions", listed}};
}

std::string Application::run(const HttpRequest &request)
{
    const std::string key = request.header("idempotency-key");
    const std::string hash = hexadecimal(XXH3_64bits(request.body.data(), request.body.size()));
    const auto time = std::chrono::steady_clock::now().time_since_epoch();
    this->executions.push_back({key, request.header("x-workspace"), request.method, request.path, hash,
                                std::chrono::duration_cast<Microseconds>(time).count()});
    json answer{{"path", request.path}, {"method", request.method}};
    if (request.method != "GET") {
        answer["number"] = this->executions.size();
        answer["key"] = key;
        answer["body_hash"] = hash;
    }
    if (!key.empty()) {
        this->results[resultName(request, key)] = answer.dump();
    }
    return answer.dump();
}

void Application::answerResult(Exchange &exchange) const
{
    const std::string key = exchange.request().path.substr(resultsRoute.size());
    const auto found = this->results.find(resultName(exchange.request(), key));
    if (found == this->results.end()) {
        exchange.reply(404, R"({"error":"never_ran"})");
    } else {
        exchange.reply(200, found->second);
    }
}

} // namespace fescuesill::standin
