#pragma once

// The leader's choice of the hosts through which a host without a path to the endpoints connects to them.
//
//     TunnelHostChoice<LinkId> hosts(TunnelHostChoice<LinkId>::Options{}, seed);
//     hosts.add(link, "10.1.0.21:7675");                   // remove(link) when its link ends
//     hosts.onCutOff(link, now);                           // that host reaches no endpoint
//     const std::vector<std::string> addresses = hosts.choose(link, now);   // for that host
//     const bool mustNotTry = hosts.areOthersCutOff(link, now);              // the list is empty for that reason
//
// A list is a random part of the fleet, so that the hosts of a data centre that was cut off spread over the others.
// Hosts that were cut off themselves a moment ago are left out.

#include "fescuesill/units.h"

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace fescuesill
{

template<typename Link>
class TunnelHostChoice
{
public:
    struct Options {
        std::size_t listed = 8; // hosts in one list
        Duration cutOffFor{3s}; // since a host last reported that it is cut off; it does so each second
    };

    TunnelHostChoice(const Options &given, std::uint64_t seed)
        : options(given)
        , random(seed)
    {
    }

    void add(const Link &link, const std::string &address)
    {
        this->hosts[link].address = address;
    }
    void remove(const Link &link)
    {
        this->hosts.erase(link);
    }
    void clear()
    {
        this->hosts.clear();
    }
    void onCutOff(const Link &link, Instant now)
    {
        const auto found = this->hosts.find(link);
        if (found != this->hosts.end()) {
            found->second.cutOffUntil = now + this->options.cutOffFor;
        }
    }
    // The addresses for the host of that link, which is left out; `Link{}` for this host itself.
    std::vector<std::string> choose(const Link &asking, Instant now)
    {
        std::vector<std::string> usable;
        for (const auto &[link, host] : this->hosts) {
            if (link != asking && now >= host.cutOffUntil && !host.address.empty()) {
                usable.push_back(host.address);
            }
        }
        std::shuffle(usable.begin(), usable.end(), this->random);
        usable.resize(std::min(usable.size(), this->options.listed));
        return usable;
    }
    // Whether other hosts would open tunnels for the host of that link, but each of them was cut off a moment ago.
    bool areOthersCutOff(const Link &asking, Instant now) const
    {
        bool hasOthers = false;
        for (const auto &[link, host] : this->hosts) {
            if (link == asking || host.address.empty()) {
                continue;
            }
            if (now >= host.cutOffUntil) {
                return false;
            }
            hasOthers = true;
        }
        return hasOthers;
    }

private:
    struct Host {
        std::string address; // IP:PORT of its TunnelServer; empty if it has none
        Instant cutOffUntil;
    };

    Options options;
    std::mt19937_64 random;
    std::map<Link, Host> hosts;
};

} // namespace fescuesill
