// The placement policies first_fit, best_fit and nested_cells.

#include "placement/placement_policy.h"

#include <algorithm>
#include <limits>
#include <numeric>

#include "base/error_kind.h"

namespace wigeon {

fleet_layout make_layout(const Configuration& configuration)
{
    fleet_layout layout;
    for (const Worker& worker : configuration.workers())
        layout.locations.push_back({&worker, 0, 0});
    std::stable_sort(layout.locations.begin(), layout.locations.end(),
                     [](const worker_location& a, const worker_location& b) {
                         return std::tie(a.worker->zone(), a.worker->rack(), a.worker->id()) <
                                std::tie(b.worker->zone(), b.worker->rack(), b.worker->id());
                     });
    for (std::size_t i = 0; i < layout.locations.size(); ++i) {
        const Worker* previous = i == 0 ? nullptr : layout.locations[i - 1].worker;
        const Worker* worker = layout.locations[i].worker;
        const bool is_new_zone = previous == nullptr || previous->zone() != worker->zone();
        if (is_new_zone)
            layout.zones.push_back({i, i});
        if (is_new_zone || previous->rack() != worker->rack())
            layout.racks.push_back({i, i});
        layout.zones.back().end = i + 1;
        layout.racks.back().end = i + 1;
        layout.locations[i].zone = static_cast<std::uint32_t>(layout.zones.size() - 1);
        layout.locations[i].rack = static_cast<std::uint32_t>(layout.racks.size() - 1);
    }
    return layout;
}

namespace {

using availability = std::span<const std::uint32_t>;

std::uint64_t count_tasks(const index_range& group, availability available, const gang_shape& gang)
{
    std::uint64_t tasks = 0;
    for (std::size_t i = group.begin; i < group.end; ++i) {
        if (gang.needed[i] > 0)
            tasks += available[i] / gang.needed[i];
    }
    return tasks;
}

std::uint64_t count_available(const index_range& group, availability available)
{
    return std::accumulate(available.begin() + static_cast<std::ptrdiff_t>(group.begin),
                           available.begin() + static_cast<std::ptrdiff_t>(group.end), std::uint64_t{0});
}

std::vector<index_range> list_groups(const fleet_layout& layout, Adjacency adjacency)
{
    if (adjacency == ADJACENCY_RACK)
        return layout.racks;
    if (adjacency == ADJACENCY_ZONE)
        return layout.zones;
    return {{0, layout.locations.size()}};
}

std::vector<task_assignment> assign_tasks(std::span<const std::size_t> workers, availability available,
                                          const gang_shape& gang)
{
    std::vector<task_assignment> assignments;
    for (const std::size_t worker : workers) {
        if (gang.needed[worker] == 0)
            continue;
        for (std::uint32_t remaining = available[worker];
             remaining >= gang.needed[worker] && assignments.size() < gang.tasks; remaining -= gang.needed[worker])
            assignments.push_back({worker, gang.needed[worker]});
    }
    return assignments;
}

std::vector<std::size_t> list_workers(const index_range& group)
{
    std::vector<std::size_t> workers(group.end - group.begin);
    std::iota(workers.begin(), workers.end(), group.begin);
    return workers;
}

class first_fit : public placement_policy {
public:
    [[nodiscard]] std::optional<std::vector<task_assignment>> choose(const fleet_layout& layout, availability available,
                                                                     const gang_shape& gang) const override
    {
        for (const index_range& group : list_groups(layout, gang.adjacency)) {
            if (count_tasks(group, available, gang) >= gang.tasks)
                return assign_tasks(list_workers(group), available, gang);
        }
        return std::nullopt;
    }
};

// Chooses the group with the fewest available accelerators that holds the gang, and fills the workers with the fewest
// available accelerators first. Small gangs thus go to parts of the fleet that are fragmented already.
std::optional<std::vector<task_assignment>> choose_best_fit(const std::vector<index_range>& groups,
                                                            availability available, const gang_shape& gang)
{
    const index_range* best = nullptr;
    std::uint64_t least_available = std::numeric_limits<std::uint64_t>::max();
    for (const index_range& group : groups) {
        const std::uint64_t group_available = count_available(group, available);
        if (group_available < least_available && count_tasks(group, available, gang) >= gang.tasks) {
            best = &group;
            least_available = group_available;
        }
    }
    if (best == nullptr)
        return std::nullopt;
    std::vector<std::size_t> workers = list_workers(*best);
    std::stable_sort(workers.begin(), workers.end(),
                     [available](std::size_t a, std::size_t b) { return available[a] < available[b]; });
    return assign_tasks(workers, available, gang);
}

// Chooses the worker with the fewest available accelerators that can hold the whole gang.
std::optional<std::vector<task_assignment>> choose_worker(availability available, const gang_shape& gang)
{
    const std::size_t none = available.size();
    std::size_t best = none;
    for (std::size_t i = 0; i < available.size(); ++i) {
        const bool fits = gang.needed[i] > 0 && available[i] / gang.needed[i] >= gang.tasks;
        if (fits && (best == none || available[i] < available[best]))
            best = i;
    }
    if (best == none)
        return std::nullopt;
    return assign_tasks(std::span(&best, 1), available, gang);
}

class best_fit : public placement_policy {
public:
    [[nodiscard]] std::optional<std::vector<task_assignment>> choose(const fleet_layout& layout, availability available,
                                                                     const gang_shape& gang) const override
    {
        return choose_best_fit(list_groups(layout, gang.adjacency), available, gang);
    }
};

// Best fit on each level in turn: worker, rack, zone, whole fleet. A gang spans several workers, racks or zones only
// when no single one can hold it, even if its adjacency allows that. On each level, workers that are partly used come
// before empty ones.
class nested_cells : public placement_policy {
public:
    [[nodiscard]] std::optional<std::vector<task_assignment>> choose(const fleet_layout& layout, availability available,
                                                                     const gang_shape& gang) const override
    {
        if (auto chosen = choose_worker(available, gang))
            return chosen;
        if (auto chosen = choose_best_fit(layout.racks, available, gang))
            return chosen;
        if (gang.adjacency == ADJACENCY_RACK)
            return std::nullopt;
        if (auto chosen = choose_best_fit(layout.zones, available, gang))
            return chosen;
        if (gang.adjacency == ADJACENCY_ZONE)
            return std::nullopt;
        return choose_best_fit({{0, layout.locations.size()}}, available, gang);
    }
};

} // namespace

std::unique_ptr<placement_policy> make_placement_policy(std::string_view name)
{
    if (name == "first_fit")
        return std::make_unique<first_fit>();
    if (name == "best_fit")
        return std::make_unique<best_fit>();
    if (name == "nested_cells")
        return std::make_unique<nested_cells>();
    throw error(error_kind::malformed_request,
                "placement_policy: '" + std::string(name) + "' is not one of first_fit, best_fit, nested_cells");
}

} // namespace wigeon
