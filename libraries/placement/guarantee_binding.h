// Binds the guaranteed shapes of each account to blocks of accelerators on workers. The blocks of all accounts are
// disjoint, so every guarantee can be reclaimed by stopping borrowing jobs, without moving any other job. Binding
// guaranteed cells to physical ones follows HiveD (OSDI 2020), but without its buddy allocation.

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <vector>

#include "wigeon.pb.h"

namespace wigeon {

// Bindings by account name.
using binding_table = std::map<std::string, BindingState, std::less<>>;

// Returns true when blocks of a guarantee may be bound to the worker.
using worker_filter = std::function<bool(const Worker&)>;

// Keeps each existing cell that still matches its shape on usable workers, then binds the missing cells. Cells with
// more accelerators come first; each goes to the rack or zone with the fewest unbound accelerators in which it fits. A
// cell that fits nowhere is counted in `unmet_cells` of its account.
binding_table bind_guarantees(const Configuration& configuration, const binding_table& existing,
                              const worker_filter& is_usable);

// Returns true when both bindings have the same account, cells and number of unmet cells.
bool is_same_binding(const BindingState& left, const BindingState& right);

} // namespace wigeon
