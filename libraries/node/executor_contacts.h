// A leader's contact with the executors: follows their entries in the directory, looks at each of them again and again,
// and carries orders to them. What they answer goes to the dispatcher.

#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "dispatch/dispatcher.h"
#include "node/node_connections.h"
#include "store/topic_reader.h"

namespace wigeon {

class executor_contacts : public std::enable_shared_from_this<executor_contacts> {
public:
    class listener {
    public:
        virtual ~listener() = default;
        // Something has changed that may allow other decisions.
        virtual void take_news() = 0;
        // An executor follows a later leader.
        virtual void take_fence() = 0;
    };

    executor_contacts(boost::asio::io_context& loop, const node_connections& outside, dispatcher& work,
                      std::uint64_t fencing_token, listener& owner);
    ~executor_contacts();

    executor_contacts(const executor_contacts&) = delete;
    executor_contacts& operator=(const executor_contacts&) = delete;

    // Follows the directory. What an executor says means nothing before the jobs are known, so it is not asked yet.
    void start();
    void begin_looks();

    // Neither the dispatcher nor the listener is called after this.
    void stop();

    [[nodiscard]] bool is_directory_read() const { return this->directory->is_paged(); }
    [[nodiscard]] bool are_most_known() const;

    void send_start(const start_order& order);
    void send_stops(boot_time now);
    void look_soon(const std::string& id) { this->schedule_look(id, milliseconds(0)); }

private:
    // With one executor.
    struct link {
        bool is_looking = false;
        std::unique_ptr<boost::asio::steady_timer> timer;
        std::uint32_t failures_in_row = 0;
    };

    class directory_consumer;

    void take_start_result(const start_order& order, const order_result& result, boot_time now);
    void schedule_denial(const stop_order& order);
    void look(const std::string& id);
    void schedule_look(const std::string& id, milliseconds pause);
    void take_look(const std::string& id, boot_time sent_at, const look_result& result);
    void take_failed_look(const std::string& id, link& failed, const look_result& result);
    void take_fence(const std::string& id);

    boost::asio::io_context& loop;
    executor_service& executors;
    dispatcher& work;
    const document_decoder& decoder;
    const std::uint64_t fencing_token;
    listener& owner;
    std::unique_ptr<directory_consumer> directory_taker;
    std::shared_ptr<topic_reader> directory;
    std::map<std::string, link, std::less<>> links;
    bool is_active = false; // From begin_looks until stop.
    bool is_stopped = false;
};

} // namespace wigeon
