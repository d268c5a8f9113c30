// Calls the model and posts each result to the event loop; no callback runs inside the call.

#include "models/scripted_store.h"

#include <utility>

#include <boost/asio/post.hpp>

namespace wigeon {

void scripted_store::append(std::string_view topic, std::span<const keyed_record> records,
                            const append_condition& condition, std::function<void(append_result)> done)
{
    ++this->append_calls;
    if (this->ignores_appends)
        return;
    append_result result;
    switch (this->append_fault) {
    case store_fault::none:
        result = this->model.append(std::string(topic), records, condition);
        break;
    case store_fault::refusing:
        result.status = append_status::rejected;
        break;
    case store_fault::answer_lost:
        this->model.append(std::string(topic), records, condition);
        break;
    case store_fault::unreachable:
        break;
    case store_fault::late:
        this->late_appends.push_back([this, topic = std::string(topic),
                                      copies = std::vector(records.begin(), records.end()),
                                      condition] { this->model.append(topic, copies, condition); });
        break;
    }
    boost::asio::post(this->loop, [this, result, topic = std::string(topic), done = std::move(done)] {
        if (const auto hook = this->before_append_answer)
            hook(topic);
        done(result);
    });
}

void scripted_store::carry_out_late_appends()
{
    for (const auto& append : std::exchange(this->late_appends, {}))
        append();
}

void scripted_store::append_unkeyed(std::string_view topic, std::string_view record, const append_condition& condition,
                                    std::function<void(append_result)> done)
{
    const std::vector<keyed_record> records{{"", std::string(record)}};
    this->append(topic, records, condition, std::move(done));
}

void scripted_store::read(std::string_view topic, std::uint64_t from, const read_bounds& bounds,
                          std::function<void(read_result)> done)
{
    if (this->ignores_long_polls && bounds.wait > milliseconds(0))
        return;
    read_result result;
    if (this->read_fault == store_fault::none)
        result = this->model.read(std::string(topic), from, this->page_size);
    boost::asio::post(this->loop, [result, done = std::move(done)] { done(result); });
}

void scripted_store::read_unkeyed(std::string_view topic, std::uint64_t from, std::function<void(read_result)> done)
{
    this->read(topic, from, {}, std::move(done));
}

void scripted_store::read_newest(std::string_view topic, std::string_view after, milliseconds timeout,
                                 std::function<void(newest_page)> done)
{
    static_cast<void>(timeout);
    newest_page page;
    if (this->read_fault == store_fault::none)
        page = this->model.read_newest(std::string(topic), std::string(after), this->page_size);
    boost::asio::post(this->loop, [page, done = std::move(done)] { done(page); });
}

} // namespace wigeon
