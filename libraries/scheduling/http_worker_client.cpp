// HTTP implementation of worker_client.

#include <map>

#include <httplib.h>

#include "base/network.h"
#include "scheduling/worker_client.h"

namespace wigeon {

namespace {

class http_worker_client : public worker_client {
public:
    http_worker_client(milliseconds timeout, std::string source_address)
        : timeout(timeout), source_address(std::move(source_address))
    {
    }

    worker_response send(const std::string& address, const WorkerOrders& orders) override
    {
        httplib::Client& client = this->find_client(address);
        const auto response = client.Post("/orders", orders.SerializeAsString(), "application/x-protobuf");
        worker_response result;
        if (response && response->status == 200 && result.reports.ParseFromString(response->body)) {
            result.outcome = call_outcome::answered;
            return result;
        }
        if (!response && response.error() == httplib::Error::Connection)
            result.outcome = call_outcome::refused;
        // Closes the connection: a late response must not be read as the response to the next request.
        this->clients.erase(address);
        return result;
    }

private:
    httplib::Client& find_client(const std::string& address)
    {
        auto found = this->clients.find(address);
        if (found == this->clients.end()) {
            const host_port parsed = parse_address(address);
            auto client = std::make_unique<httplib::Client>(parsed.host, parsed.port);
            client->set_keep_alive(true);
            client->set_tcp_nodelay(true);
            if (!this->source_address.empty())
                client->set_interface(this->source_address);
            client->set_connection_timeout(this->timeout);
            client->set_read_timeout(this->timeout);
            client->set_write_timeout(this->timeout);
            found = this->clients.emplace(address, std::move(client)).first;
        }
        return *found->second;
    }

    const milliseconds timeout;
    const std::string source_address;
    std::map<std::string, std::unique_ptr<httplib::Client>> clients;
};

} // namespace

std::unique_ptr<worker_client> make_http_worker_client(milliseconds timeout, std::string source_address)
{
    return std::make_unique<http_worker_client>(timeout, std::move(source_address));
}

} // namespace wigeon
