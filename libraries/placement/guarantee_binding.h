// Binds each account's guaranteed shapes to blocks of workers. Because the bound blocks of all accounts
// are disjoint, every guarantee can be reclaimed by stopping borrowers, without moving anything else.
// The idea of binding guaranteed cells to physical ones is that of HiveD (OSDI 2020); its buddy allocation is not used.

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <vector>

#include "wigeon.pb.h"

namespace wigeon {

// Binding of every account, by name.
using binding_table = std::map<std::string, BindingState, std::less<>>;

// True when new guarantee blocks may be bound to the worker.
using worker_filter = std::function<bool(const Worker&)>;

// Keeps each existing cell that still fits its shape on usable workers and binds the missing ones.
// Larger shapes come first; among racks or zones the fullest that fits is taken.
// A cell that cannot be placed is counted in unmet_cells of its account.
binding_table bind_guarantees(const Configuration& configuration, const binding_table& existing,
                              const worker_filter& is_usable);

// True when the two bindings hold the same cells.
bool is_same_binding(const BindingState& left, const BindingState& right);

} // namespace wigeon
