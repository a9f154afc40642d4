#include "promise/linkuse.h"

#include <algorithm>

// An open link costs its heartbeats. At 48 cells, links that are always open would cost an entry several times its
// budget for control traffic, and an owner that every entry is linked to many times its budget. An entry uses only a
// few cells at a time.
//
// Rejected: longer heartbeat intervals on links that stay open. A request could then use a connection that has been
// broken for a long time, and would be delayed until this is detected. A link that is closed soon after its last use
// either has the short heartbeat interval or no connection at all, and the next request opens a new one. This costs
// that request one connection set-up, a few milliseconds.

namespace fescuesill
{

LinkUse::LinkUse(Options options)
    : options(options)
{
}

LinkUse::Way LinkUse::onMessage(Instant now)
{
    this->lastUse = now;
    switch (this->state) {
    case State::Closed:
        this->state = State::Opening;
        this->openingSince = now;
        this->queued = 1;
        return Way::Open;
    case State::Opening:
        // If the owner hangs, the messages of a burst would accumulate without bound. Requests beyond the bound are
        // placed without the owner once openLimit has passed.
        if (this->queued >= this->options.maxQueued) {
            return Way::Drop;
        }
        ++this->queued;
        return Way::Queue;
    case State::Open:
        return Way::Send;
    case State::Lost:
        break;
    }
    return Way::Drop;
}

void LinkUse::onOpened(Instant now)
{
    this->state = State::Open;
    this->lastUse = std::max(this->lastUse, now);
    this->queued = 0;
}

void LinkUse::onClosed()
{
    if (this->state == State::Open) {
        this->state = State::Lost;
    }
}

LinkUse::Step LinkUse::tick(bool inUse, Instant now)
{
    if (this->state == State::Closed) {
        return Step::None;
    }
    if (this->state == State::Opening && now - this->openingSince >= this->options.openLimit) {
        this->state = State::Lost;
        this->queued = 0;
        return Step::GiveUp;
    }
    // A request waiting in the owner's queue sends no messages. Closing the link would remove it from that queue, and
    // it would be placed a second time without the owner.
    if (inUse) {
        this->lastUse = now;
        return Step::None;
    }
    if (this->state == State::Opening || now - this->lastUse < this->options.idle) {
        return Step::None;
    }
    this->state = State::Closed;
    return Step::Close;
}

bool LinkUse::isOpen() const
{
    return this->state == State::Open;
}

bool LinkUse::isOffered() const
{
    return this->state != State::Lost;
}

} // namespace fescuesill
