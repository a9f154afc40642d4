#include "decide/requestblocks.h"

#include <algorithm>

namespace fescuesill
{

bool RequestBlocks::block(const RequestTraits &traits, Duration duration, Instant now)
{
    const Block added{now + duration, now + this->options.firstTrial, this->options.firstTrial};
    const auto [found, isNew] = this->blocks.try_emplace(traits, added);
    found->second.until = std::max(found->second.until, added.until);
    if (this->blocks.size() > this->options.maxBlocks) {
        const auto endsFirst =
            std::min_element(this->blocks.begin(), this->blocks.end(),
                             [](const auto &a, const auto &b) { return a.second.until < b.second.until; });
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
    Blocks remaining;
    for (const auto &[traits, block] : this->blocks) {
        RequestTraits left;
        std::copy_if(traits.begin(), traits.end(), std::back_inserter(left), [&served](const RequestTrait &trait) {
            return std::find(served.begin(), served.end(), trait) == served.end();
        });
        if (left.size() < traits.size()) {
            ended.push_back(traits);
        }
        if (!left.empty()) {
            remaining.emplace(left, block);
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
        block = now >= block->second.until ? this->blocks.erase(block) : std::next(block);
    }
    for (auto watch = this->watched.begin(); watch != this->watched.end();) {
        watch = now >= watch->second.until ? this->watched.erase(watch) : std::next(watch);
    }
}

bool RequestBlocks::isMatch(const Blocks::value_type &block, const RequestTraits &traits, Instant now)
{
    const auto has = [&traits](const RequestTrait &trait) {
        return std::find(traits.begin(), traits.end(), trait) != traits.end();
    };
    return now < block.second.until && std::all_of(block.first.begin(), block.first.end(), has);
}

std::optional<Duration> RequestBlocks::blockedFor(const RequestTraits &traits, Instant now) const
{
    std::optional<Duration> longest;
    for (const auto &block : this->blocks) {
        if (isMatch(block, traits, now)) {
            const Duration left = block.second.until - now;
            longest = std::max(longest.value_or(left), left);
        }
    }
    return longest;
}

bool RequestBlocks::takeTrial(const RequestTraits &traits, Instant now)
{
    const auto isEarly = [&](const Blocks::value_type &block) {
        return isMatch(block, traits, now) && now < block.second.trialDue;
    };
    if (std::any_of(this->blocks.begin(), this->blocks.end(), isEarly)) {
        return false;
    }
    for (auto &block : this->blocks) {
        if (isMatch(block, traits, now)) {
            block.second.trialInterval *= this->options.trialFactor;
            block.second.trialDue = now + block.second.trialInterval;
        }
    }
    return true;
}

void RequestBlocks::returnTrial(const RequestTraits &traits, Instant now)
{
    for (auto &block : this->blocks) {
        if (isMatch(block, traits, now) && now < block.second.trialDue) {
            block.second.trialInterval /= this->options.trialFactor;
            block.second.trialDue = now;
        }
    }
}

std::vector<std::pair<RequestTraits, Instant>> RequestBlocks::all() const
{
    std::vector<std::pair<RequestTraits, Instant>> found;
    found.reserve(this->blocks.size());
    for (const auto &[traits, block] : this->blocks) {
        found.emplace_back(traits, block.until);
    }
    return found;
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
