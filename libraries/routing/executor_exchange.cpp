// Sends a request and checks that the response is complete.

#include "routing/executor_exchange.h"

#include <algorithm>

namespace wigeon {

namespace {

constexpr int service_unavailable = 503;
// Timers of the HTTP library may expire this much early.
constexpr milliseconds timer_slack{5};
// An executor that refuses a request states with this header that it did not run it.
constexpr const char* execution_header = "Wigeon-Execution";

bool has_framing(const httplib::Response& response)
{
    // Without a length or chunked encoding, the end of the body cannot be told from a lost connection.
    return response.has_header("Content-Length") || response.get_header_value("Transfer-Encoding") == "chunked" ||
           response.status == 204;
}

} // namespace

executor_response exchange(executor_connection& connection, const executor_request& request, milliseconds read_timeout,
                           steady_time deadline)
{
    executor_response result;
    httplib::Request http_request;
    http_request.method = "POST";
    http_request.path = request.path;
    http_request.body = request.body;
    http_request.set_header("Content-Type", request.content_type);
    http_request.set_header("Accept-Encoding", "identity");
    http_request.set_header("Wigeon-Request-Id", request.request_id);
    bool is_past_deadline = false;
    http_request.content_receiver = [&](const char* data, std::size_t size, std::uint64_t, std::uint64_t) {
        is_past_deadline = read_steady_clock() >= deadline;
        if (is_past_deadline || result.body.size() + size > request.response_limit_bytes)
            return false;
        result.body.append(data, size);
        return true;
    };
    const milliseconds remaining = std::max(elapsed_ms(read_steady_clock(), deadline), milliseconds(1));
    connection.client->set_read_timeout(std::min(read_timeout, remaining));
    connection.client->set_write_timeout(remaining);
    const steady_time begin = read_steady_clock();
    const httplib::Result response = connection.client->send(http_request);
    if (!response) {
        result.body.clear();
        result.is_timeout =
            is_past_deadline || read_steady_clock() - begin + timer_slack >= std::min(read_timeout, remaining);
        if (result.is_timeout)
            result.outcome = exchange_outcome::timed_out;
        if (response.error() == httplib::Error::Connection) {
            result.outcome = exchange_outcome::unreachable;
            result.execution = execution_status::did_not_run;
        }
        return result;
    }
    if (!has_framing(*response)) {
        result.body.clear();
        return result;
    }
    result.status = response->status;
    result.content_type = response->get_header_value("Content-Type");
    result.content_encoding = response->get_header_value("Content-Encoding");
    const bool is_refusal = result.status == service_unavailable &&
                            response->get_header_value(execution_header) == to_string(execution_status::did_not_run);
    result.execution = is_refusal ? execution_status::did_not_run : execution_status::ran;
    if (is_refusal)
        result.outcome = exchange_outcome::refused;
    else
        result.outcome = result.status >= 500 ? exchange_outcome::failed_answer : exchange_outcome::answered;
    return result;
}

} // namespace wigeon
