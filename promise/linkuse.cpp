#include "promise/linkuse.h"

#include <algorithm>

// A link costs its heartbeat, so at 48 cells links that are always open cost an entry several times what it may spend
// on control, and an owner that every entry is linked to many times that. An entry uses a few cells at a time.
//
// Weighed: stretched heartbeats on links that stay open. Then a request may meet a connection that went silent long
// ago, and is late by the time that this takes to be found. A link that is closed soon after its last use has either a
// heartbeat as short as ever or no connection at all: the next request opens a new one, which is what a silent
// connection needs in any case. It costs that request one connection's set-up, a few milliseconds.

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
        // Failure: the owner hangs and every request of a burst is kept for it. It shows as memory that grows. What
        // comes past the bound is placed without the owner, when the limit has passed.
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
    // Failure: a request waits in the owner's queue and says nothing meanwhile. Closed under it, the link would drop it
    // from that queue. It shows as requests placed twice, the second time without the owner.
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
