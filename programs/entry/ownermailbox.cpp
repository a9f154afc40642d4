#include "programs/entry/ownermailbox.h"

namespace fescuesill
{
namespace
{

// An owner sends one message for each of ours; more than these are a fault of it.
constexpr std::size_t mostMessages = 8;

} // namespace

OwnerMailbox::OwnerMailbox(asio::io_context &context)
    : io(context)
{
}

OwnerMailbox::Box::Box(OwnerMailbox &owner, RequestId id)
    : mailbox(owner)
    , request(std::move(id))
    , timer(owner.io)
{
    this->mailbox.boxes[this->request] = this;
}

OwnerMailbox::Box::~Box()
{
    this->mailbox.boxes.erase(this->request);
}

void OwnerMailbox::Box::expect(std::optional<LinkId> owner)
{
    this->link = owner;
    this->lost = false;
}

std::optional<peer::Message> OwnerMailbox::Box::wait(Duration limit, const asio::yield_context &yield)
{
    if (this->messages.empty() && !this->lost && !this->interrupted) {
        boost::system::error_code cancelled;
        this->timer.expires_after(limit);
        this->timer.async_wait(yield[cancelled]);
    }
    if (this->messages.empty()) {
        return std::nullopt;
    }
    peer::Message message = std::move(this->messages.front());
    this->messages.pop_front();
    return message;
}

void OwnerMailbox::Box::watch(std::function<void(const peer::Message &)> arrived)
{
    this->watcher = std::move(arrived);
    for (const peer::Message &message : this->messages) {
        if (this->watcher) {
            this->watcher(message);
        }
    }
}

void OwnerMailbox::Box::interrupt()
{
    this->interrupted = true;
    this->timer.cancel();
}

bool OwnerMailbox::Box::isLinkLost() const
{
    return this->lost;
}

void OwnerMailbox::put(const RequestId &request, peer::Message message)
{
    const auto found = this->boxes.find(request);
    if (found == this->boxes.end() || found->second->messages.size() >= mostMessages) {
        return;
    }
    Box &box = *found->second;
    box.messages.push_back(std::move(message));
    box.timer.cancel();
    if (box.watcher) {
        box.watcher(box.messages.back());
    }
}

void OwnerMailbox::onLinkLost(LinkId link)
{
    for (auto &[request, box] : this->boxes) {
        if (box->link == link) {
            box->lost = true;
            box->timer.cancel();
        }
    }
}

} // namespace fescuesill
