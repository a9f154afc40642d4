// What is counted is what has arrived, never what a request announces, so a caller that announces much and sends little
// takes nothing from others.
//
// While more is held than the limit, the connection yields that holds most of what can be released, weighted with the
// time for which it has stalled. So a crowd of large or stalled requests yields before an ordinary request that has
// just begun, and a single large request is received as long as nothing else needs the memory. What a running request
// holds can't be released: its caller is owed the answer. So a request is admitted to run only while requests that run
// leave a part of the limit free, unless it takes no more than the equal share of one connection: an ordinary request
// finds its place beside large ones. A request that is alone always runs.
//
// Connections that wait are closed for new ones, first those that have never sent a request: their callers lose
// nothing, and idle connections must not keep others out.

#include "decide/requestbudget.h"

#include <algorithm>

namespace fescuesill
{

RequestBudget::RequestBudget(const Options &given)
    : options(given)
{
}

Bytes RequestBudget::held(const Connection &connection)
{
    return connection.request + connection.unread + connection.unsent;
}

Bytes RequestBudget::releasable(const Connection &connection)
{
    const bool isRunning = connection.state == State::Running;
    return connection.unread + connection.unsent + (isRunning ? Bytes(0) : connection.request);
}

void RequestBudget::change(Connection &connection, Bytes request, Bytes unread, Bytes unsent)
{
    this->total -= held(connection);
    connection.request = request;
    connection.unread = unread;
    connection.unsent = unsent;
    this->total += held(connection);
}

ConnectionId RequestBudget::open(Instant now)
{
    const ConnectionId id{this->nextId++};
    this->connections[id].since = now;
    return id;
}

void RequestBudget::close(ConnectionId id)
{
    const auto found = this->connections.find(id);
    if (found == this->connections.end()) {
        return;
    }
    this->onIdle(id, found->second.since);
    this->connections.erase(found);
}

void RequestBudget::onReceived(ConnectionId id, Bytes held, Instant now)
{
    Connection &connection = this->connections.at(id);
    connection.state = State::Receiving;
    connection.since = now;
    this->change(connection, held, Bytes(0), Bytes(0));
}

bool RequestBudget::start(ConnectionId id, Bytes held, Instant now)
{
    this->onReceived(id, held, now);
    const auto connectionsAllowed = static_cast<std::int64_t>(std::max<std::size_t>(this->options.connections, 1));
    const Bytes equalShare(this->options.limit.value() / connectionsAllowed);
    const auto most = static_cast<double>(this->options.limit.value());
    const auto after = static_cast<double>((this->running + held).value());
    const bool fits = after <= most * (held <= equalShare ? 1 : this->options.runningShare);
    if (!fits && this->running > Bytes(0)) {
        ++this->counted.refused;
        return false;
    }
    Connection &connection = this->connections.at(id);
    connection.state = State::Running;
    connection.hasServed = true;
    this->running += held;
    return true;
}

void RequestBudget::onUnread(ConnectionId id, Bytes unread)
{
    Connection &connection = this->connections.at(id);
    this->change(connection, connection.request, unread, connection.unsent);
}

void RequestBudget::onUnsent(ConnectionId id, Bytes unsent, Instant now)
{
    Connection &connection = this->connections.at(id);
    connection.since = now;
    this->change(connection, connection.request, connection.unread, unsent);
}

void RequestBudget::onIdle(ConnectionId id, Instant now)
{
    Connection &connection = this->connections.at(id);
    if (connection.state == State::Running) {
        this->running -= connection.request;
    }
    connection.state = State::Idle;
    connection.since = now;
    this->change(connection, Bytes(0), Bytes(0), Bytes(0));
}

std::optional<ConnectionId> RequestBudget::nextToDrop(Instant now)
{
    if (this->total <= this->options.limit) {
        return std::nullopt;
    }
    std::optional<ConnectionId> chosen;
    double most = 0;
    for (const auto &[id, connection] : this->connections) {
        const double stalled = std::chrono::duration<double>(now - connection.since) / this->options.stallUnit;
        const double weight = static_cast<double>(releasable(connection).value()) * (1 + stalled);
        if (weight > most) {
            most = weight;
            chosen = id;
        }
    }
    const bool isAlone = chosen && held(this->connections.at(*chosen)) == this->total;
    if (!chosen || isAlone) {
        return std::nullopt;
    }
    ++this->counted.dropped;
    return chosen;
}

std::optional<ConnectionId> RequestBudget::nextToReplace(Instant now)
{
    const Connection *longest = nullptr;
    std::optional<ConnectionId> chosen;
    for (const auto &[id, connection] : this->connections) {
        const bool isWaiting = connection.state != State::Running && now - connection.since >= this->options.leastWait;
        const bool isBetter = longest == nullptr || connection.hasServed < longest->hasServed
            || (connection.hasServed == longest->hasServed && connection.since < longest->since);
        if (isWaiting && isBetter) {
            longest = &connection;
            chosen = id;
        }
    }
    if (chosen) {
        ++this->counted.replaced;
    }
    return chosen;
}

RequestBudget::Counts RequestBudget::counts() const
{
    Counts counts = this->counted;
    counts.connections = this->connections.size();
    counts.held = this->total;
    counts.limit = this->options.limit;
    return counts;
}

} // namespace fescuesill
