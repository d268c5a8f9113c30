// Validity of configuration changes: pure functions of the version in force and the change.

#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "wigeon.pb.h"

namespace wigeon {

// Bounds of a configuration; what exceeds one is refused with the field named.
constexpr int account_limit = 1'000;
constexpr int class_limit = 100;
constexpr int worker_limit = 10'000;
constexpr int executor_limit = 10'000;
constexpr std::size_t name_limit_bytes = 64;
constexpr std::uint32_t accelerators_per_worker_limit = 64;
constexpr std::uint32_t shape_cells_limit = 10'000;
constexpr std::uint32_t weight_limit = 1'000;

// Letters, digits, '-', '_' and '.', at most name_limit bytes, not empty.
bool is_valid_name(std::string_view name);

// Returns the configuration that follows `current`. Throws error(version_conflict) when another version is in
// force, error(invalid_configuration) with the field, or error(infeasible_guarantee) with the shape that does not fit.
Configuration apply_change(const Configuration& current, const ConfigurationChange& change);

const Account* find_account(const Configuration& configuration, std::string_view name);
const JobClass* find_class(const Configuration& configuration, std::string_view name);
const Worker* find_worker(const Configuration& configuration, std::string_view id);

} // namespace wigeon
