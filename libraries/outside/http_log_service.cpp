// Appends to and reads from the log service over HTTP.

#include <httplib.h>

#include "base/network.h"
#include "outside/log_service.h"

namespace wigeon {

namespace {

class http_log_service : public log_service {
public:
    http_log_service(const host_port& address, milliseconds timeout)
        : client(address.host, address.port), timeout(timeout)
    {
        this->client.set_keep_alive(true);
        this->client.set_tcp_nodelay(true);
        this->client.set_connection_timeout(timeout);
        this->client.set_write_timeout(timeout);
    }

    void set_timeout(milliseconds timeout) override
    {
        this->timeout = timeout;
        this->client.set_write_timeout(timeout);
    }

    std::uint64_t append(std::string_view stream, std::span<const std::string> records) override
    {
        RecordBatch batch;
        for (const std::string& record : records)
            batch.add_records(record);
        this->client.set_read_timeout(this->timeout);
        const auto response =
            this->client.Post("/streams/" + std::string(stream), batch.SerializeAsString(), "application/x-protobuf");
        AppendAnswer appended;
        this->parse(response, appended);
        return appended.first_offset();
    }

    LogPage read(std::string_view stream, std::uint64_t offset, milliseconds wait) override
    {
        this->client.set_read_timeout(this->timeout + wait);
        const auto response = this->client.Get("/streams/" + std::string(stream) + "?from=" + std::to_string(offset) +
                                               "&wait_ms=" + std::to_string(wait.count()));
        LogPage page;
        this->parse(response, page);
        return page;
    }

private:
    template <typename Message>
    void parse(const httplib::Result& response, Message& message)
    {
        if (!response) {
            // After a timeout a late response may still arrive on this connection, so it is closed.
            this->client.stop();
            throw log_call_error("log service: " + httplib::to_string(response.error()),
                                 response.error() == httplib::Error::Connection);
        }
        if (response->status != 200 || !message.ParseFromString(response->body))
            throw log_call_error("log service: status " + std::to_string(response->status), false);
    }

    httplib::Client client;
    milliseconds timeout;
};

} // namespace

std::unique_ptr<log_service> make_http_log_service(std::string_view address, milliseconds timeout)
{
    return std::make_unique<http_log_service>(parse_address(address), timeout);
}

} // namespace wigeon
