// Checks configurations and applies patches to them.

#include "state/configuration.h"

#include <algorithm>
#include <cctype>
#include <unordered_map>
#include <unordered_set>

#include "base/error_kind.h"
#include "placement/guarantee_binding.h"

namespace wigeon {

namespace {

using google::protobuf::RepeatedPtrField;

const std::string& get_key(const Account& item)
{
    return item.name();
}

const std::string& get_key(const JobClass& item)
{
    return item.name();
}

const std::string& get_key(const Worker& item)
{
    return item.id();
}

const std::string& get_key(const Executor& item)
{
    return item.id();
}

template <typename Item>
const Item* find_item(const RepeatedPtrField<Item>& items, std::string_view key)
{
    const auto found = std::find_if(items.begin(), items.end(), [key](const Item& i) { return get_key(i) == key; });
    return found == items.end() ? nullptr : &*found;
}

[[noreturn]] void refuse(const std::string& detail)
{
    throw error(error_kind::invalid_configuration, detail);
}

template <typename Item>
void check_keys(const RepeatedPtrField<Item>& items, std::string_view field, int limit)
{
    if (items.size() > limit)
        refuse(std::string(field) + ": more than " + std::to_string(limit) + " entries");
    std::unordered_set<std::string_view> seen;
    for (const Item& item : items) {
        const std::string& key = get_key(item);
        if (!is_valid_name(key))
            refuse(std::string(field) + ": the name is empty, too long or has characters beyond A-Z a-z 0-9 - _ .");
        if (!seen.insert(key).second)
            refuse(std::string(field) + ": '" + key + "' stands twice");
    }
}

void check_range(std::string_view field, std::string_view name, std::uint32_t value, std::uint32_t low,
                 std::uint32_t high)
{
    if (value < low || value > high)
        refuse(std::string(field) + " of '" + std::string(name) + "': " + std::to_string(value) + " is not in " +
               std::to_string(low) + " to " + std::to_string(high));
}

void check_accounts(const Configuration& configuration)
{
    for (const Account& account : configuration.accounts()) {
        check_range("accounts.weight", account.name(), account.weight(), 1, weight_limit);
        for (const GuaranteedShape& shape : account.guarantees()) {
            check_range("accounts.guarantees.cells", account.name(), shape.cells(), 1, shape_cells_limit);
            check_range("accounts.guarantees.workers", account.name(), shape.workers(), 1, worker_limit);
            check_range("accounts.guarantees.accelerators", account.name(), shape.accelerators(), 1,
                        accelerators_per_worker_limit);
        }
    }
}

void check_workers_and_executors(const Configuration& configuration)
{
    for (const Worker& worker : configuration.workers()) {
        check_range("workers.accelerators", worker.id(), worker.accelerators(), 1, accelerators_per_worker_limit);
        if (worker.zone().empty() || worker.rack().empty() || worker.address().empty())
            refuse("workers of '" + worker.id() + "': zone, rack and address are required");
    }
    for (const Executor& executor : configuration.executors()) {
        check_range("executors.slots", executor.id(), executor.slots(), 1, 10'000);
        check_range("executors.connections", executor.id(), executor.connections(), 1, 100'000);
        if (executor.address().empty())
            refuse("executors of '" + executor.id() + "': the address is required");
    }
}

void check_guarantees(const Configuration& configuration)
{
    const binding_table bound = bind_guarantees(configuration, {}, [](const Worker&) { return true; });
    for (const auto& [account, binding] : bound) {
        if (binding.unmet_cells() > 0)
            throw error(error_kind::infeasible_guarantee, "accounts.guarantees of '" + account +
                                                              "': " + std::to_string(binding.unmet_cells()) +
                                                              " cells do not fit the configured workers");
    }
}

void check_configuration(const Configuration& configuration)
{
    check_keys(configuration.accounts(), "accounts", account_limit);
    check_keys(configuration.classes(), "classes", class_limit);
    check_keys(configuration.workers(), "workers", worker_limit);
    check_keys(configuration.executors(), "executors", executor_limit);
    check_accounts(configuration);
    for (const JobClass& job_class : configuration.classes())
        check_range("classes.weight", job_class.name(), job_class.weight(), 1, weight_limit);
    check_workers_and_executors(configuration);
}

template <typename Item>
void patch_items(RepeatedPtrField<Item>& items, const RepeatedPtrField<Item>& put,
                 const RepeatedPtrField<std::string>& remove, std::string_view field)
{
    for (const std::string& key : remove) {
        const auto found =
            std::find_if(items.begin(), items.end(), [&key](const Item& item) { return get_key(item) == key; });
        if (found == items.end())
            refuse("remove_" + std::string(field) + ": '" + key + "' is not configured");
        items.erase(found);
    }
    std::unordered_map<std::string_view, Item*> by_key;
    for (Item& item : items)
        by_key.emplace(get_key(item), &item);
    for (const Item& item : put) {
        const auto found = by_key.find(get_key(item));
        if (found == by_key.end())
            *items.Add() = item;
        else
            *found->second = item;
    }
}

bool has_capacity_change(const ConfigurationChange& change)
{
    const ConfigurationPatch& patch = change.patch();
    return change.has_whole() || patch.put_accounts_size() > 0 || patch.put_workers_size() > 0 ||
           patch.remove_workers_size() > 0;
}

} // namespace

bool is_valid_name(std::string_view name)
{
    const auto is_allowed = [](char c) {
        return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' || c == '_' || c == '.';
    };
    return !name.empty() && name.size() <= name_limit_bytes && std::all_of(name.begin(), name.end(), is_allowed);
}

Configuration apply_change(const Configuration& current, const ConfigurationChange& change)
{
    if (change.base_version() != current.version())
        throw error(error_kind::version_conflict, "the change names base version " +
                                                      std::to_string(change.base_version()) + ", but version " +
                                                      std::to_string(current.version()) + " is in force");
    Configuration next;
    if (change.has_whole()) {
        next = change.whole();
    }
    else if (change.has_patch()) {
        const ConfigurationPatch& patch = change.patch();
        next = current;
        patch_items(*next.mutable_accounts(), patch.put_accounts(), patch.remove_accounts(), "accounts");
        patch_items(*next.mutable_classes(), patch.put_classes(), patch.remove_classes(), "classes");
        patch_items(*next.mutable_workers(), patch.put_workers(), patch.remove_workers(), "workers");
        patch_items(*next.mutable_executors(), patch.put_executors(), patch.remove_executors(), "executors");
    }
    else {
        refuse("change: neither a whole version nor a patch");
    }
    next.set_version(current.version() + 1);
    check_configuration(next);
    if (has_capacity_change(change))
        check_guarantees(next);
    return next;
}

const Account* find_account(const Configuration& configuration, std::string_view name)
{
    return find_item(configuration.accounts(), name);
}

const JobClass* find_class(const Configuration& configuration, std::string_view name)
{
    return find_item(configuration.classes(), name);
}

const Worker* find_worker(const Configuration& configuration, std::string_view id)
{
    return find_item(configuration.workers(), id);
}

} // namespace wigeon
