// Turns changes into records and appends them; the topics of units and states in parallel.

#include "node/progress_recorder.h"

#include <utility>

#include "base/logging.h"
#include "jobs/job_keys.h"
#include "jobs/unit_records.h"

namespace wigeon {

namespace {

// The leader appends a record at least this often to the topic that followers read, so that they see that it is alive:
// four intervals make up their timeout of 1.6 s.
constexpr milliseconds heartbeat_interval{400};

// Version of the per-unit format in the mark.
constexpr std::uint32_t unit_format_version = 1;

// Size of one append of a conversion, in bytes, apart from its last record. The store takes 2 MB a call.
constexpr std::size_t conversion_batch_bytes = 500'000;

keyed_record make_state_record(const std::string& job, records::JobPhase phase)
{
    records::JobState state;
    state.set_phase(phase);
    return {job, state.SerializeAsString()};
}

// Collects records into appends of limited size.
class batch_builder {
public:
    explicit batch_builder(std::size_t limit) : byte_limit(limit) {}

    void add(keyed_record record)
    {
        if (this->batches.empty() || this->bytes > this->byte_limit) {
            this->batches.emplace_back();
            this->bytes = 0;
        }
        this->bytes += record.key.size() + (record.value ? record.value->size() : 0);
        this->batches.back().push_back(std::move(record));
    }

