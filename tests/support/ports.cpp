// Search for free ports.

#include "support/ports.h"

#include <cstdint>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace wigeon::test {

namespace {

bool is_free(int port)
{
    const int socket_id = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const int yes = 1;
    setsockopt(socket_id, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    const bool is_bound = bind(socket_id, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
    close(socket_id);
    return is_bound;
}

} // namespace

int take_ports(int count)
{
    constexpr int lowest = 12'000;
    constexpr int highest = 32'000;
    static int next = lowest + (getpid() * 7919) % (highest - lowest);
    while (true) {
        if (next + count >= highest)
            next = lowest;
        int run = 0;
        while (run < count && is_free(next + run))
            ++run;
        const int first = next;
        next += run + 1;
        if (run == count)
            return first;
    }
}

} // namespace wigeon::test
