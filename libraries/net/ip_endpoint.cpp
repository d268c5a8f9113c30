// Parses endpoints with Boost.Asio.

#include "net/ip_endpoint.h"

#include <string>

#include "base/address.h"
#include "base/error_kind.h"

namespace wigeon {

boost::asio::ip::tcp::endpoint parse_ip_endpoint(std::string_view text)
{
    const host_port address = parse_address(text);
    boost::system::error_code reason;
    const auto ip = boost::asio::ip::make_address(address.host, reason);
    if (reason)
        throw error(error_kind::malformed_request, "'" + std::string(text) + "' is not an address of the form ip:port");
    return {ip, static_cast<std::uint16_t>(address.port)};
}

} // namespace wigeon
