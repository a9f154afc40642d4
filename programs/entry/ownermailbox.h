#pragma once

// What the owners of cells say to the requests of one I/O thread.
//
//     OwnerMailbox::Box box(mailbox, request);                          // open until destroyed
//     const std::optional<peer::Message> message = box.wait(5s, yield); // none: nothing in time, or the link broke
//     mailbox.put(request, message);                                    // from the thread's event handler

#include "fescuesill/ids.h"
#include "fescuesill/units.h"
#include "wire/coroutine.h"
#include "wire/messages.h"
#include "wire/peernode.h"

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <optional>
#include <unordered_map>

namespace fescuesill
{

class OwnerMailbox
{
public:
    class Box
    {
    public:
        Box(OwnerMailbox &mailbox, RequestId request);
        ~Box();
        Box(const Box &) = delete;
        Box &operator=(const Box &) = delete;

        // Whose link breaking wakes the waiter.
        void expect(std::optional<LinkId> link);
        std::optional<peer::Message> wait(Duration limit, const asio::yield_context &yield);
        // Sees each message as it arrives, and at once those that wait here already.
        void watch(std::function<void(const peer::Message &)> arrived);
        // Ends a wait early, with nothing.
        void interrupt();
        bool isLinkLost() const;

    private:
        friend class OwnerMailbox;

        OwnerMailbox &mailbox;
        RequestId request;
        asio::steady_timer timer;
        std::optional<LinkId> link;
        std::deque<peer::Message> messages;
        std::function<void(const peer::Message &)> watcher;
        bool lost = false;
        bool interrupted = false;
    };

    explicit OwnerMailbox(asio::io_context &io);

    // Dropped where nobody waits: the request has ended.
    void put(const RequestId &request, peer::Message message);
    void onLinkLost(LinkId link);

private:
    asio::io_context &io;
    std::unordered_map<RequestId, Box *> boxes;
};

} // namespace fescuesill
