// Addresses of programs, lists in settings, and the identifier that a process draws at its start.

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

std::vector<std::string> split_list(std::string_view text, char separator);

// A random identifier that no other process start will draw again.
std::uint64_t generate_incarnation();

// Text in hexadecimal digits, for log lines and answers.
std::string format_incarnation(std::uint64_t incarnation);

} // namespace wigeon
