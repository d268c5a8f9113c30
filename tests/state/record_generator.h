// Generates random logs for tests from one seed: valid records, records that race with others, duplicates and void
// records.

#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "wigeon.pb.h"

namespace wigeon::test {

// A fleet of racks with equal workers, accounts with one guaranteed shape each (none for 0 `guaranteed_workers`), and
// the classes batch, strict and urgent.
Configuration make_small_configuration(int racks, int workers_per_rack, int accounts, std::uint32_t guaranteed_workers);

JobRequest make_job(const std::string& account, const std::string& key, std::uint32_t tasks,
                    std::uint32_t accelerators);

class record_generator {
public:
    explicit record_generator(std::uint64_t seed) : random(seed) {}

    // Serialized records in the order of the log.
    std::vector<std::string> make_log(std::size_t length);

private:
    Record make_record();
    void fill_body(Record& record);
    Decision make_decision();
    std::uint32_t draw(std::uint32_t limit) { return static_cast<std::uint32_t>(this->random() % limit); }
    std::string draw_job();

    std::mt19937_64 random;
    std::uint64_t time_ms = 1'000'000;
    std::uint64_t term = 0;
    std::uint64_t version = 0;
    std::map<std::uint64_t, std::uint64_t> sequences;
};

} // namespace wigeon::test
