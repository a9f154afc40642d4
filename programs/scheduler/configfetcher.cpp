#include "programs/scheduler/configfetcher.h"

#include <algorithm>
#include <utility>

namespace fescuesill
{
namespace
{

// A host to fetch from that has not answered by then is given up; another is asked.
constexpr Duration fetchLimit = 2s;
// Fetches at once: one for the version wanted, and those that a starting host needs.
constexpr std::size_t mostFetches = 4;

} // namespace

ConfigFetcher::ConfigFetcher(PeerNode &node, peer::Hello hello)
    : node(node)
    , hello(std::move(hello))
{
}

void ConfigFetcher::fetch(const HostId &host, const std::string &address, Instant now)
{
    // Failure: a dead host is asked again and again and takes up every fetch there may be. It shows as a host that
    // stays behind though others have what it lacks. So a host is asked once at a time.
    const bool isAsked = std::any_of(this->fetches.begin(), this->fetches.end(),
                                     [&host](const auto &fetch) { return fetch.second.host == host; });
    if (address.empty() || isAsked || this->fetches.size() >= mostFetches) {
        return;
    }
    this->fetches[this->node.connect(address)] = Fetch{host, now};
}

void ConfigFetcher::onOpened(LinkId link)
{
    if (this->fetches.count(link) != 0) {
        this->node.send(link, this->hello);
        this->node.send(link, peer::FetchConfig{});
    }
}

void ConfigFetcher::onClosed(LinkId link)
{
    this->take(link);
}

std::optional<HostId> ConfigFetcher::take(LinkId link)
{
    const auto found = this->fetches.find(link);
    if (found == this->fetches.end()) {
        return std::nullopt;
    }
    const HostId host = found->second.host;
    this->fetches.erase(found);
    this->node.disconnect(link);
    return host;
}

void ConfigFetcher::dropOld(Instant now)
{
    for (auto fetch = this->fetches.begin(); fetch != this->fetches.end();) {
        const bool isOld = now - fetch->second.since > fetchLimit;
        if (isOld) {
            this->node.disconnect(fetch->first);
        }
        fetch = isOld ? this->fetches.erase(fetch) : std::next(fetch);
    }
}

} // namespace fescuesill
