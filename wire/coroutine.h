#pragma once

// Starts a coroutine on an io_context that is run by a single thread.
//
//     startCoroutine(io, [this](const asio::yield_context &yield) { this->serve(yield); });

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <utility>

namespace fescuesill
{

namespace asio = boost::asio;

// Enough for the deepest call chain of a request, including its parsers. Only the pages in use take memory.
constexpr std::size_t coroutineStackBytes = 64 << 10;

// asio::spawn(io, ...) resumes the coroutine through a strand. Each context is run by one thread, so the lock of the
// strand protects nothing. Binding the coroutine to the plain executor avoids the lock.
template<typename Function>
void startCoroutine(asio::io_context &io, Function &&function)
{
    void (*const done)() = [] {
    };
    const asio::any_io_executor executor = io.get_executor();
    asio::spawn(asio::bind_executor(executor, done), std::forward<Function>(function),
                boost::coroutines::attributes(coroutineStackBytes));
}

} // namespace fescuesill
