#pragma once

// The leader's choice of the deputy: the follower that places generations for the others while the leader is
// unreachable.
//
//     DeputyChoice<LinkId> choice;
//     choice.add(link, "10.1.0.21:7660");
//     if (choice.deputy() != announced) { ... announce it to all followers ... }
//     choice.remove(link);
//
// The deputy is the follower that has been connected for the longest time and changes only when that one leaves.

#include <map>
#include <string>

namespace fescuesill
{

template<typename Link>
class DeputyChoice
{
public:
    void add(const Link &link, const std::string &address)
    {
        this->addresses[link] = address;
        if (this->chosen.empty()) {
            this->chosen = address;
        }
    }
    void remove(const Link &link)
    {
        const auto left = this->addresses.find(link);
        if (left == this->addresses.end()) {
            return;
        }
        const bool wasChosen = left->second == this->chosen;
        this->addresses.erase(left);
        if (wasChosen) {
            this->chosen = this->addresses.empty() ? std::string() : this->addresses.begin()->second;
        }
    }
    void clear()
    {
        this->addresses.clear();
        this->chosen.clear();
    }
    // IP:PORT at which the deputy accepts links; empty when there is no follower.
    const std::string &deputy() const
    {
        return this->chosen;
    }
    // Empty if the link is no follower's.
    std::string address(const Link &link) const
    {
        const auto found = this->addresses.find(link);
        return found == this->addresses.end() ? std::string() : found->second;
    }
    const std::map<Link, std::string> &followers() const
    {
        return this->addresses;
    }

private:
    std::map<Link, std::string> addresses;
    std::string chosen;
};

} // namespace fescuesill