    std::vector<std::vector<keyed_record>> batches;

private:
    std::size_t byte_limit;
    std::size_t bytes = 0;
};

} // namespace

progress_recorder::progress_recorder(boost::asio::io_context& loop, record_store& store, node_state& shared_state,
                                     const leader_identity& own_identity, std::uint64_t own_term, boot_time now)
    : state(shared_state),
      identity(own_identity),
      term(own_term),
      job_writer(std::make_shared<progress_writer>(loop, store, progress_topic, own_term, now)),
      unit_writer(std::make_shared<progress_writer>(loop, store, units_topic, own_term, now)),
      state_writer(std::make_shared<progress_writer>(loop, store, states_topic, own_term, now))
{
}

void progress_recorder::fence_former_leader(handler done)
{
    this->append_all({{this->job_writer, {}}, {this->unit_writer, {}}, {this->state_writer, {}}}, std::move(done));
}

keyed_record progress_recorder::make_heartbeat(const heartbeat& content) const
{
    records::LeaderBeat record;
    record.set_node(this->identity.node);
    record.set_incarnation(this->identity.incarnation);
    record.set_term(this->term);
    record.set_resigned(content.is_resigning);
    record.set_executors(static_cast<std::uint32_t>(content.leases.executors));
    for (const suspended_lease& lease : content.leases.suspended) {
        records::SuspendedLease& suspended = *record.add_suspended_leases();
        suspended.set_executor(lease.executor);
        suspended.set_address(lease.address);
        suspended.set_born_ms(lease.incarnation_ms);
        suspended.set_left_ms(static_cast<std::uint32_t>(lease.left.count()));
    }
    return {std::string(leader_key), record.SerializeAsString()};
}

bool progress_recorder::is_heartbeat_due(boot_time now) const
{
    return now - this->last_followed_append >= heartbeat_interval;
}

void progress_recorder::send_heartbeat(const heartbeat& content, boot_time now, handler done)
{
    this->last_followed_append = now;
    this->append_all({{this->followed_writer().shared_from_this(), {this->make_heartbeat(content)}}}, std::move(done));
}

// Phases that are not final wait for the next append that is made anyway: callers see them a heartbeat later at most.
std::vector<keyed_record> progress_recorder::take_phase_records(const dispatch_changes& changes, bool is_due)
{
    std::vector<keyed_record> records;
    for (const dispatch_changes::phase_record& changed : changes.phases) {
        if (!is_final(changed.phase)) {
            this->unsent_phases[changed.job] = changed.phase;
            continue;
        }
        this->unsent_phases.erase(changed.job);
        records.push_back(make_state_record(changed.job, changed.phase));
    }
    if (!is_due && records.empty())
        return records;
    for (const auto& [job, phase] : this->unsent_phases)
        records.push_back(make_state_record(job, phase));
    this->unsent_phases.clear();
    return records;
}

bool progress_recorder::record(const dispatch_changes& changes, removals removed, const std::optional<heartbeat>& beat,
                               boot_time now, handler done)
{
    std::vector<keyed_record> followed = this->take_phase_records(changes, beat.has_value());
    for (const dispatch_changes::job_record& changed : changes.records)
        followed.push_back({changed.job, changed.progress.SerializeAsString()});
    std::move(removed.progress.begin(), removed.progress.end(), std::back_inserter(followed));
    if (beat)
        followed.push_back(this->make_heartbeat(*beat));
    std::vector<keyed_record> units = std::move(removed.units);
    for (const dispatch_changes::unit_record& changed : changes.units) {
        auto content = changed.content ? std::optional(changed.content->SerializeAsString()) : std::nullopt;
        units.push_back({changed.key, std::move(content)});
    }
    std::vector<topic_append> all;
    if (!units.empty())
        all.push_back({this->unit_writer, std::move(units)});
    if (!followed.empty()) {
        this->last_followed_append = now;
        all.push_back({this->followed_writer().shared_from_this(), std::move(followed)});
    }
    if (all.empty())
        return false;
    this->append_all(std::move(all), std::move(done));
    return true;
}

void progress_recorder::append_all(std::vector<topic_append> all, handler done)
{
    this->appends = std::move(all);
    this->unanswered_appends = this->appends.size();
    this->on_appended = std::move(done);
    const auto handle = [self = this->shared_from_this()](progress_outcome outcome) { self->handle_outcome(outcome); };
    for (const topic_append& append : this->appends) {
        if (append.records.empty())
            append.writer->fence_former_leader(handle);
        else
            append.writer->append(append.records, handle);
    }
}

void progress_recorder::handle_outcome(progress_outcome outcome)
{
    if (outcome != progress_outcome::done) {
        const handler lost = std::move(this->on_appended);
        this->stop();
        lost(outcome);
        return;
    }
    if (--this->unanswered_appends > 0)
        return;
    this->apply_appended(boot_clock::now());
    this->appends.clear();
    const handler done = std::move(this->on_appended);
    this->on_appended = nullptr;
    done(progress_outcome::done);
}

// This process does not read the topics while it leads.
void progress_recorder::apply_appended(boot_time now)
{
    for (const topic_append& append : this->appends) {
        for (const keyed_record& record : append.records) {
            if (append.writer == this->state_writer)
                this->state.apply_own_state(record, now);
            else if (append.writer == this->job_writer)
                this->state.apply_own_progress(record, now);
        }
    }
}

void progress_recorder::stop()
{
    this->on_appended = nullptr;
    this->job_writer->stop();
    this->unit_writer->stop();
    this->state_writer->stop();
}

std::vector<progress_recorder::topic_append> progress_recorder::make_conversion() const
{
    batch_builder units(conversion_batch_bytes);
    batch_builder states(conversion_batch_bytes);
    for (const auto& [id, job] : this->state.jobs().all()) {
        if (job.progress.phase() != records::JOB_PHASE_QUEUED)
            states.add(make_state_record(id, job.progress.phase()));
        if (job.is_final() && !job.has_placed_units())
            continue;
        for (keyed_record& unit : make_unit_records(id, job.progress))
            units.add(std::move(unit));
    }
    std::vector<topic_append> conversion;
    for (std::vector<keyed_record>& batch : units.batches)
        conversion.push_back({this->unit_writer, std::move(batch)});
    for (std::vector<keyed_record>& batch : states.batches)
        conversion.push_back({this->state_writer, std::move(batch)});
    records::RecordFormat format;
    format.set_version(unit_format_version);
    conversion.push_back({this->state_writer, {{std::string(format_key), format.SerializeAsString()}}});
    return conversion;
}

void progress_recorder::convert_to_unit_records(handler done)
{
    log_event("converting_to_unit_records", {{"jobs", std::to_string(this->state.jobs().all().size())}});
    std::vector<topic_append> batches = this->make_conversion();
    this->append_batches(std::move(batches), std::move(done));
}

void progress_recorder::append_batches(std::vector<topic_append> batches, handler done)
{
    if (batches.empty()) {
        this->state.adopt_unit_records(boot_clock::now());
        done(progress_outcome::done);
        return;
    }
    topic_append next = std::move(batches.front());
    batches.erase(batches.begin());
    this->append_all({std::move(next)}, [self = this->shared_from_this(), batches = std::move(batches),
                                         done = std::move(done)](progress_outcome outcome) mutable {
        if (outcome == progress_outcome::done)
            self->append_batches(std::move(batches), std::move(done));
        else
            done(outcome);
    });
}

} // namespace wigeon
