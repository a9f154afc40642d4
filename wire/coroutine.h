#pragma once

// Starts a coroutine on an io_context that one thread runs.
//
//     startCoroutine(io, [this](const asio::yield_context &yield) { this->serve(yield); });

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <utility>

namespace fescuesill
{

namespace asio = boost::asio;

// Room for the deepest call chain of a request with its parsers; only the pages that are touched take memory.
constexpr std::size_t coroutineStack = 64 << 10;

// asio::spawn(io, ...) puts every resumption through a strand. One thread runs each of our contexts, so the strand's
// lock guards nothing; binding to the plain executor leaves it out.
template<typename Function>
void startCoroutine(asio::io_context &io, Function &&function)
{
    void (*const done)() = [] {
    };
    const asio::any_io_executor executor = io.get_executor();
    asio::spawn(asio::bind_executor(executor, done), std::forward<Function>(function),
                boost::coroutines::attributes(coroutineStack));
}

} // namespace fescuesill
