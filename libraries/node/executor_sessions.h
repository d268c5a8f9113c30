// A leader's sessions with the executors: follows their entries in the directory, polls each of them, sends them
// orders, and passes their answers to the dispatcher.

#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "dispatch/dispatcher.h"
#include "net/asio_scheduler.h"
#include "node/external_services.h"
#include "store/topic_reader.h"

namespace wigeon {

class executor_sessions : public std::enable_shared_from_this<executor_sessions> {
public:
    class listener {
    public:
        virtual ~listener() = default;
        // Called after a change that may allow new decisions.
        virtual void handle_change() = 0;
        // Called when an executor has refused this leader's fencing token, since it has seen a higher one.
        virtual void handle_fenced() = 0;
        // Called before a lease is renewed. False when this process may have been replaced without knowing it and must
        // not keep tasks running any more; it has stopped these sessions then.
        virtual bool check_leadership(boot_time now) = 0;
        // Whether certainly no other process leads. Must hold when an order to start or stop a task is sent.
        [[nodiscard]] virtual bool may_send_orders(boot_time now) const = 0;
    };

    executor_sessions(boost::asio::io_context& loop, const external_services& external, dispatcher& job_dispatcher,
                      std::uint64_t fencing_token, listener& event_listener);
    ~executor_sessions();

    executor_sessions(const executor_sessions&) = delete;
    executor_sessions& operator=(const executor_sessions&) = delete;

    // Starts to follow the directory. Executors are not polled yet: their answers can't be interpreted before the jobs
    // are loaded.
    void start();
    void start_polling();

    // Renews the leases of all executors if that is due, without a look at what they run. For a leader whose jobs are
    // not loaded yet; called repeatedly until start_polling().
    void renew_leases(boot_time now);

    // Called after a configuration or a job may have named a pool for the first time.
    void handle_pool_change(boot_time now);

    // Neither the dispatcher nor the listener is called afterwards.
    void stop();

    [[nodiscard]] bool is_directory_read() const { return this->directory->is_loaded(); }
    [[nodiscard]] bool are_most_reached() const;

    void send_start(const start_order& order);
    void send_stops(boot_time now);
    void poll_now(const std::string& id) { this->schedule_poll(id, milliseconds(0)); }

private:
    // The polling of one executor.
    struct session {
        bool is_polling = false;
        std::unique_ptr<boost::asio::steady_timer> timer;
        std::uint32_t consecutive_failures = 0;
        boot_time leases_renewed_at; // Before polling; when the newest of these calls was sent.
    };

    class directory_consumer;

    void handle_start_result(const start_order& order, const order_result& result, boot_time sent_at, boot_time now);
    void log_start(std::string_view event, const start_order& order, std::string_view reason, boot_time sent_at,
                   boot_time now) const;
    void schedule_stop_check(const stop_order& order);
    void renew_leases_of(const std::string& id, boot_time now);
    void handle_renewal_result(const std::string& id, boot_time sent_at, poll_result result);
    void poll(const std::string& id);
    void schedule_poll(const std::string& id, milliseconds delay);
    void handle_poll_result(const std::string& id, boot_time sent_at, const poll_result& result);
    void handle_poll_failure(const std::string& id, session& failed_session, const poll_result& result);
    void handle_fenced(const std::string& id);

    boost::asio::io_context& loop;
    asio_scheduler scheduler;
    executor_service& executors;
    dispatcher& job_dispatcher;
    const document_decoder& decoder;
    const std::uint64_t fencing_token;
    listener& event_listener;
    std::unique_ptr<directory_consumer> directory_topic_consumer;
    std::shared_ptr<topic_reader> directory;
    std::map<std::string, session, std::less<>> sessions;
    bool is_active = false; // From start_polling until stop.
    bool is_stopped = false;
};

} // namespace wigeon
