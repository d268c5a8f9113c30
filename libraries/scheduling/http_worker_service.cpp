// The HTTP adapter of the workers.

#include <map>

#include <httplib.h>

#include "base/network.h"
#include "scheduling/worker_service.h"

namespace wigeon {

namespace {

class http_worker_service : public worker_service {
public:
    http_worker_service(milliseconds timeout, std::string source) : timeout(timeout), source(std::move(source)) {}

    worker_answer send(const std::string& address, const WorkerOrders& orders) override
    {
        httplib::Client& client = this->find_client(address);
        const auto answer = client.Post("/orders", orders.SerializeAsString(), "application/x-protobuf");
        worker_answer result;
        if (answer && answer->status == 200 && result.reports.ParseFromString(answer->body)) {
            result.call = worker_call::answered;
            return result;
        }
        if (!answer && answer.error() == httplib::Error::Connection)
            result.call = worker_call::refused;
        // A late answer must not be read as that of the next exchange.
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
            if (!this->source.empty())
                client->set_interface(this->source);
            client->set_connection_timeout(this->timeout);
            client->set_read_timeout(this->timeout);
            client->set_write_timeout(this->timeout);
            found = this->clients.emplace(address, std::move(client)).first;
        }
        return *found->second;
    }

    const milliseconds timeout;
    const std::string source;
    std::map<std::string, std::unique_ptr<httplib::Client>> clients;
};

} // namespace

std::unique_ptr<worker_service> make_http_worker_service(milliseconds timeout, std::string source)
{
    return std::make_unique<http_worker_service>(timeout, std::move(source));
}

} // namespace wigeon
