// Counts bytes as the store does: each record's content, and conservatively the length field before it.

#include "store/append_limits.h"

#include <algorithm>

namespace wigeon {

namespace {

constexpr std::size_t length_field_bytes = 4;
constexpr std::size_t key_length_bytes = 1;

} // namespace

std::size_t measure_record(const keyed_record& record)
{
    return key_length_bytes + record.key.size() + (record.value ? record.value->size() : 0);
}

std::size_t measure_append(std::span<const keyed_record> records)
{
    std::size_t bytes = 0;
    for (const keyed_record& record : records)
        bytes += length_field_bytes + measure_record(record);
    return bytes;
}

std::span<const keyed_record> take_append(std::span<const keyed_record> records, const append_limits& limits)
{
    std::size_t bytes = 0;
    std::size_t count = 0;
    for (const keyed_record& record : records) {
        bytes += length_field_bytes + measure_record(record);
        if (bytes > limits.call_bytes && count > 0)
            break;
        ++count;
    }
    return records.first(count);
}

bool is_within(std::span<const keyed_record> records, const append_limits& limits)
{
    return measure_append(records) <= limits.call_bytes &&
           std::all_of(records.begin(), records.end(),
                       [&limits](const keyed_record& record) { return measure_record(record) <= limits.record_bytes; });
}

} // namespace wigeon
