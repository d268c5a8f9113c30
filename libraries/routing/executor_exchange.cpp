// Sends a request and checks that the answer is whole.

#include "routing/executor_exchange.h"

#include <algorithm>

namespace wigeon {

namespace {

constexpr int service_unavailable = 503;
// The library's timers may end this much early.
constexpr milliseconds timer_slack{5};
// With this header, an executor proves that it did not run the request that it refused.
constexpr const char* execution_header = "Wigeon-Execution";

bool is_framed(const httplib::Response& answer)
{
    // Without a length or chunks the end of the body cannot be told from a cut connection.
    return answer.has_header("Content-Length") || answer.get_header_value("Transfer-Encoding") == "chunked" ||
           answer.status == 204;
}

} // namespace

executor_answer exchange(executor_connection& connection, const executor_request& request,
                         milliseconds first_byte_limit, steady_time deadline)
{
    executor_answer result;
    httplib::Request sent;
    sent.method = "POST";
    sent.path = request.path;
    sent.body = request.body;
    sent.set_header("Content-Type", request.content_type);
    sent.set_header("Accept-Encoding", "identity");
    sent.set_header("Wigeon-Request-Id", request.request_id);
    bool is_overdue = false;
    sent.content_receiver = [&](const char* data, std::size_t size, std::uint64_t, std::uint64_t) {
        is_overdue = read_steady_clock() >= deadline;
        if (is_overdue || result.body.size() + size > request.answer_limit)
            return false;
        result.body.append(data, size);
        return true;
    };
    const milliseconds left = std::max(elapsed_ms(read_steady_clock(), deadline), milliseconds(1));
    connection.client->set_read_timeout(std::min(first_byte_limit, left));
    connection.client->set_write_timeout(left);
    const steady_time begin = read_steady_clock();
    const httplib::Result answer = connection.client->send(sent);
    if (!answer) {
        result.body.clear();
        result.is_timeout = is_overdue || read_steady_clock() - begin + timer_slack >= std::min(first_byte_limit, left);
        if (result.is_timeout)
            result.outcome = exchange_outcome::overdue;
        if (answer.error() == httplib::Error::Connection) {
            result.outcome = exchange_outcome::unreachable;
            result.ran = execution::did_not_run;
        }
        return result;
    }
    if (!is_framed(*answer)) {
        result.body.clear();
        return result;
    }
    result.status = answer->status;
    result.content_type = answer->get_header_value("Content-Type");
    result.content_encoding = answer->get_header_value("Content-Encoding");
    const bool is_refusal = result.status == service_unavailable &&
                            answer->get_header_value(execution_header) == to_string(execution::did_not_run);
    result.ran = is_refusal ? execution::did_not_run : execution::ran;
    if (is_refusal)
        result.outcome = exchange_outcome::refused;
    else
        result.outcome = result.status >= 500 ? exchange_outcome::failed_answer : exchange_outcome::answered;
    return result;
}

} // namespace wigeon
