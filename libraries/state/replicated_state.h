// The state that every process computes from the platform's log. apply() is deterministic: two processes that applied
// the same prefix of the log hold the same bytes. No clock is read; time enters only as a field of a record.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "base/error_kind.h"
#include "placement/guarantee_binding.h"
#include "state/account_quota.h"
#include "wigeon.pb.h"

namespace wigeon {

enum class apply_outcome : std::uint8_t {
    applied,
    duplicate, // A record of this author with this or a later sequence was applied before.
    voided,    // A void record took this sequence: the original record never takes effect.
    stale,     // The record is older than the window in which duplicates are recognised.
    refused,   // The record is malformed, or not valid in this state.
};

// Identifies a record by its author and sequence, with the outcome of applying it.
struct apply_result {
    std::uint64_t author = 0;
    std::uint64_t sequence = 0;
    apply_outcome outcome = apply_outcome::applied;
    std::optional<error_kind> reason; // Set when refused.
    std::string detail;
    std::uint64_t configuration_version = 0;
};

class replicated_state {
public:
    // A record whose time is further than this behind the log time is ignored, so that a late duplicate cannot be
    // applied after its author was removed from the state.
    static constexpr std::uint64_t record_lifetime_ms = 120'000;
    // More than twice record_lifetime_ms, so that an author stays in the state longer than its last delayed record.
    static constexpr std::uint64_t author_lifetime_ms = 600'000;
    static constexpr std::uint64_t key_lifetime_ms = 600'000;
    static constexpr std::uint64_t job_lifetime_ms = 24ULL * 3'600'000;
    static constexpr std::uint64_t verdict_lifetime_ms = 600'000;
    // Limits of the jobs and keys in the state, ended ones included. The memory use of a process depends on them.
    static constexpr std::uint64_t kept_jobs_limit = 20'000;
    static constexpr std::uint64_t kept_keys_limit = 100'000;
    // A record advances the log time by at most this, which limits the effect of an author with a wrong clock.
    static constexpr std::uint64_t clock_step_limit_ms = 2'000;

    using key_id = std::pair<std::string, std::string>;
    using record_id = std::pair<std::uint64_t, std::uint64_t>;

    replicated_state() = default;
    explicit replicated_state(const SystemState& snapshot);

    // `offset` must be next_offset(); throws error(state_gap) otherwise. A record that cannot be parsed is skipped.
    apply_result apply(std::uint64_t offset, std::string_view serialized);

    [[nodiscard]] SystemState make_snapshot() const;

    [[nodiscard]] std::uint64_t next_offset() const { return this->next; }
    // Incremented by each record that may affect placement. Local: not part of the replicated state.
    [[nodiscard]] std::uint64_t placement_changes() const { return this->placement_change_count; }
    [[nodiscard]] std::uint64_t log_time_ms() const { return this->log_time; }
    // The time for a new record: the wall clock, but never behind the log time. An author whose clock is ahead moves
    // the log time ahead too; without this lower bound, the records of all other authors would then be too old to
    // apply.
    [[nodiscard]] std::uint64_t choose_record_time(std::uint64_t wall_clock_ms) const;
    [[nodiscard]] std::uint64_t term() const { return this->current_term; }
    [[nodiscard]] std::uint64_t holder() const { return this->current_holder; }
    [[nodiscard]] std::uint64_t renewal_offset() const { return this->newest_renewal_offset; }
    [[nodiscard]] std::uint64_t term_lease_ms() const { return this->lease_ms; }
    [[nodiscard]] const std::string& holder_address() const { return this->current_holder_address; }
    [[nodiscard]] const Configuration& configuration() const { return this->current_configuration; }
    [[nodiscard]] const std::map<std::string, Job, std::less<>>& jobs() const { return this->job_table; }
    [[nodiscard]] const binding_table& bindings() const { return this->binding_of_account; }
    [[nodiscard]] const std::map<std::string, QuarantineState, std::less<>>& quarantines() const
    {
        return this->quarantine_of_worker;
    }
    // Throw error(too_many_jobs) or error(too_many_keys), respectively, when the account has used up its quota.
    void check_job_quota(std::string_view account) const;
    void check_key_quota(std::string_view account) const;
    [[nodiscard]] const Job* find_job(std::string_view id) const;
    [[nodiscard]] const KeyState* find_key(const std::string& account, const std::string& key) const;
    [[nodiscard]] const ConfigurationVerdict* find_verdict(std::uint64_t author, std::uint64_t sequence) const;

private:
    void apply_body(const Record& record, apply_result& result);
    void apply_configuration(const Record& record, apply_result& result);
    void check_workers_in_use(const Configuration& changed) const;
    void apply_claim(const Record& record);
    void apply_renewal(const Record& record);
    void apply_submit(const Record& record);
    void apply_cancel(const Record& record);
    void apply_key(const Record& record);
    void apply_decisions(const Record& record);
    void apply_decision(const Decision& decision, const Record& record);
    void apply_place(const PlaceJob& place, const Record& record);
    void apply_stop(const StopJob& stop);
    void apply_requeue(const RequeueJob& requeue, const Record& record);
    void apply_end(const EndJob& end, const Record& record);
    Job& find_current_attempt(const std::string& id, std::uint32_t attempt);
    void advance_time(std::uint64_t record_time_ms);
    void remove_expired();

    std::uint64_t next = 0;
    std::uint64_t placement_change_count = 0;
    std::uint64_t log_time = 0;     // Never decreases.
    std::uint64_t current_term = 0; // Never decreases.
    std::uint64_t current_holder = 0;
    std::string current_holder_address;
    std::uint64_t lease_ms = 0;              // Of the newest renewal or claim.
    std::uint64_t newest_renewal_offset = 0; // Offset of the holder's newest renewal or claim.
    std::uint64_t accepted_jobs = 0;         // Never decreases.
    Configuration current_configuration;     // Its version never decreases.
    std::map<std::uint64_t, AuthorState> authors;
    std::map<std::string, Job, std::less<>> job_table;
    std::map<key_id, KeyState> keys;
    account_quota job_quota{kept_jobs_limit}; // Of job_table.
    account_quota key_quota{kept_keys_limit}; // Of keys.
    std::map<record_id, ConfigurationVerdict> verdicts;
    std::map<std::string, QuarantineState, std::less<>> quarantine_of_worker;
    binding_table binding_of_account;
};

} // namespace wigeon
