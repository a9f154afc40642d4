// One coroutine for each entry asks /readyz again and again; picking goes round. A platform's balancer notices a dead
// host only after its next check, so in between callers do run into it: that is a part of the load.

#include "testing/loadtool/balancer.h"

#include "testing/standin/httpclient.h"

namespace fescuesill::standin
{

namespace
{

constexpr std::chrono::milliseconds checkInterval(200);
constexpr std::chrono::milliseconds checkLimit(1000);
constexpr int httpOk = 200;

} // namespace

Balancer::Balancer(asio::io_context &io, const std::vector<std::string> &given)
    : io(io)
{
    for (const std::string &text : given) {
        const auto slash = text.find('/');
        this->entries.push_back(
            {text.substr(0, slash), slash == std::string::npos ? std::string() : text.substr(slash + 1)});
    }
}

void Balancer::start()
{
    for (Entry &entry : this->entries) {
        asio::spawn(this->io, [this, &entry](const asio::yield_context &yield) { this->check(entry, yield); });
    }
}

void Balancer::stop()
{
    this->isStopped = true;
}

std::string Balancer::pick(const std::string &notThis)
{
    for (std::size_t i = 0; i < this->entries.size(); ++i) {
        const Entry &entry = this->entries[++this->turn % this->entries.size()];
        if (entry.isReady && entry.callers != notThis) {
            return entry.callers;
        }
    }
    return this->entries[++this->turn % this->entries.size()].callers;
}

void Balancer::connectFailed(const std::string &failed)
{
    for (Entry &entry : this->entries) {
        if (entry.callers == failed && !entry.admin.empty()) {
            entry.isReady = false;
        }
    }
}

void Balancer::check(Entry &entry, const asio::yield_context &yield)
{
    asio::steady_timer timer(this->io);
    while (!this->isStopped && !entry.admin.empty()) {
        entry.isReady = fetch(this->io, entry.admin, {"GET", "/readyz", {}, {}, checkLimit}, yield).status == httpOk;
        boost::system::error_code ignored;
        timer.expires_after(checkInterval);
        timer.async_wait(yield[ignored]);
    }
}

} // namespace fescuesill::standin
