// Sends one request to one executor over one connection. Returns the complete response, or what is known about the
// execution of the request.

#pragma once

#include <string>
#include <string_view>

#include "base/error_kind.h"
#include "base/time.h"
#include "routing/connection_pool.h"
#include "routing/executor_table.h"

namespace wigeon {

struct executor_request {
    std::string path;
    std::string body;
    std::string content_type;
    std::string request_id; // Sent along, so that an executor can tell requests apart.
    bool is_idempotent = false;
    std::size_t response_limit_bytes = std::size_t{64} << 20U;
};

struct executor_response {
    exchange_outcome outcome = exchange_outcome::interrupted;
    execution_status execution = execution_status::may_have_run;
    int status = 0;
    std::string body;
    std::string content_type;
    std::string content_encoding;
    bool is_timeout = false;
};

// `read_timeout` limits the time without data, before and within the response; `deadline` limits the whole exchange.
executor_response exchange(executor_connection& connection, const executor_request& request, milliseconds read_timeout,
                           steady_time deadline);

} // namespace wigeon
