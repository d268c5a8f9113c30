// The platform's append-only log as the system sees it. The wire interface of the users' platform is behind this
// class, so that an adapter can be replaced without touching a decision.

#pragma once

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>

#include "base/time.h"
#include "wigeon.pb.h"

namespace wigeon {

// Thrown when a call to the log service got no whole answer.
class log_call_error : public std::runtime_error {
public:
    log_call_error(const std::string& detail, bool is_unsent) : std::runtime_error(detail), unsent(is_unsent) {}

    // True when the service certainly never saw the call.
    [[nodiscard]] bool is_unsent() const { return this->unsent; }

private:
    bool unsent;
};

class log_service {
public:
    static constexpr std::uint64_t end_of_stream = UINT64_MAX;

    virtual ~log_service() = default;

    // Bounds the later calls, beside the time for which a read waits.
    virtual void set_timeout(milliseconds limit) = 0;

    // Appends the records in order and returns the offset of the first one. An append that fails may
    // still take effect unless the error says is_unsent().
    virtual std::uint64_t append(std::string_view stream, std::span<const std::string> records) = 0;

    // Returns records from `offset` on, waiting up to `wait` for the first. With end_of_stream the page is empty and
    // tells the offsets of the stream. A page whose earliest_offset exceeds `offset` has no records.
    virtual LogPage read(std::string_view stream, std::uint64_t offset, milliseconds wait) = 0;
};

// An adapter that speaks HTTP with protobuf bodies. Not for use by two threads at once.
std::unique_ptr<log_service> make_http_log_service(std::string_view address, milliseconds timeout);

} // namespace wigeon
