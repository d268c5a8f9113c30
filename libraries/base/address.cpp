// Parses addresses and lists, and generates and formats process incarnations.

#include "base/address.h"

#include <array>
#include <charconv>
#include <random>

#include "base/error_kind.h"

namespace wigeon {

host_port parse_address(std::string_view text)
{
    const auto colon = text.rfind(':');
    host_port address;
    if (colon != std::string_view::npos) {
        const std::string_view port = text.substr(colon + 1);
        address.host = text.substr(0, colon);
        const auto parsed = std::from_chars(port.data(), port.data() + port.size(), address.port);
        const bool is_number = parsed.ec == std::errc() && parsed.ptr == port.data() + port.size();
        if (is_number && !address.host.empty() && address.port >= 0 && address.port <= 65535)
            return address;
    }
    throw error(error_kind::malformed_request, "'" + std::string(text) + "' is not an address of the form host:port");
}

std::vector<std::string> split_list(std::string_view text, char separator)
{
    std::vector<std::string> items;
    while (!text.empty()) {
        const auto end = text.find(separator);
        if (end != 0)
            items.emplace_back(text.substr(0, end));
        if (end == std::string_view::npos)
            break;
        text.remove_prefix(end + 1);
    }
    return items;
}

std::uint64_t generate_incarnation()
{
    std::random_device device;
    return (std::uint64_t{device()} << 32U) | device();
}

std::string format_incarnation(std::uint64_t incarnation)
{
    std::array<char, 17> text{};
    const auto end = std::to_chars(text.data(), text.data() + text.size(), incarnation, 16);
    return {text.data(), end.ptr};
}

} // namespace wigeon
