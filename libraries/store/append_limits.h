// The sizes that the store accepts in one append, and the division of longer lists of records.

#pragma once

#include <cstddef>
#include <span>

#include "store/record_store.h"

namespace wigeon {

// Returns the size of the record's content in bytes, which the store compares with append_limits::record_bytes.
std::size_t measure_record(const keyed_record& record);

// Returns the bytes that the records add to one append, which the store compares with append_limits::call_bytes.
std::size_t measure_append(std::span<const keyed_record> records);

// Returns the longest prefix of the records that one append may hold; at least one record if there are any.
std::span<const keyed_record> take_append(std::span<const keyed_record> records, const append_limits& limits);

// Whether the store accepts the records in one append. If not, no repetition of the append can succeed.
bool is_within(std::span<const keyed_record> records, const append_limits& limits);

} // namespace wigeon
