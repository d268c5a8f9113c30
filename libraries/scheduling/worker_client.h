// A worker as the scheduler sees it. The wire interface of the users' workers is behind this class.

#pragma once

#include <memory>
#include <optional>
#include <string>

#include "base/time.h"
#include "wigeon.pb.h"

namespace wigeon {

enum class call_outcome : std::uint8_t {
    answered,
    refused,   // No connection: the orders were not seen.
    uncertain, // The orders may have taken effect.
};

struct worker_answer {
    call_outcome outcome = call_outcome::uncertain;
    WorkerReports reports;
};

class worker_client {
public:
    virtual ~worker_client() = default;

    virtual worker_answer send(const std::string& address, const WorkerOrders& orders) = 0;
};

// Speaks HTTP with protobuf bodies on one kept-alive connection per address. Not for use by two threads at once.
// Connects from `source`, an address of this host; empty: the system chooses.
std::unique_ptr<worker_client> make_http_worker_client(milliseconds timeout, std::string source_address);

} // namespace wigeon
