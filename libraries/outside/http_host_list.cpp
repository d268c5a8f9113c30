// Reads the host list over HTTP.

#include <httplib.h>

#include "base/network.h"
#include "outside/host_list.h"
#include "wigeon.pb.h"

namespace wigeon {

namespace {

class http_host_list : public host_list {
public:
    http_host_list(const host_port& address, milliseconds timeout) : client(address.host, address.port)
    {
        this->client.set_connection_timeout(timeout);
        this->client.set_read_timeout(timeout);
    }

    std::optional<std::set<std::string, std::less<>>> read_leaving() override
    {
        const auto response = this->client.Get("/hosts");
        HostList list;
        if (!response || response->status != 200 || !list.ParseFromString(response->body))
            return std::nullopt;
        std::set<std::string, std::less<>> leaving;
        for (const HostEntry& host : list.hosts()) {
            if (host.is_leaving())
                leaving.insert(host.id());
        }
        return leaving;
    }

private:
    httplib::Client client;
};

} // namespace

std::unique_ptr<host_list> make_http_host_list(std::string_view address, milliseconds timeout)
{
    return std::make_unique<http_host_list>(parse_address(address), timeout);
}

} // namespace wigeon
