// Tails the log, restores the state after a gap, and applies records.

#include "replica/replica.h"

#include "base/adaptive_timeout.h"
#include "base/logging.h"
#include "base/metrics.h"
#include "base/network.h"

namespace wigeon {

namespace {

// Short compared to the lease of the term: a standby must learn that the log responds even when it has no new records.
constexpr milliseconds tail_read_wait{400};
constexpr milliseconds retry_delay{100};
constexpr milliseconds max_log_timeout{10'000};
constexpr milliseconds snapshot_append_timeout{30'000};
// A caller waits for its record at most until its deadline plus one log_timeout plus this margin.
constexpr milliseconds settle_margin{1'000};
constexpr milliseconds expedite_duration{2'000};

} // namespace

replica::replica(replica_options given_options)
    : options(std::move(given_options)),
      author(generate_incarnation()),
      appender({this->options.log_address, std::string(main_stream), this->options.log_timeout, max_log_timeout,
                this->options.append_window},
               this->author, [this] { return this->choose_record_time(); })
{
}

replica::~replica()
{
    this->stop();
}

void replica::start(std::function<StateAnswer(std::uint64_t)> fetch_peer_state)
{
    this->fetch_peer_state = std::move(fetch_peer_state);
    this->tail_thread = std::thread([this] { this->run_tail(); });
    this->appender.start();
}

void replica::stop()
{
    this->stopping = true;
    this->changed.notify_all();
    if (this->tail_thread.joinable())
        this->tail_thread.join();
    this->appender.stop();
}

steady_time replica::last_log_response_at() const
{
    const std::lock_guard lock(this->change_mutex);
    return this->log_responded_at;
}

apply_result replica::submit(Record record, steady_time deadline)
{
    std::future<apply_result> outcome = this->submit_later(std::move(record), deadline);
    const steady_time end = deadline + this->options.log_timeout + settle_margin;
    if (outcome.wait_until(end) != std::future_status::ready)
        throw error(error_kind::log_uncertain, "the record was not settled in time");
    return outcome.get();
}

std::future<apply_result> replica::submit_later(Record record, steady_time deadline)
{
    this->expedite_reads();
    return this->appender.submit(std::move(record), deadline);
}

std::uint64_t replica::wait_for_change(std::uint64_t seen, milliseconds timeout) const
{
    std::unique_lock lock(this->change_mutex);
    this->changed.wait_for(lock, timeout, [this, seen] { return this->changes != seen; });
    return this->changes;
}

void replica::notify_change()
{
    {
        const std::lock_guard lock(this->change_mutex);
        ++this->changes;
    }
    this->changed.notify_all();
}

bool replica::install(const SystemState& newer, std::string_view source)
{
    {
        const std::unique_lock lock(this->state_mutex);
        const bool would_revert = newer.configuration().version() < this->state.configuration().version();
        if (newer.next_offset() <= this->state.next_offset() || would_revert)
            return false;
        this->state = replicated_state(newer);
    }
    process_metrics().count("wigeon_states_installed_total{source=\"" + std::string(source) + "\"}");
    log_event("state_installed", {{"source", std::string(source)},
                                  {"next_offset", std::to_string(newer.next_offset())},
                                  {"configuration_version", std::to_string(newer.configuration().version())}});
    this->notify_change();
    return true;
}

void replica::append_snapshot()
{
    const SystemState snapshot = this->read([](const replicated_state& current) { return current.make_snapshot(); });
    const std::string serialized = snapshot.SerializeAsString();
    // The timeout is long because an append abandoned too early makes a slow log process the same snapshot again.
    const auto log = make_http_log_service(this->options.log_address, snapshot_append_timeout);
    log->append(snapshot_stream, std::span(&serialized, 1));
    process_metrics().count("wigeon_snapshots_written_total");
    process_metrics().set_gauge("wigeon_snapshot_bytes", static_cast<double>(serialized.size()));
}

StateAnswer replica::make_state_response(std::uint64_t offset) const
{
    const std::shared_lock lock(this->state_mutex);
    StateAnswer response;
    if (this->state.next_offset() <= offset)
        return response;
    LogPage missing = this->history.make_page(offset);
    if (missing.records_size() > 0)
        *response.mutable_records() = std::move(missing);
    else
        *response.mutable_state() = this->state.make_snapshot();
    return response;
}

bool replica::apply_state_response(const StateAnswer& response)
{
    if (response.has_state())
        return this->install(response.state(), "peer");
    const LogPage& page = response.records();
    const std::uint64_t own_offset = this->read([](const replicated_state& current) { return current.next_offset(); });
    const std::uint64_t end = page.first_offset() + static_cast<std::uint64_t>(page.records_size());
    if (page.first_offset() > own_offset || end <= own_offset)
        return false;
    this->apply_page(page);
    process_metrics().count("wigeon_records_from_peers_total", end - own_offset);
    return true;
}

// Installs, where needed, a state from which on the log still has every record. Returns false when neither the snapshot
// stream nor a peer has such a state.
bool replica::restore(log_service& log)
{
    const std::uint64_t own_offset = this->read([](const replicated_state& current) { return current.next_offset(); });
    const LogPage log_range = log.read(main_stream, log_service::end_of_stream, milliseconds(0));
    const LogPage snapshots = log.read(snapshot_stream, log_service::end_of_stream, milliseconds(0));
    if (snapshots.end_offset() > snapshots.earliest_offset()) {
        const LogPage last = log.read(snapshot_stream, snapshots.end_offset() - 1, milliseconds(0));
        SystemState snapshot;
        if (last.records_size() > 0 && snapshot.ParseFromString(last.records(last.records_size() - 1)))
            this->install(snapshot, "snapshot");
    }
    const auto is_covered_by_log = [&] {
        const std::uint64_t next = this->read([](const replicated_state& s) { return s.next_offset(); });
        return next >= log_range.earliest_offset();
    };
    if (!is_covered_by_log()) {
        const StateAnswer response = this->fetch_peer_state(own_offset);
        this->apply_state_response(response);
    }
    if (is_covered_by_log()) {
        this->ready_offset = log_range.end_offset();
        return true;
    }
    count_refusal("state_gap");
    log_event("state_gap", {{"next_offset", std::to_string(own_offset)},
                            {"earliest_offset", std::to_string(log_range.earliest_offset())}});
    return false;
}

void replica::run_tail()
{
    const auto log = make_http_log_service(this->options.log_address, this->options.log_timeout);
    adaptive_timeout timeout(this->options.log_timeout, max_log_timeout);
    bool is_restored = false;
    bool is_reachable = true;
    while (!this->stopping) {
        log->set_timeout(timeout.current());
        const steady_time begin = read_steady_clock();
        try {
            if (!is_restored) {
                is_restored = this->restore(*log);
                if (!is_restored) {
                    std::this_thread::sleep_for(milliseconds(1000));
                    continue;
                }
            }
            const std::uint64_t next = this->read([](const replicated_state& s) { return s.next_offset(); });
            const LogPage page = log->read(main_stream, next, tail_read_wait);
            timeout.record_success(elapsed_ms(begin, read_steady_clock()));
            {
                const std::lock_guard lock(this->change_mutex);
                this->log_responded_at = read_steady_clock();
            }
            this->changed.notify_all();
            if (!is_reachable)
                log_event("log_reachable", {});
            is_reachable = true;
            if (page.earliest_offset() > next)
                is_restored = false;
            else if (page.records_size() > 0)
                this->apply_page(page);
            if (this->read([](const replicated_state& s) { return s.next_offset(); }) >= this->ready_offset)
                this->ready = true;
            this->delay_next_read();
        }
        catch (const log_call_error& failure) {
            count_retry("log_read");
            timeout.record_failure(elapsed_ms(begin, read_steady_clock()));
            if (is_reachable)
                log_event("log_unreachable", {{"detail", failure.what()}});
            is_reachable = false;
            // While the log is unreachable, a starting process takes its first state from a peer. Later states are
            // fetched by peer_gossip, which knows whether a peer is ahead.
            if (!this->ready) {
                const StateAnswer response = this->fetch_peer_state(0);
                if (this->apply_state_response(response))
                    this->ready = true;
            }
            std::this_thread::sleep_for(retry_delay);
        }
        this->appender.expire(read_steady_clock());
    }
}

void replica::expedite_reads()
{
    {
        const std::lock_guard lock(this->change_mutex);
        this->expedite_until = read_steady_clock() + expedite_duration;
    }
    this->changed.notify_all();
}

void replica::wait_for_read(milliseconds timeout)
{
    const steady_time begin = read_steady_clock();
    this->expedite_reads();
    std::unique_lock lock(this->change_mutex);
    this->changed.wait_for(lock, timeout, [this, begin] { return this->log_responded_at > begin; });
}

void replica::delay_next_read()
{
    if (this->options.idle_read_delay.count() == 0 || !this->ready)
        return;
    std::unique_lock lock(this->change_mutex);
    this->changed.wait_for(lock, this->options.idle_read_delay,
                           [this] { return read_steady_clock() < this->expedite_until || this->stopping; });
}

void replica::apply_page(const LogPage& page)
{
    std::vector<apply_result> own_results;
    {
        const std::unique_lock lock(this->state_mutex);
        std::uint64_t offset = page.first_offset();
        for (const std::string& record : page.records()) {
            // A state that was installed from a peer meanwhile may already include the first records of this page.
            if (offset >= this->state.next_offset()) {
                apply_result result = this->state.apply(offset, record);
                this->history.add(offset, record);
                if (result.author == this->author)
                    own_results.push_back(std::move(result));
            }
            ++offset;
        }
    }
    process_metrics().count("wigeon_records_applied_total", static_cast<std::uint64_t>(page.records_size()));
    for (const apply_result& result : own_results)
        this->appender.resolve(result);
    this->notify_change();
}

std::uint64_t replica::choose_record_time() const
{
    const std::uint64_t wall_clock_ms = read_wall_clock_ms();
    const std::uint64_t chosen =
        this->read([&](const replicated_state& current) { return current.choose_record_time(wall_clock_ms); });
    process_metrics().set_gauge("wigeon_log_clock_ahead_ms", static_cast<double>(chosen - wall_clock_ms));
    return chosen;
}

} // namespace wigeon
