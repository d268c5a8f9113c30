// The occupancy of the fleet at one moment, derived from the replicated state: what each account's
// guarantee reserves on each worker, which running jobs it covers, and what is borrowed.

#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "placement/placement_policy.h"
#include "state/replicated_state.h"

namespace wigeon {

// Workers that take no new work: unreachable, leaving or quarantined.
using worker_set = std::set<std::string, std::less<>>;

struct worker_occupancy {
    std::uint32_t capacity = 0;
    std::uint32_t used = 0;              // Accelerators of all jobs on the worker, those being stopped included.
    std::uint32_t stopping = 0;          // Part of `used` that becomes free without a further decision.
    std::uint32_t used_in_guarantee = 0; // Part of `used` that is inside a guarantee.
    std::uint32_t bound = 0;             // Sum of all accounts' bound accelerators; at most the capacity.
    std::uint32_t reserved_in_round = 0; // Free or soon free accelerators promised to a job in this round.
    bool is_usable = false;

    [[nodiscard]] std::uint32_t free() const
    {
        return this->is_usable && this->capacity > this->used + this->reserved_in_round
                   ? this->capacity - this->used - this->reserved_in_round
                   : 0;
    }
};

// A job on workers, with its placements as indices.
struct placed_job {
    const Job* job = nullptr;
    std::vector<task_assignment> tasks;
    bool is_within_guarantee = false; // Runs wholly inside its account's guarantee.
};

class fleet_view {
public:
    fleet_view(const replicated_state& state, const worker_set& unusable);

    [[nodiscard]] const fleet_layout& layout() const { return this->fleet; }
    [[nodiscard]] const std::vector<worker_occupancy>& occupancies() const { return this->occupancy_of_worker; }
    [[nodiscard]] const std::vector<placed_job>& placed() const { return this->placed_jobs; }

    // Accelerators of the account's guarantee that no covered job of it uses, per worker.
    [[nodiscard]] const std::vector<std::uint32_t>& unused_guarantee(std::string_view account) const;

    // Index of the worker in the layout, or the number of workers when it is not configured.
    [[nodiscard]] std::size_t find_worker_index(std::string_view id) const;

    // Accelerators bound to the account, per worker.
    [[nodiscard]] const std::vector<std::uint32_t>& bound(std::string_view account) const;

    [[nodiscard]] std::uint32_t borrowed_by(std::string_view account) const;

    // Marks the tasks as placed in this round.
    void occupy(std::string_view account, const std::vector<task_assignment>& tasks, bool is_within_guarantee);

    // Keeps room for a job that waits for borrowers to stop.
    void reserve_for_job(const std::vector<task_assignment>& tasks);
    void reserve_free(const index_range& group);

    // Counts accelerators as bound that a decision of this round binds.
    void add_bound_blocks(const std::vector<task_assignment>& blocks);

    // Marks a job on workers as being stopped.
    void mark_stopping(const placed_job& job);

    // Accelerators that are free and in no account's unused guarantee but this one's, per worker.
    [[nodiscard]] std::vector<std::uint32_t> unbound_free(std::string_view account) const;

private:
    void add_bindings(const replicated_state& state);
    void add_jobs(const replicated_state& state);
    void assign_guarantees();

    fleet_layout fleet;
    std::vector<worker_occupancy> occupancy_of_worker;
    std::unordered_map<std::string_view, std::size_t> index_of;
    std::map<std::string, std::vector<std::uint32_t>, std::less<>> bound_of_account;
    std::map<std::string, std::vector<std::uint32_t>, std::less<>> unused_of_account;
    std::map<std::string, std::uint32_t, std::less<>> borrowed_of_account;
    std::vector<placed_job> placed_jobs;
    std::vector<std::uint32_t> zeros; // Zero for each worker.
};

} // namespace wigeon
