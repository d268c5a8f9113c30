// Parses the addresses of peers. Names are not resolved: a lookup could block the event loop.

#pragma once

#include <string_view>

#include <boost/asio/ip/tcp.hpp>

namespace wigeon {

// Throws error(malformed_request) unless the text is "ip:port".
boost::asio::ip::tcp::endpoint parse_ip_endpoint(std::string_view text);

} // namespace wigeon
