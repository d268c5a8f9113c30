// Validates and applies configuration changes. The result depends only on the configuration in force and the change.

#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "wigeon.pb.h"

namespace wigeon {

// Limits of a configuration. A change that exceeds one is refused with the name of the field.
constexpr int account_limit = 1'000;
constexpr int class_limit = 100;
constexpr int worker_limit = 10'000;
constexpr int executor_limit = 10'000;
constexpr std::size_t name_limit_bytes = 64;
constexpr std::uint32_t accelerators_per_worker_limit = 64;
constexpr std::uint32_t shape_cells_limit = 10'000;
constexpr std::uint32_t weight_limit = 1'000;

// Returns true for a name of 1 to name_limit_bytes letters, digits, '-', '_' and '.'.
bool is_valid_name(std::string_view name);

// Returns the configuration that follows `current`. Throws error(version_conflict) when the change is based on another
// version, error(invalid_configuration) with the field, or error(infeasible_guarantee) with the account and the number
// of cells that do not fit the workers.
Configuration apply_change(const Configuration& current, const ConfigurationChange& change);

const Account* find_account(const Configuration& configuration, std::string_view name);
const JobClass* find_class(const Configuration& configuration, std::string_view name);
const Worker* find_worker(const Configuration& configuration, std::string_view id);

} // namespace wigeon
