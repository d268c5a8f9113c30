// Chooses workers for the tasks of one gang, given the available accelerators of each worker.

#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "wigeon.pb.h"

namespace wigeon {

// Location of a worker. Workers are sorted by zone, rack and id, so that each rack and each zone is one range of
// indices.
struct worker_location {
    const Worker* worker = nullptr;
    std::uint32_t zone = 0;
    std::uint32_t rack = 0; // Unique across zones.
};

struct index_range {
    std::size_t begin = 0;
    std::size_t end = 0;
};

struct fleet_layout {
    std::vector<worker_location> locations;
    std::vector<index_range> racks;
    std::vector<index_range> zones;
};

fleet_layout make_layout(const Configuration& configuration);

struct gang_shape {
    std::uint32_t tasks = 0;
    Adjacency adjacency = ADJACENCY_ANY;
    std::span<const std::uint32_t> needed; // Accelerators per task on each worker; 0 where a task cannot run.
};

struct task_assignment {
    std::size_t worker = 0; // Index into fleet_layout::locations.
    std::uint32_t accelerators = 0;
};

class placement_policy {
public:
    virtual ~placement_policy() = default;

    // Returns one assignment per task, or nothing when not all tasks of the gang fit. `available` holds the available
    // accelerators per worker.
    [[nodiscard]] virtual std::optional<std::vector<task_assignment>>
    choose(const fleet_layout& layout, std::span<const std::uint32_t> available, const gang_shape& gang) const = 0;
};

// Names: "first_fit", "best_fit" and "nested_cells". Throws error(malformed_request) for any other name.
std::unique_ptr<placement_policy> make_placement_policy(std::string_view name);

} // namespace wigeon
