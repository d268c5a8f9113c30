// An in-memory model of the platform's store for tests: topics with offsets, conditional appends, idempotent producers,
// and the newest record of each key.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "store/record_store.h"

namespace wigeon {

class store_model {
public:
    // Refuses records beyond `limits`, as the store does.
    append_result append(const std::string& topic, std::span<const keyed_record> records,
                         const append_condition& condition);

    // `limit`: the largest number of records in the result.
    [[nodiscard]] read_result read(const std::string& topic, std::uint64_t from, std::size_t limit) const;
    [[nodiscard]] newest_page read_newest(const std::string& topic, const std::string& after, std::size_t limit) const;

    // Drops all records of the topic from its history; read_newest() still returns the newest record of each key.
    void trim_history(const std::string& topic);

    append_limits limits;

private:
    struct producer_state {
        std::uint64_t epoch = 0;
        std::uint64_t next_sequence = 0;
        bool has_sequence = false;
        std::map<std::uint64_t, append_result> results; // Of the last appends, by sequence number.
    };

    struct topic_state {
        std::uint64_t first_offset = 0;
        std::vector<keyed_record> records; // From `first_offset` on.
        std::map<std::string, stored_record> newest;
        std::map<std::string, producer_state> producers;

        [[nodiscard]] std::uint64_t end() const { return this->first_offset + this->records.size(); }
    };

    std::map<std::string, topic_state> topics;
};

} // namespace wigeon
