// Tailing, restoring and applying.

#include "replica/replica.h"

#include "base/adaptive_timeout.h"
#include "base/logging.h"
#include "base/metrics.h"
#include "base/network.h"

namespace wigeon {

namespace {

// Short against the lease of the term: a standby must know that the log answers while it says nothing new.
constexpr milliseconds tail_wait{400};
constexpr milliseconds pause_after_failure{100};
constexpr milliseconds longest_log_call{10'000};
constexpr milliseconds snapshot_call_limit{30'000};
// Beyond the deadline and one call, a caller is not kept waiting for the settling of its record.
constexpr milliseconds settle_margin{1'000};
constexpr milliseconds hurry_time{2'000};

} // namespace

replica::replica(replica_options wanted)
    : options(std::move(wanted)),
      author(generate_incarnation()),
      appender({this->options.log_address, std::string(main_stream), this->options.log_timeout, longest_log_call,
                this->options.append_window},
               this->author, [this] { return this->choose_record_time(); })
{
}

replica::~replica()
{
    this->stop();
}

void replica::start(std::function<StateAnswer(std::uint64_t)> peer_state)
{
    this->ask_peers = std::move(peer_state);
    this->tail = std::thread([this] { this->run_tail(); });
    this->appender.start();
}

void replica::stop()
{
    this->stopping = true;
    this->changed.notify_all();
    if (this->tail.joinable())
        this->tail.join();
    this->appender.stop();
}

steady_time replica::last_log_answer() const
{
    const std::lock_guard lock(this->change_mutex);
    return this->log_answer;
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
    this->hurry();
    return this->appender.submit(std::move(record), deadline);
}

std::uint64_t replica::wait_for_change(std::uint64_t seen, milliseconds limit) const
{
    std::unique_lock lock(this->change_mutex);
    this->changed.wait_for(lock, limit, [this, seen] { return this->changes != seen; });
    return this->changes;
}

void replica::note_change()
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
    this->note_change();
    return true;
}

void replica::append_snapshot()
{
    const SystemState snapshot = this->read([](const replicated_state& current) { return current.make_snapshot(); });
    const std::string serialized = snapshot.SerializeAsString();
    // A long limit: each append that is given up too early would burden a slow log with the same snapshot again.
    const auto log = make_http_log_service(this->options.log_address, snapshot_call_limit);
    log->append(snapshot_stream, std::span(&serialized, 1));
    process_metrics().count("wigeon_snapshots_written_total");
    process_metrics().set_gauge("wigeon_snapshot_bytes", static_cast<double>(serialized.size()));
}

StateAnswer replica::answer_peer(std::uint64_t offset) const
{
    const std::shared_lock lock(this->state_mutex);
    StateAnswer answer;
    if (this->state.next_offset() <= offset)
        return answer;
    LogPage missing = this->history.make_page(offset);
    if (missing.records_size() > 0)
        *answer.mutable_records() = std::move(missing);
    else
        *answer.mutable_state() = this->state.make_snapshot();
    return answer;
}

bool replica::take_over(const StateAnswer& answer)
{
    if (answer.has_state())
        return this->install(answer.state(), "peer");
    const LogPage& page = answer.records();
    const std::uint64_t own = this->read([](const replicated_state& current) { return current.next_offset(); });
    const std::uint64_t end = page.first_offset() + static_cast<std::uint64_t>(page.records_size());
    if (page.first_offset() > own || end <= own)
        return false;
    this->apply_page(page);
    process_metrics().count("wigeon_records_from_peers_total", end - own);
    return true;
}

// Brings the state to a point from which the log still has every record. Returns false when neither the
// stream of snapshots nor a peer has such a state.
bool replica::restore(log_service& log)
{
    const std::uint64_t own = this->read([](const replicated_state& current) { return current.next_offset(); });
    const LogPage bounds = log.read(main_stream, log_service::end_of_stream, milliseconds(0));
    const LogPage snapshots = log.read(snapshot_stream, log_service::end_of_stream, milliseconds(0));
    if (snapshots.end_offset() > snapshots.earliest_offset()) {
        const LogPage last = log.read(snapshot_stream, snapshots.end_offset() - 1, milliseconds(0));
        SystemState snapshot;
        if (last.records_size() > 0 && snapshot.ParseFromString(last.records(last.records_size() - 1)))
            this->install(snapshot, "snapshot");
    }
    const auto reaches = [&] {
        const std::uint64_t next = this->read([](const replicated_state& s) { return s.next_offset(); });
        return next >= bounds.earliest_offset();
    };
    if (!reaches()) {
        const StateAnswer answer = this->ask_peers(own);
        this->take_over(answer);
    }
    if (reaches()) {
        this->ready_offset = bounds.end_offset();
        return true;
    }
    count_refusal("state_gap");
    log_event("state_gap",
              {{"next_offset", std::to_string(own)}, {"earliest_offset", std::to_string(bounds.earliest_offset())}});
    return false;
}

void replica::run_tail()
{
    const auto log = make_http_log_service(this->options.log_address, this->options.log_timeout);
    adaptive_timeout limit(this->options.log_timeout, longest_log_call);
    bool is_restored = false;
    bool is_reachable = true;
    while (!this->stopping) {
        log->set_timeout(limit.current());
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
            const LogPage page = log->read(main_stream, next, tail_wait);
            limit.record_success(elapsed_ms(begin, read_steady_clock()));
            {
                const std::lock_guard lock(this->change_mutex);
                this->log_answer = read_steady_clock();
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
            this->pause_reading();
        }
        catch (const log_call_error& failure) {
            count_retry("log_read");
            limit.record_failure(elapsed_ms(begin, read_steady_clock()));
            if (is_reachable)
                log_event("log_unreachable", {{"detail", failure.what()}});
            is_reachable = false;
            // Without the log, a process that starts takes its first state from a peer. A later one
            // comes through the gossip, which knows whether a peer is ahead.
            if (!this->ready) {
                const StateAnswer answer = this->ask_peers(0);
                if (this->take_over(answer))
                    this->ready = true;
            }
            std::this_thread::sleep_for(pause_after_failure);
        }
        this->appender.expire(read_steady_clock());
    }
}

void replica::hurry()
{
    {
        const std::lock_guard lock(this->change_mutex);
        this->hurry_until = read_steady_clock() + hurry_time;
    }
    this->changed.notify_all();
}

void replica::catch_up(milliseconds limit)
{
    const steady_time begin = read_steady_clock();
    this->hurry();
    std::unique_lock lock(this->change_mutex);
    this->changed.wait_for(lock, limit, [this, begin] { return this->log_answer > begin; });
}

void replica::pause_reading()
{
    if (this->options.read_pause.count() == 0 || !this->ready)
        return;
    std::unique_lock lock(this->change_mutex);
    this->changed.wait_for(lock, this->options.read_pause,
                           [this] { return read_steady_clock() < this->hurry_until || this->stopping; });
}

void replica::apply_page(const LogPage& page)
{
    std::vector<apply_result> own_results;
    {
        const std::unique_lock lock(this->state_mutex);
        std::uint64_t offset = page.first_offset();
        for (const std::string& record : page.records()) {
            // A state installed from a peer meanwhile may already cover the head of this page.
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
    this->note_change();
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
