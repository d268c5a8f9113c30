// Generates the fleets, states and arrivals.

#include "benchmarks/fleet_maker.h"

#include <algorithm>
#include <cmath>

namespace wigeon::test {

Configuration make_fleet(const fleet_size& size)
{
    Configuration configuration;
    configuration.set_version(1);
    const int racks_per_zone = std::max(1, size.workers / (size.workers_per_rack * size.zones));
    for (int i = 0; i < size.workers; ++i) {
        const int rack = i / size.workers_per_rack;
        Worker* worker = configuration.add_workers();
        worker->set_id("w" + std::to_string(i));
        worker->set_zone("zone-" + std::to_string(std::min(rack / racks_per_zone, size.zones - 1)));
        worker->set_rack("rack-" + std::to_string(rack));
        worker->set_address("127.0.0.1:1");
        worker->set_accelerators(size.accelerators);
        worker->set_cores(130);
        worker->set_memory_gigabytes(250);
    }
    for (int i = 0; i < size.accounts; ++i) {
        Account* account = configuration.add_accounts();
        account->set_name("account" + std::to_string(i));
        account->set_weight(1);
        if (size.guaranteed_cells == 0)
            continue;
        GuaranteedShape* shape = account->add_guarantees();
        shape->set_cells(size.guaranteed_cells);
        shape->set_workers(2);
        shape->set_accelerators(size.accelerators);
        shape->set_adjacency(ADJACENCY_RACK);
    }
    for (const char* name : {"batch", "urgent"}) {
        JobClass* job_class = configuration.add_classes();
        job_class->set_name(name);
        job_class->set_weight(1);
        job_class->set_urgent(std::string(name) == "urgent");
        job_class->set_may_borrow(true);
    }
    return configuration;
}

SystemState make_loaded_state(const fleet_size& size, int running_tasks, int waiting_jobs)
{
    SystemState state;
    *state.mutable_configuration() = make_fleet(size);
    state.set_log_time_ms(1'000'000'000);
    state.set_term(1);
    state.set_holder(1);
    const auto add_job = [&](const std::string& key, JobState job_state) -> Job& {
        Job& job = *state.add_jobs();
        job.mutable_request()->set_account("account" + std::to_string(state.jobs_size() % size.accounts));
        job.mutable_request()->set_job_class("batch");
        job.mutable_request()->set_key(key);
        job.mutable_request()->set_tasks(1);
        job.mutable_request()->set_accelerators_per_task(1);
        job.mutable_request()->set_command("render --project summer-signs --quality high");
        job.set_id(job.request().account() + "/" + key);
        job.set_state(job_state);
        job.set_accepted_at_ms(999'000'000);
        return job;
    };
    // Several tasks may share an accelerator here, since the cost of a decision depends on the number of tasks.
    for (int i = 0; i < running_tasks; ++i) {
        Job& job = add_job("running-" + std::to_string(i), JOB_RUNNING);
        job.set_attempt(1);
        job.set_is_borrowing(true);
        TaskPlacement* placement = job.add_placements();
        placement->set_worker("w" + std::to_string(i % size.workers));
        placement->set_accelerators(1);
    }
    for (int i = 0; i < waiting_jobs; ++i) {
        JobRequest& request = *add_job("waiting-" + std::to_string(i), JOB_ACCEPTED).mutable_request();
        request.set_tasks(2 + static_cast<std::uint32_t>(i) % 60);
        request.set_accelerators_per_task(size.accelerators);
        request.set_adjacency(static_cast<Adjacency>(i % 3));
    }
    return state;
}

std::vector<arrival> make_arrivals(const fleet_size& size, const arrival_options& options)
{
    std::mt19937_64 random(options.seed);
    std::exponential_distribution<double> interarrival_ms(static_cast<double>(options.jobs) /
                                                          static_cast<double>(options.span_ms));
    std::lognormal_distribution<double> run_time_ms(std::log(options.mean_run_ms) - 0.5, 1.0);
    std::uniform_real_distribution<double> error_exponent(-1, 1);
    std::vector<arrival> arrivals;
    double time_ms = 0;
    int burst_remaining = 0;
    for (int i = 0; i < options.jobs; ++i) {
        // One arrival in forty starts a burst of thirty at the same time.
        if (burst_remaining > 0)
            --burst_remaining;
        else
            time_ms += interarrival_ms(random) * 1.75;
        if (burst_remaining == 0 && random() % 40 == 0)
            burst_remaining = 30;
        arrival next;
        next.at_ms = static_cast<std::uint64_t>(time_ms);
        next.run_ms = static_cast<std::uint64_t>(run_time_ms(random)) + 1'000;
        const bool is_first_account = random() % 2 == 0;
        const std::uint64_t account = is_first_account ? 0 : random() % static_cast<std::uint64_t>(size.accounts);
        JobRequest& job = next.job;
        job.set_account("account" + std::to_string(account));
        job.set_job_class(random() % 10 == 0 ? "urgent" : "batch");
        job.set_key("j" + std::to_string(i));
        const std::uint64_t kind = random() % 100;
        std::uint32_t accelerators = 1U << (random() % 4);
        if (kind >= 70)
            accelerators = 8U << (random() % 2);
        if (kind >= 92)
            accelerators = options.max_gang_accelerators / (1U << (random() % 2));
        const std::uint32_t per_task = std::min(accelerators, size.accelerators);
        job.set_tasks(std::max<std::uint32_t>(1, accelerators / per_task));
        job.set_accelerators_per_task(per_task);
        // A gang with at most as many tasks as a rack has workers needs one rack; a larger one needs one zone.
        const bool fits_rack = job.tasks() <= static_cast<std::uint32_t>(size.workers_per_rack);
        job.set_adjacency(fits_rack ? ADJACENCY_RACK : ADJACENCY_ZONE);
        job.set_expected_run_ms(
            static_cast<std::uint64_t>(static_cast<double>(next.run_ms) * std::pow(10.0, error_exponent(random))));
        next.is_cancelled = random() % 25 == 0;
        next.cancel_at_ms = next.at_ms + random() % 600'000;
        arrivals.push_back(std::move(next));
    }
    return arrivals;
}

} // namespace wigeon::test
