#include "decide/requestblocks.h"

#include <algorithm>

namespace fescuesill
{

bool RequestBlocks::block(const RequestTraits &traits, Duration duration, Trials trials, Instant now)
{
    const Duration firstTrial = trials == Trials::Seldom ? this->options.firstSeldomTrial : this->options.firstTrial;
    const Block added{now + duration, now + firstTrial, firstTrial};
    const auto [found, isNew] = this->blocks.try_emplace(traits, added);
    found->second.until = std::max(found->second.until, added.until);
    if (trials == Trials::None) {
        found->second.trialInterval = Duration(0);
    }
    this->limitBlocks();
    return isNew;
}

bool RequestBlocks::adopt(const RequestBlock &block, Instant now)
{
    const Block added{now + block.left, now + block.untilTrial, block.trialInterval};
    const bool isNew = this->blocks.insert_or_assign(block.traits, added).second;
    this->limitBlocks();
    return isNew;
}

void RequestBlocks::limitBlocks()
{
    if (this->blocks.size() > this->options.maxBlocks) {
        const auto endsFirst =
            std::min_element(this->blocks.begin(), this->blocks.end(),
                             [](const auto &a, const auto &b) { return a.second.until < b.second.until; });
        this->blocks.erase(endsFirst);
    }
}

bool RequestBlocks::unblock(const RequestTraits &traits)
{
    return this->blocks.erase(traits) > 0;
}

void RequestBlocks::keepOnly(const std::vector<RequestTraits> &sets)
{
    for (auto block = this->blocks.begin(); block != this->blocks.end();) {
        const bool isKept = std::find(sets.begin(), sets.end(), block->first) != sets.end();
        block = isKept ? std::next(block) : this->blocks.erase(block);
    }
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
        return isMatch(block, traits, now)
            && (block.second.trialInterval == Duration(0) || now < block.second.trialDue);
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
        const bool isTried = block.second.trialInterval > Duration(0);
        if (isTried && isMatch(block, traits, now) && now < block.second.trialDue) {
            block.second.trialInterval /= this->options.trialFactor;
            block.second.trialDue = now;
        }
    }
}

RequestBlock RequestBlocks::stateOf(const Blocks::value_type &block, Instant now)
{
    return {block.first, block.second.until - now, block.second.trialDue - now, block.second.trialInterval};
}

std::vector<RequestBlock> RequestBlocks::all(Instant now) const
{
    std::vector<RequestBlock> found;
    for (const auto &block : this->blocks) {
        if (now < block.second.until) {
            found.push_back(stateOf(block, now));
        }
    }
    return found;
}

RequestTraits RequestBlocks::watching(Instant now) const
{
    RequestTraits found;
    for (const auto &[trait, watch] : this->watched) {
        if (now < watch.until) {
            found.push_back(trait);
        }
    }
    return found;
}

std::vector<RequestBlock> RequestBlocks::matching(const RequestTraits &traits, Instant now) const
{
    std::vector<RequestBlock> found;
    for (const auto &block : this->blocks) {
        if (isMatch(block, traits, now)) {
            found.push_back(stateOf(block, now));
        }
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
