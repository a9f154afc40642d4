// A full ring to the decider: a new request is refused at once, anything else closes the link. A lost Finished or
// PrefillDone would leave a reservation that nobody frees; after a reconnect the entry says again what it holds. That a
// link has closed is told until the ring takes it, for the decider frees by it what a dead entry held.

#include "programs/scheduler/entrylinks.h"

#include "wire/log.h"

namespace fescuesill
{
namespace
{

constexpr Duration overloadRetry = 500ms;

} // namespace

EntryLinks::EntryLinks(PeerNode &carrier, PeerDuty::Decide callback, std::function<News()> given)
    : node(carrier)
    , decide(std::move(callback))
    , news(std::move(given))
{
}

void EntryLinks::onMessage(LinkId link, peer::Message message)
{
    const auto *hello = std::get_if<peer::Hello>(&message);
    if (hello != nullptr) {
        if (!hello->isEntry) {
            return;
        }
        this->entries.insert(link);
    }
    std::optional<RequestId> asked;
    if (const auto *submit = std::get_if<peer::Submit>(&message)) {
        asked = submit->request;
    }
    if (!this->decide(FromEntry{link, std::move(message)})) {
        this->onDeciderFull(link, asked);
    }
}

void EntryLinks::onDeciderFull(LinkId link, const std::optional<RequestId> &asked)
{
    if (asked) {
        Refusal refusal{RefusalCode::Overloaded, RunState::NotRun, "the decider has too many events waiting",
                        overloadRetry};
        this->node.send(link, peer::Refused{*asked, std::move(refusal)});
        return;
    }
    Log::warning("decider_full", {{"link", static_cast<std::uint64_t>(link)}});
    this->entries.erase(link);
    this->followers.erase(link);
    this->pendingClosed.push_back(link);
    this->node.disconnect(link);
}

// Failure: every owner sends all its news to every entry that is linked to it, each second. At 48 cells it shows as
// megabytes a second from one host. An entry follows one scheduler, that of its own host while it is there.
void EntryLinks::onFollow(LinkId link, const peer::Follow &follow)
{
    if (!follow.wanted) {
        this->followers.erase(link);
        return;
    }
    this->followers.insert(link);
    const News whole = this->news();
    this->node.send(link, whole.config);
    this->node.send(link, whole.hosts);
    this->node.send(link, whole.cells);
}

void EntryLinks::onClosed(LinkId link)
{
    this->followers.erase(link);
    if (this->entries.erase(link) != 0 && !this->decide(LinkClosed{link})) {
        this->pendingClosed.push_back(link);
    }
}

void EntryLinks::tellPendingClosed()
{
    while (!this->pendingClosed.empty() && this->decide(LinkClosed{this->pendingClosed.back()})) {
        this->pendingClosed.pop_back();
    }
}

void EntryLinks::tellFollowers(const peer::Message &message)
{
    for (const LinkId link : this->followers) {
        this->node.send(link, message);
    }
}

std::size_t EntryLinks::followerCount() const
{
    return this->followers.size();
}

} // namespace fescuesill
