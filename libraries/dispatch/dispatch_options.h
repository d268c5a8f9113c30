// Switches of the leader's decisions that a deployment turns on. With the defaults, decisions are as without them.

#pragma once

namespace wigeon {

struct dispatch_options {
    bool places_by_speed = false;   // Placement uses the speeds of executors, while these differ.
    bool bounds_preemption = false; // Limits how much work is stopped for work that isn't guaranteed.
    bool shares_by_account = false; // While room is short, accounts above their share are served later.
};

} // namespace wigeon
