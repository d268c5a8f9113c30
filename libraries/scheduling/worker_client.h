// Interface through which the scheduler calls a worker. Implementations hide the wire protocol.

#pragma once

#include <memory>
#include <optional>
#include <string>

#include "base/time.h"
#include "wigeon.pb.h"

namespace wigeon {

enum class call_outcome : std::uint8_t {
    answered,
    refused,   // No connection: the worker did not receive the orders.
    uncertain, // The orders may have taken effect.
};

struct worker_response {
    call_outcome outcome = call_outcome::uncertain;
    WorkerReports reports;
};

class worker_client {
public:
    virtual ~worker_client() = default;

    virtual worker_response send(const std::string& address, const WorkerOrders& orders) = 0;
};

// Creates a client that uses HTTP with protobuf bodies on one keep-alive connection per address. It is not thread-safe.
// It connects from `source_address`, an address of this host; if empty, the system chooses.
std::unique_ptr<worker_client> make_http_worker_client(milliseconds timeout, std::string source_address);

} // namespace wigeon
