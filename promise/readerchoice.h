#pragma once

// The leader's choice of followers that read the store for it while it cannot read it itself.
//
//     ReaderChoice<LinkId> readers(ReaderChoice<LinkId>::Options{}, seed);
//     readers.addFollower(link);                            // removeFollower(link, now) when its link ends
//     readers.start(now);                                   // the leader's own read failed
//     for (const auto &change : readers.next(now)) { ... ask the follower to read, or to stop ... }
//     readers.onRead(link, now);                            // or onFailed(link, now)
//     if (readers.isOutage(now)) { ... nobody can read the store ... }
//     readers.stop();                                       // the leader reads again
//
// A few followers are asked at a time, at random, so that the calls of the whole fleet do not grow with it. The first
// that has read the store keeps reading. While none has, others are asked in turn: the store may refuse some hosts and
// serve the others.

#include "fescuesill/units.h"

#include <algorithm>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

namespace fescuesill
{

template<typename Link>
class ReaderChoice
{
public:
    struct Options {
        std::size_t asked{2}; // followers asked at the same time
        Duration silence{1000ms}; // a read of a silent store takes 0.85 s to fail: connecting, then the reply
        Duration roundPause{500ms}; // between two choices while nobody can read the store
    };
    struct Change {
        Link link{};
        bool isWanted = false;
    };

    ReaderChoice(Options given, std::uint64_t seed)
        : options(given)
        , random(seed)
    {
    }

    void addFollower(const Link &link)
    {
        this->followers.insert(link);
    }
    void removeFollower(const Link &link, Instant now)
    {
        if (this->readers.count(link) > 0) {
            this->end(link, now);
            this->ended.pop_back(); // it is not linked any more
        }
        this->followers.erase(link);
        this->tried.erase(link);
    }
    void clear()
    {
        this->stop();
        this->followers.clear();
        this->ended.clear();
    }
    void start(Instant now)
    {
        if (!this->searchSince) {
            this->searchSince = now;
            this->nextRound = now;
        }
    }
    void stop()
    {
        for (const auto &[link, reader] : this->readers) {
            this->ended.push_back(link);
        }
        this->readers.clear();
        this->tried.clear();
        this->searchSince.reset();
        this->hasFailed = false;
    }

    void onRead(const Link &link, Instant now)
    {
        const auto reader = this->readers.find(link);
        if (reader != this->readers.end()) {
            reader->second.heard = now;
            reader->second.hasRead = true;
        }
    }
    void onFailed(const Link &link, Instant now)
    {
        if (this->readers.count(link) > 0) {
            this->end(link, now);
        }
    }

    bool isReader(const Link &link) const
    {
        return this->readers.count(link) > 0;
    }
    // The requests to send now. Called after each event and periodically.
    std::vector<Change> next(Instant now)
    {
        for (auto reader = this->readers.begin(); reader != this->readers.end();) {
            const auto current = reader++;
            if (now >= current->second.heard + this->options.silence) {
                this->end(Link(current->first), now);
            }
        }
        std::vector<Change> changes;
        if (this->searchSince) {
            this->keepOne();
            this->askOthers(now, changes);
        }
        for (const Link &link : this->ended) {
            changes.push_back({link, false});
        }
        this->ended.clear();
        return changes;
    }
    // Whether neither the leader nor a follower can read the store: all of the first choice failed, or none replied.
    bool isOutage(Instant now) const
    {
        if (!this->searchSince || this->working() != this->readers.end()) {
            return false;
        }
        return this->hasFailed || now >= *this->searchSince + this->options.silence;
    }

private:
    struct Reader {
        Instant heard; // of its last reply, or when it was asked
        bool hasRead = false;
    };

    typename std::map<Link, Reader>::const_iterator working() const
    {
        return std::find_if(this->readers.begin(), this->readers.end(),
                            [](const auto &reader) { return reader.second.hasRead; });
    }
    void end(const Link &link, Instant now)
    {
        const bool wasWorking = this->readers.at(link).hasRead;
        this->readers.erase(link);
        this->ended.push_back(link);
        this->tried.insert(link);
        if (wasWorking) {
            this->searchSince = now;
            this->nextRound = now;
            this->hasFailed = false;
            this->tried = {link};
        } else if (this->readers.empty()) {
            this->hasFailed = true;
        }
    }
    void keepOne()
    {
        const auto kept = this->working();
        if (kept == this->readers.end()) {
            return;
        }
        const Link link = kept->first;
        for (auto reader = this->readers.begin(); reader != this->readers.end();) {
            const auto current = reader++;
            if (current->first != link) {
                this->ended.push_back(current->first);
                this->readers.erase(current);
            }
        }
        this->hasFailed = false;
    }
    void askOthers(Instant now, std::vector<Change> &changes)
    {
        if (this->working() != this->readers.end() || now < this->nextRound
            || this->readers.size() >= this->options.asked) {
            return;
        }
        this->nextRound = now + this->options.roundPause;
        std::vector<Link> candidates;
        for (const Link &link : this->followers) {
            if (this->tried.count(link) == 0 && this->readers.count(link) == 0) {
                candidates.push_back(link);
            }
        }
        if (candidates.empty()) {
            this->tried.clear(); // the next round begins again with all of them
            this->hasFailed = this->readers.empty();
            return;
        }
        std::shuffle(candidates.begin(), candidates.end(), this->random);
        const std::size_t missing = this->options.asked - this->readers.size();
        for (std::size_t each = 0; each < std::min(missing, candidates.size()); ++each) {
            this->readers[candidates[each]] = Reader{now, false};
            changes.push_back({candidates[each], true});
        }
    }

    Options options;
    std::mt19937_64 random;
    std::set<Link> followers;
    std::set<Link> tried; // in this search
    std::map<Link, Reader> readers;
    std::vector<Link> ended; // to be asked to stop
    std::optional<Instant> searchSince; // none while the leader reads the store itself
    Instant nextRound;
    bool hasFailed = false; // a whole choice of readers failed, and none has read since
};

} // namespace fescuesill
