// The state that every process derives from the platform's log. apply() is deterministic: two processes that
// applied the same prefix hold the same bytes. No clock is read here; time enters only as a field of a record.

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
    voided,    // A void record settled this sequence: the original never takes effect.
    stale,     // The record is older than the window in which duplicates are recognised.
    refused,   // The record is valid in form, but not in this state.
};

// Names the author's record and what became of it.
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
    // A record older than this against the log's own time is ignored, so that forgotten authors cannot apply twice.
    static constexpr std::uint64_t record_lifetime_ms = 120'000;
    // Twice the lifetime and more, so that an author outlives its last delayed record.
    static constexpr std::uint64_t author_lifetime_ms = 600'000;
    static constexpr std::uint64_t key_lifetime_ms = 600'000;
    static constexpr std::uint64_t job_lifetime_ms = 24ULL * 3'600'000;
    static constexpr std::uint64_t verdict_lifetime_ms = 600'000;
    // Jobs and keys that are kept, the ended ones included; the memory of a process follows them.
    static constexpr std::uint64_t kept_jobs_limit = 20'000;
    static constexpr std::uint64_t kept_keys_limit = 100'000;
    // One author with a wrong clock moves the log's time by at most this much with each record.
    static constexpr std::uint64_t clock_step_limit_ms = 2'000;

    using key_id = std::pair<std::string, std::string>;
    using record_id = std::pair<std::uint64_t, std::uint64_t>;

    replicated_state() = default;
    explicit replicated_state(const SystemState& snapshot);

    // `offset` must be next_offset(); throws error(state_gap) otherwise. A record that does not parse is skipped.
    apply_result apply(std::uint64_t offset, std::string_view serialized);

    [[nodiscard]] SystemState make_snapshot() const;

    [[nodiscard]] std::uint64_t next_offset() const { return this->next; }
    // Rises with each record that a placement may depend on. Local: not part of the replicated state.
    [[nodiscard]] std::uint64_t placement_changes() const { return this->changes; }
    [[nodiscard]] std::uint64_t log_time_ms() const { return this->log_time; }
    // The time for a new record. Never behind the log's own time, so that an author with a clock ahead, which takes
    // the log's time along, does not make the records of all others count as too old.
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
    // Throw error(too_many_jobs) and error(too_many_keys) when the account may keep no further one.
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
    std::uint64_t changes = 0;
    std::uint64_t log_time = 0;     // Never falls.
    std::uint64_t current_term = 0; // Never falls.
    std::uint64_t current_holder = 0;
    std::string current_holder_address;
    std::uint64_t lease_ms = 0;              // Of the newest renewal or claim.
    std::uint64_t newest_renewal_offset = 0; // Offset of the holder's newest renewal or claim.
    std::uint64_t accepted_jobs = 0;         // Never falls.
    Configuration current_configuration;     // Its version never falls.
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
