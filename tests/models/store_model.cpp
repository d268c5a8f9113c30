// Implements the store's rules for appends and reads.

#include "models/store_model.h"

#include <algorithm>

#include "store/append_limits.h"

namespace wigeon {

namespace {

constexpr std::size_t max_remembered_results = 5;

} // namespace

append_result store_model::append(const std::string& topic, std::span<const keyed_record> records,
                                  const append_condition& condition)
{
    topic_state& state = this->topics[topic];
    append_result result;
    result.end = state.end();
    if (!is_within(records, this->limits)) {
        result.status = append_status::refused;
        return result;
    }
    producer_state* producer = nullptr;
    if (condition.producer) {
        producer = &state.producers[condition.producer->name];
        if (condition.producer->epoch < producer->epoch) {
            result.status = append_status::fenced;
            return result;
        }
        if (condition.producer->epoch > producer->epoch) {
            producer->epoch = condition.producer->epoch;
            producer->has_sequence = false;
            producer->results.clear();
        }
        const auto previous = producer->results.find(condition.producer->sequence);
        if (previous != producer->results.end())
            return previous->second;
        if (producer->has_sequence && condition.producer->sequence != producer->next_sequence) {
            result.status = append_status::out_of_sequence;
            result.expected_sequence = producer->next_sequence;
            return result;
        }
    }
    if (condition.expected_end && *condition.expected_end != state.end()) {
        result.status = append_status::condition_failed;
        return result;
    }
    result.status = append_status::done;
    result.offset = state.end();
    for (const keyed_record& record : records) {
        if (record.value)
            state.newest[record.key] = {state.end(), record};
        else
            state.newest.erase(record.key);
        state.records.push_back(record);
    }
    result.end = state.end();
    if (producer != nullptr) {
        producer->has_sequence = true;
        producer->next_sequence = condition.producer->sequence + 1;
        producer->results[condition.producer->sequence] = result;
        if (producer->results.size() > max_remembered_results)
            producer->results.erase(producer->results.begin());
    }
    return result;
}

read_result store_model::read(const std::string& topic, std::uint64_t from, std::size_t limit) const
{
    read_result result;
    result.status = read_status::done;
    const auto found = this->topics.find(topic);
    if (found == this->topics.end())
        return result;
    const topic_state& state = found->second;
    result.end = state.end();
    result.first_offset = state.first_offset;
    if (from < state.first_offset) {
        result.status = read_status::trimmed;
        return result;
    }
    for (std::uint64_t offset = from; offset < state.end() && result.records.size() < limit; ++offset)
        result.records.push_back({offset, state.records[offset - state.first_offset]});
    return result;
}

newest_page store_model::read_newest(const std::string& topic, const std::string& after, std::size_t limit) const
{
    newest_page page;
    page.is_done = true;
    const auto found = this->topics.find(topic);
    if (found == this->topics.end())
        return page;
    page.end = found->second.end();
    for (auto entry = found->second.newest.upper_bound(after); entry != found->second.newest.end(); ++entry) {
        if (page.records.size() == limit) {
            page.has_more = true;
            break;
        }
        page.records.push_back(entry->second);
    }
    return page;
}

void store_model::trim_history(const std::string& topic)
{
    topic_state& state = this->topics[topic];
    state.first_offset = state.end();
    state.records.clear();
}

} // namespace wigeon
