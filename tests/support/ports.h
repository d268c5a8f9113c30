// Ports for the processes of a test.

#pragma once

namespace wigeon::test {

// Free ports in a row below the system's own range for outgoing connections. Never gives one twice.
int allocate_ports(int count);

} // namespace wigeon::test
