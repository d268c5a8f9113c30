// The newest records that this process applied, for peers that are partitioned from the log: sending the records that
// they miss costs a small fraction of sending the state.

#pragma once

#include <cstdint>
#include <deque>
#include <string>

#include "wigeon.pb.h"

namespace wigeon {

class record_history {
public:
    explicit record_history(std::size_t max_bytes) : max_bytes(max_bytes) {}

    // Adds a record; call in the order of offsets. A gap in the offsets clears the earlier records.
    void add(std::uint64_t offset, std::string record);

    // Returns all records from the offset on; an empty page when some of them are no longer kept or there are none.
    [[nodiscard]] LogPage make_page(std::uint64_t from) const;

private:
    const std::size_t max_bytes;
    std::uint64_t first_offset = 0; // Of records.front().
    std::size_t total_bytes = 0;    // Sum of the sizes of the records, at most max_bytes.
    std::deque<std::string> records;
};

} // namespace wigeon
