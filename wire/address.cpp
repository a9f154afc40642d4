#include "wire/address.h"

#include <boost/asio/ip/address.hpp>

#include <charconv>

namespace fescuesill
{

tl::expected<Address, WireError> Address::parse(std::string_view text)
{
    const std::string given(text);
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return tl::unexpected(WireError("'" + given + "' is not IP:PORT"));
    }
    std::string_view ip = text.substr(0, colon);
    const std::string_view port = text.substr(colon + 1);
    if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']') {
        ip = ip.substr(1, ip.size() - 2);
    }
    Address address;
    boost::system::error_code failed;
    boost::asio::ip::make_address(std::string(ip), failed);
    const auto *const end = port.data() + port.size();
    const auto [stop, error] = std::from_chars(port.data(), end, address.port);
    if (failed || error != std::errc() || stop != end) {
        return tl::unexpected(WireError("'" + given + "' is not IP:PORT"));
    }
    address.ip = std::string(ip);
    return address;
}

std::string Address::text() const
{
    const bool isV6 = this->ip.find(':') != std::string::npos;
    return (isV6 ? "[" + this->ip + "]" : this->ip) + ":" + std::to_string(this->port);
}

} // namespace fescuesill
