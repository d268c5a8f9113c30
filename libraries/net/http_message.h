// HTTP requests and replies, independent of the HTTP library.

#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "base/time.h"

namespace wigeon {

struct http_header {
    std::string name;
    std::string value;
};

// A request to another program.
struct outgoing_request {
    std::string method;
    std::string target;
    std::string body;
    std::vector<http_header> headers;
};

// Outcome of a finished call, as far as the client knows it.
enum class call_outcome : std::uint8_t {
    answered, // A complete reply was received.
    not_sent, // The peer certainly did not receive the call.
    unknown,  // The peer may have executed the call, or may still do so.
};

struct call_result {
    call_outcome outcome = call_outcome::unknown;
    int status = 0;               // 0 unless answered.
    std::string body;             // Of the reply; unless answered, the reason for the log.
    std::uint64_t connection = 0; // Number of the connection that carried the reply; 0 unless answered.
};

using call_handler = std::function<void(call_result)>;

// A request that this process received.
struct incoming_request {
    std::string method;
    std::string target;
    std::string host;
    std::string authorization;
    std::string body;
    milliseconds timeout{0}; // How long the caller waits; 0: not stated.
    boot_time arrived;
};

struct outgoing_reply {
    int status = 0;
    std::string body;
    std::uint32_t retry_after_s = 0; // 0: no Retry-After header.
};

using reply_handler = std::function<void(outgoing_reply)>;

} // namespace wigeon
