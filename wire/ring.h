#pragma once

// A bounded queue between the threads of two components of a process.
//
//     Ring<Order> ring(1024, [&] { asio::post(context, [&] { drain(ring); }); });
//     if (!ring.tryPush(std::move(order))) {
//         refuse("decision queue full");      // tryPush never blocks
//     }
//     while (auto order = ring.tryPop()) { ... }
//
// Multiple producers, a single consumer. The wake function runs on the producer's thread, once for each change from
// empty to not empty, so a burst of items causes one wake-up.

#include <boost/circular_buffer.hpp>

#include <cstddef>
#include <functional>
#include <mutex>
#include <optional>
#include <utility>

namespace fescuesill
{

template<typename T>
class Ring
{
public:
    Ring(std::size_t capacity, std::function<void()> wakeConsumer)
        : items(capacity)
        , wake(std::move(wakeConsumer))
    {
    }

    // Returns false if the ring is full. The item is then unchanged, so the caller can still reply to its sender.
    bool tryPush(T &&item)
    {
        bool wasEmpty = false;
        {
            const std::lock_guard<std::mutex> lock(this->mutex);
            if (this->items.full()) {
                return false;
            }
            wasEmpty = this->items.empty();
            this->items.push_back(std::move(item));
        }
        if (wasEmpty) {
            this->wake();
        }
        return true;
    }

    std::optional<T> tryPop()
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        if (this->items.empty()) {
            return std::nullopt;
        }
        std::optional<T> item(std::move(this->items.front()));
        this->items.pop_front();
        return item;
    }

private:
    std::mutex mutex;
    boost::circular_buffer<T> items;
    std::function<void()> wake;
};

} // namespace fescuesill
