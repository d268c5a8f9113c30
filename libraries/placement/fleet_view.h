// Accelerator occupancy of the workers at one moment, computed from the replicated state: what is bound to the
// guarantees of accounts, what runs within a guarantee, and what is borrowed.

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

// Ids of workers, for example of those that take no new work: unreachable, leaving or quarantined.
using worker_set = std::set<std::string, std::less<>>;

struct worker_occupancy {
    std::uint32_t capacity = 0;
    std::uint32_t used = 0;     // Accelerators of all jobs on the worker, including jobs that are being stopped.
    std::uint32_t stopping = 0; // Part of `used` that becomes free without a further decision.
    std::uint32_t used_in_guarantee = 0; // Part of `used` that runs within a guarantee.
    std::uint32_t bound = 0;             // Sum of the accelerators bound to all accounts; at most the capacity.
    std::uint32_t reserved_in_round = 0; // Reserved for a waiting job in this round; free, or free once jobs stop.
    bool is_usable = false;

    [[nodiscard]] std::uint32_t free() const
    {
        return this->is_usable && this->capacity > this->used + this->reserved_in_round
                   ? this->capacity - this->used - this->reserved_in_round
                   : 0;
    }
};

// A placed job. Its tasks refer to workers by index into the layout.
struct placed_job {
    const Job* job = nullptr;
    std::vector<task_assignment> tasks;
    bool is_within_guarantee = false; // All its tasks run within the guarantee of its account.
};

class fleet_view {
public:
    fleet_view(const replicated_state& state, const worker_set& unusable);

    [[nodiscard]] const fleet_layout& layout() const { return this->fleet; }
    [[nodiscard]] const std::vector<worker_occupancy>& occupancies() const { return this->occupancy_of_worker; }
    [[nodiscard]] const std::vector<placed_job>& placed() const { return this->placed_jobs; }

    // Accelerators bound to the account that its jobs within the guarantee do not use, per worker.
    [[nodiscard]] const std::vector<std::uint32_t>& unused_guarantee(std::string_view account) const;

    // Index of the worker in the layout, or the number of workers when it is not configured.
    [[nodiscard]] std::size_t find_worker_index(std::string_view id) const;

    // Accelerators bound to the account, per worker.
    [[nodiscard]] const std::vector<std::uint32_t>& bound(std::string_view account) const;

    [[nodiscard]] std::uint32_t borrowed_by(std::string_view account) const;

    // Counts the tasks as placed; this planning round places them.
    void occupy(std::string_view account, const std::vector<task_assignment>& tasks, bool is_within_guarantee);

    // Reserves accelerators for a job that waits until borrowing jobs have stopped.
    void reserve_for_job(const std::vector<task_assignment>& tasks);
    // Reserves all free accelerators of the workers in the group.
    void reserve_free(const index_range& group);

    // Counts the blocks as bound; a decision of this planning round binds them.
    void add_bound_blocks(const std::vector<task_assignment>& blocks);

    // Counts the accelerators of a placed job as being freed; this planning round stops it.
    void mark_stopping(const placed_job& job);

    // Free accelerators outside the unused guarantees of all other accounts, per worker.
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
    std::vector<std::uint32_t> zeros; // One zero per worker, for accounts without a binding.
};

} // namespace wigeon
