// Best fit decreasing: binds the largest cells first, each in the group and on the workers with the fewest unbound
// accelerators that hold it.

#include "placement/guarantee_binding.h"

#include <algorithm>
#include <limits>
#include <optional>
#include <unordered_map>

namespace wigeon {

namespace {

struct usable_worker {
    const Worker* worker = nullptr;
    std::uint32_t unbound = 0; // Accelerators that belong to no cell.
};

// The unbound accelerators of the usable workers, grouped by rack and by zone.
class unbound_fleet {
public:
    unbound_fleet(const Configuration& configuration, const worker_filter& is_usable)
    {
        this->workers.reserve(static_cast<std::size_t>(configuration.workers_size()));
        for (const Worker& worker : configuration.workers()) {
            if (!is_usable(worker))
                continue;
            const std::size_t index = this->workers.size();
            this->workers.push_back({&worker, worker.accelerators()});
            this->index_of.emplace(worker.id(), index);
            this->racks[worker.zone() + "/" + worker.rack()].push_back(index);
            this->zones[worker.zone()].push_back(index);
        }
    }

    // Binds the blocks of an existing cell again. Returns false when the cell no longer matches its shape, or one of
    // its blocks no longer fits on a usable worker.
    bool keep_cell(const BoundCell& cell, const GuaranteedShape& shape)
    {
        if (cell.blocks_size() != static_cast<int>(shape.workers()) || !this->is_adjacent(cell, shape.adjacency()))
            return false;
        for (const TaskPlacement& block : cell.blocks()) {
            const auto found = this->index_of.find(block.worker());
            const bool is_same_size = block.accelerators() == shape.accelerators();
            if (found == this->index_of.end() || !is_same_size ||
                this->workers[found->second].unbound < shape.accelerators())
                return false;
        }
        for (const TaskPlacement& block : cell.blocks())
            this->workers[this->index_of.find(block.worker())->second].unbound -= shape.accelerators();
        return true;
    }

    // Binds a cell of the shape where it fits best. Returns nothing when it fits nowhere.
    std::optional<BoundCell> allocate_cell(std::uint32_t shape_index, const GuaranteedShape& shape)
    {
        std::vector<std::size_t> best;
        std::uint64_t least_unbound = std::numeric_limits<std::uint64_t>::max();
        const auto consider = [&](const std::vector<std::size_t>& group) {
            std::vector<std::size_t> fitting;
            std::uint64_t unbound = 0;
            for (const std::size_t index : group) {
                unbound += this->workers[index].unbound;
                if (this->workers[index].unbound >= shape.accelerators())
                    fitting.push_back(index);
            }
            if (fitting.size() < shape.workers() || unbound >= least_unbound)
                return;
            std::stable_sort(fitting.begin(), fitting.end(), [this](std::size_t a, std::size_t b) {
                return this->workers[a].unbound < this->workers[b].unbound;
            });
            fitting.resize(shape.workers());
            best = std::move(fitting);
            least_unbound = unbound;
        };
        if (shape.adjacency() == ADJACENCY_ANY) {
            std::vector<std::size_t> all(this->workers.size());
            for (std::size_t i = 0; i < all.size(); ++i)
                all[i] = i;
            consider(all);
        }
        else {
            for (const auto& [name, group] : shape.adjacency() == ADJACENCY_RACK ? this->racks : this->zones)
                consider(group);
        }
        if (best.size() != shape.workers())
            return std::nullopt;
        BoundCell cell;
        cell.set_shape(shape_index);
        for (const std::size_t index : best) {
            this->workers[index].unbound -= shape.accelerators();
            TaskPlacement* block = cell.add_blocks();
            block->set_worker(this->workers[index].worker->id());
            block->set_accelerators(shape.accelerators());
        }
        return cell;
    }

private:
    [[nodiscard]] bool is_adjacent(const BoundCell& cell, Adjacency adjacency) const
    {
        if (adjacency == ADJACENCY_ANY)
            return true;
        const Worker* first = nullptr;
        for (const TaskPlacement& block : cell.blocks()) {
            const auto found = this->index_of.find(block.worker());
            if (found == this->index_of.end())
                return false;
            const Worker* worker = this->workers[found->second].worker;
            if (first == nullptr)
                first = worker;
            if (worker->zone() != first->zone())
                return false;
            if (adjacency == ADJACENCY_RACK && worker->rack() != first->rack())
                return false;
        }
        return true;
    }

    std::vector<usable_worker> workers;
    std::unordered_map<std::string, std::size_t> index_of;
    std::map<std::string, std::vector<std::size_t>> racks;
    std::map<std::string, std::vector<std::size_t>> zones;
};

struct missing_cell {
    std::string account;
    std::uint32_t shape_index = 0;
    const GuaranteedShape* shape = nullptr;
};

std::uint64_t count_accelerators(const GuaranteedShape& shape)
{
    return std::uint64_t{shape.workers()} * shape.accelerators();
}

} // namespace

binding_table bind_guarantees(const Configuration& configuration, const binding_table& existing,
                              const worker_filter& is_usable)
{
    unbound_fleet fleet(configuration, is_usable);
    binding_table bound;
    std::vector<missing_cell> missing;
    for (const Account& account : configuration.accounts()) {
        BindingState& binding = bound[account.name()];
        binding.set_account(account.name());
        const auto old = existing.find(account.name());
        for (int i = 0; i < account.guarantees_size(); ++i) {
            const GuaranteedShape& shape = account.guarantees(i);
            std::uint32_t kept = 0;
            if (old != existing.end()) {
                for (const BoundCell& cell : old->second.cells()) {
                    if (kept == shape.cells())
                        break;
                    if (cell.shape() == static_cast<std::uint32_t>(i) && fleet.keep_cell(cell, shape)) {
                        *binding.add_cells() = cell;
                        ++kept;
                    }
                }
            }
            for (; kept < shape.cells(); ++kept)
                missing.push_back({account.name(), static_cast<std::uint32_t>(i), &shape});
        }
    }
    std::stable_sort(missing.begin(), missing.end(), [](const missing_cell& a, const missing_cell& b) {
        return count_accelerators(*a.shape) > count_accelerators(*b.shape);
    });
    for (const missing_cell& wanted : missing) {
        BindingState& binding = bound[wanted.account];
        if (auto cell = fleet.allocate_cell(wanted.shape_index, *wanted.shape))
            *binding.add_cells() = std::move(*cell);
        else
            binding.set_unmet_cells(binding.unmet_cells() + 1);
    }
    // Sorted by shape, so that binding again without a change gives the same bytes.
    for (auto& [account, binding] : bound) {
        std::stable_sort(binding.mutable_cells()->begin(), binding.mutable_cells()->end(),
                         [](const BoundCell& a, const BoundCell& b) { return a.shape() < b.shape(); });
    }
    return bound;
}

bool is_same_binding(const BindingState& left, const BindingState& right)
{
    return left.SerializeAsString() == right.SerializeAsString();
}

} // namespace wigeon
