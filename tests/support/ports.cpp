// Finds free ports by binding to them.

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

int allocate_ports(int count)
{
    constexpr int min_port = 12'000;
    constexpr int max_port = 32'000;
    static int next_port = min_port + (getpid() * 7919) % (max_port - min_port);
    while (true) {
        if (next_port + count >= max_port)
            next_port = min_port;
        int free_count = 0;
        while (free_count < count && is_free(next_port + free_count))
            ++free_count;
        const int first_port = next_port;
        next_port += free_count + 1;
        if (free_count == count)
            return first_port;
    }
}

} // namespace wigeon::test
