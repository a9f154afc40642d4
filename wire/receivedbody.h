#pragma once

// The body of a request for Beast's parser: a string that grows as bytes arrive, whatever length the request announces.
//
//     http::request_parser<ReceivedBody> parser;
//     parser.get().body();     // a std::string

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>
#include <cstdint>
#include <string>

namespace fescuesill
{

struct ReceivedBody {
    using value_type = std::string;

    static std::uint64_t size(const value_type &body)
    {
        return body.size();
    }

    // The names are those that Beast uses.
    class reader // NOLINT(readability-identifier-naming)
    {
    public:
        template<bool isRequest, class Fields>
        reader(boost::beast::http::header<isRequest, Fields> & /*header*/, value_type &content)
            : body(content)
        {
        }

        void init(const boost::optional<std::uint64_t> &announced, boost::beast::error_code &error)
        {
            error = {};
            this->length = announced.value_or(0);
        }

        template<class Buffers>
        std::size_t put(const Buffers &buffers, boost::beast::error_code &error)
        {
            error = {};
            const std::size_t count = boost::asio::buffer_size(buffers);
            this->makeRoom(this->body.size() + count);
            const auto end = boost::asio::buffer_sequence_end(buffers);
            for (auto part = boost::asio::buffer_sequence_begin(buffers); part != end; ++part) {
                const boost::asio::const_buffer bytes(*part);
                this->body.append(static_cast<const char *>(bytes.data()), bytes.size());
            }
            return count;
        }

        void finish(boost::beast::error_code &error)
        {
            error = {};
        }

    private:
        // Doubles the capacity, but no further than to the announced length.
        void makeRoom(std::size_t needed)
        {
            if (needed > this->body.capacity()) {
                const std::size_t doubled = std::max(needed, 2 * this->body.capacity());
                this->body.reserve(this->length >= needed ? std::min<std::size_t>(doubled, this->length) : doubled);
            }
        }

        value_type &body;
        std::uint64_t length = 0; // as announced; 0 for a body in chunks
    };
};

} // namespace fescuesill
