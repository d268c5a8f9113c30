// Offers store_model through the record_store interface, on an event loop, with faults that a test sets and clears.

#pragma once

#include <functional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "models/store_model.h"
#include "store/record_store.h"

namespace wigeon {

enum class store_fault : std::uint8_t {
    none,
    refusing,    // Reports that certainly nothing was done.
    answer_lost, // Carries out the append, but reports an unknown outcome.
    unreachable, // Does nothing and reports an unknown outcome or a failed read.
    late,        // Reports an unknown outcome; the append is carried out when the test says so.
};

class scripted_store : public record_store {
public:
    explicit scripted_store(boost::asio::io_context& event_loop) : loop(event_loop) {}

    store_model model;
    store_fault append_fault = store_fault::none;
    store_fault read_fault = store_fault::none;
    bool ignores_long_polls = false; // Reads with a wait time are never answered.
    bool ignores_appends = false;    // Appends are never answered.
    std::size_t append_calls = 0;
    // Called once an append has been carried out and before it is answered. Empty: nothing is called.
    std::function<void(std::string_view topic)> before_append_answer;
    std::size_t page_size = 2; // Small, so that tests read several pages.

    // Carries out the appends that were late, in the order in which they were sent, if their condition still holds.
    void carry_out_late_appends();

    [[nodiscard]] append_limits limits() const override { return this->model.limits; }
    void append(std::string_view topic, std::span<const keyed_record> records, const append_condition& condition,
                std::function<void(append_result)> done) override;
    void append_unkeyed(std::string_view topic, std::string_view record, const append_condition& condition,
                        std::function<void(append_result)> done) override;
    void read(std::string_view topic, std::uint64_t from, const read_bounds& bounds,
              std::function<void(read_result)> done) override;
    void read_unkeyed(std::string_view topic, std::uint64_t from, std::function<void(read_result)> done) override;
    void read_newest(std::string_view topic, std::string_view after, milliseconds timeout,
                     std::function<void(newest_page)> done) override;

private:
    boost::asio::io_context& loop;
    std::vector<std::function<void()>> late_appends;
};

} // namespace wigeon
