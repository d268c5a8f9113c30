// Addresses of programs, lists in settings, and the random incarnation that a process generates when it starts.

#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace wigeon {

struct host_port {
    std::string host;
    int port = 0;
};

// Throws error(malformed_request) unless the text is "host:port".
host_port parse_address(std::string_view text);

// Empty items are left out.
std::vector<std::string> split_list(std::string_view text, char separator);

// A random 64-bit identifier, unique to one start of a process.
std::uint64_t generate_incarnation();

// Hexadecimal digits, for log lines and responses.
std::string format_incarnation(std::uint64_t incarnation);

} // namespace wigeon
