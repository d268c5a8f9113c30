// Generates fleets, states and job arrivals of a given size for the benchmarks; the arrivals follow from a seed.

#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "state/replicated_state.h"
#include "wigeon.pb.h"

namespace wigeon::test {

struct fleet_size {
    int workers = 50;
    std::uint32_t accelerators = 8; // Per worker.
    int workers_per_rack = 6;
    int zones = 4;
    int accounts = 4;
    std::uint32_t guaranteed_cells = 1; // Cells of two whole workers in one rack, per account.
};

Configuration make_fleet(const fleet_size& size);

// A state with running single-task jobs and waiting gangs that do not fit.
SystemState make_loaded_state(const fleet_size& size, int running_tasks, int waiting_jobs);

struct arrival {
    std::uint64_t at_ms = 0;
    std::uint64_t run_ms = 0; // How long the job really runs.
    JobRequest job;           // Declares up to ten times more or less run time.
    bool is_cancelled = false;
    std::uint64_t cancel_at_ms = 0;
};

struct arrival_options {
    std::uint64_t seed = 1;
    int jobs = 600;
    std::uint64_t span_ms = 24ULL * 3'600'000;
    double mean_run_ms = 2 * 3'600'000.0;
    std::uint32_t max_gang_accelerators = 16;
};

// Poisson arrivals with bursts, mostly small jobs and some large gangs. Half of the jobs belong to the first account,
// the others to an account drawn at random.
std::vector<arrival> make_arrivals(const fleet_size& size, const arrival_options& options);

} // namespace wigeon::test
