// The store model behind the system's interface, on an event loop, with faults that a test turns on and off.

#pragma once

#include <functional>
#include <string>

#include <boost/asio/io_context.hpp>

#include "models/store_model.h"
#include "store/record_store.h"

namespace wigeon {

enum class store_fault : std::uint8_t {
    none,
    refusing,    // Says at once that nothing was done.
    answer_lost, // Does what it is told and gives no answer.
    unreachable, // Does nothing and gives no answer.
};

class scripted_store : public record_store {
public:
    explicit scripted_store(boost::asio::io_context& event_loop) : loop(event_loop) {}

    store_model model;
    store_fault append_fault = store_fault::none;
    store_fault read_fault = store_fault::none;
    bool ignores_long_polls = false; // Reads that may wait are not answered.
    std::size_t append_calls = 0;
    std::size_t page_size = 2; // Small, so that tests see several pages.

    void append(std::string_view topic, std::span<const keyed_record> records, const append_condition& condition,
                std::function<void(append_result)> done) override;
    void append_unkeyed(std::string_view topic, std::string_view record, const append_condition& condition,
                        std::function<void(append_result)> done) override;
    void read(std::string_view topic, std::uint64_t from, milliseconds wait,
              std::function<void(read_result)> done) override;
    void read_unkeyed(std::string_view topic, std::uint64_t from, std::function<void(read_result)> done) override;
    void read_newest(std::string_view topic, std::string_view after, std::function<void(newest_page)> done) override;

private:
    boost::asio::io_context& loop;
};

} // namespace wigeon
