// Interface to the platform's append-only log. An adapter implements it for the wire protocol of the users' platform
// and can be replaced without changes to decision code.

#pragma once

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>

#include "base/time.h"
#include "wigeon.pb.h"

namespace wigeon {

// Thrown when a call to the log service got no complete and successful response.
class log_call_error : public std::runtime_error {
public:
    log_call_error(const std::string& detail, bool is_unsent) : std::runtime_error(detail), unsent(is_unsent) {}

    // True when the service certainly did not receive the call.
    [[nodiscard]] bool is_unsent() const { return this->unsent; }

private:
    bool unsent;
};

class log_service {
public:
    static constexpr std::uint64_t end_of_stream = UINT64_MAX;

    virtual ~log_service() = default;

    // Sets the timeout of later calls. A read adds its `wait` to it.
    virtual void set_timeout(milliseconds timeout) = 0;

    // Appends the records in order and returns the offset of the first one. Throws log_call_error. An append that fails
    // may still take effect unless the error says is_unsent().
    virtual std::uint64_t append(std::string_view stream, std::span<const std::string> records) = 0;

    // Returns records from `offset` on and waits up to `wait` for the first. With end_of_stream the page holds no
    // records, only the offsets of the stream. A page whose earliest_offset exceeds `offset` holds no records either.
    // Throws log_call_error.
    virtual LogPage read(std::string_view stream, std::uint64_t offset, milliseconds wait) = 0;
};

// The adapter for HTTP with protobuf bodies. Not thread-safe.
std::unique_ptr<log_service> make_http_log_service(std::string_view address, milliseconds timeout);

} // namespace wigeon
