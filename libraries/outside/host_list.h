// The platform's lagging list of live and leaving hosts.

#pragma once

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <thread>

#include "base/time.h"

namespace wigeon {

class host_list {
public:
    virtual ~host_list() = default;

    // Identifiers of the leaving hosts, or nothing when the list does not answer.
    virtual std::optional<std::set<std::string, std::less<>>> read_leaving() = 0;
};

// Not for use by two threads at once.
std::unique_ptr<host_list> make_http_host_list(std::string_view address, milliseconds timeout);

} // namespace wigeon
