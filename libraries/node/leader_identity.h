// Names the process that claims the term and leads.

#pragma once

#include <cstdint>
#include <string>

namespace wigeon {

struct leader_identity {
    std::string node;
    std::uint64_t incarnation = 0;
};

} // namespace wigeon
