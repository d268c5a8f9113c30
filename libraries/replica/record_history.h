// The newest records that this process applied, for peers that are cut off from the log: handing over what they miss
// costs a small share of handing over the state.

#pragma once

#include <cstdint>
#include <deque>
#include <string>

#include "wigeon.pb.h"

namespace wigeon {

class record_history {
public:
    explicit record_history(std::size_t max_bytes) : max_bytes(max_bytes) {}

    // Records come in the order of their offsets. After a gap, the history begins anew.
    void add(std::uint64_t offset, std::string record);

    // All records from the offset on; without records when some of them are no longer kept, or none is newer.
    [[nodiscard]] LogPage make_page(std::uint64_t from) const;

private:
    const std::size_t max_bytes;
    std::uint64_t first_offset = 0; // Of records.front().
    std::size_t total_bytes = 0;    // Sum of the sizes of the records, at most limit_bytes.
    std::deque<std::string> records;
};

} // namespace wigeon
