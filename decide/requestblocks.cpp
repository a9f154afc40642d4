#include "decide/requestblocks.h"

#include <algorithm>

namespace fescuesill
{

bool RequestBlocks::block(const RequestTraits &traits, Duration duration, Instant now)
{
    const auto [found, isNew] = this->blocks.try_emplace(traits, now + duration);
    found->second = std::max(found->second, now + duration);
    if (this->blocks.size() > this->options.maxBlocks) {
        const auto endsFirst = std::min_element(this->blocks.begin(), this->blocks.end(),
                                                [](const auto &a, const auto &b) { return a.second < b.second; });
        this->blocks.erase(endsFirst);
    }
    return isNew;
}

bool RequestBlocks::unblock(const RequestTraits &traits)
{
    return this->blocks.erase(traits) > 0;
}

std::vector<RequestTraits> RequestBlocks::onServed(const RequestTraits &served)
{
    std::vector<RequestTraits> ended;
    std::map<RequestTraits, Instant> remaining;
    for (const auto &[traits, until] : this->blocks) {
        RequestTraits left;
        std::copy_if(traits.begin(), traits.end(), std::back_inserter(left), [&served](const RequestTrait &trait) {
            return std::find(served.begin(), served.end(), trait) == served.end();
        });
        if (left.size() < traits.size()) {
            ended.push_back(traits);
        }
        if (!left.empty()) {
            remaining[left] = std::max(remaining[left], until);
        }
    }
    this->blocks = std::move(remaining);
    for (const RequestTrait &trait : served) {
        this->watched.erase(trait);
    }
    return ended;
}

void RequestBlocks::watch(const RequestTraits &traits, Instant now)
{
    for (const RequestTrait &trait : traits) {
        const auto found = this->watched.find(trait);
        if (found != this->watched.end()) {
            found->second.until = now + this->options.watchedFor;
        } else if (this->watched.size() < this->options.maxWatched) {
            this->watched.emplace(trait, Watch{now, now + this->options.watchedFor});
        }
    }
}

void RequestBlocks::expire(Instant now)
{
    for (auto block = this->blocks.begin(); block != this->blocks.end();) {
        block = now >= block->second ? this->blocks.erase(block) : std::next(block);
    }
    for (auto watch = this->watched.begin(); watch != this->watched.end();) {
        watch = now >= watch->second.until ? this->watched.erase(watch) : std::next(watch);
    }
}

std::optional<Duration> RequestBlocks::blockedFor(const RequestTraits &traits, Instant now) const
{
    const auto has = [&traits](const RequestTrait &trait) {
        return std::find(traits.begin(), traits.end(), trait) != traits.end();
    };
    std::optional<Duration> longest;
    for (const auto &[all, until] : this->blocks) {
        if (now < until && std::all_of(all.begin(), all.end(), has)) {
            longest = std::max(longest.value_or(until - now), until - now);
        }
    }
    return longest;
}

RequestTraits RequestBlocks::watchedOf(const RequestTraits &traits, Instant begun) const
{
    RequestTraits found;
    for (const RequestTrait &trait : traits) {
        const auto watch = this->watched.find(trait);
        if (watch != this->watched.end() && begun > watch->second.since) {
            found.push_back(trait);
        }
    }
    return found;
}

} // namespace fescuesill
