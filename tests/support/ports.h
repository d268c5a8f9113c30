// Allocates TCP ports for the processes of a test.

#pragma once

namespace wigeon::test {

// Returns the first of `count` consecutive free ports, below the system's ephemeral port range. Does not return a port
// again before the whole range is used up.
int allocate_ports(int count);

} // namespace wigeon::test
