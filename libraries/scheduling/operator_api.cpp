// Formats the state for operators as JSON.

#include "scheduling/operator_api.h"

#include "base/json.h"
#include "base/network.h"
#include "placement/fleet_view.h"
#include "state/job_rules.h"

namespace wigeon {

namespace {

std::string format_json_array(const std::vector<std::string>& items)
{
    std::string text;
    for (const std::string& item : items)
        text += (text.empty() ? "" : ",") + item;
    return "[" + text + "]";
}

// Adds the quarantined and draining workers to `workers`, the unreachable ones.
worker_set list_unusable(const replicated_state& current, worker_set workers)
{
    for (const auto& [worker, quarantine] : current.quarantines())
        workers.insert(worker);
    for (const Worker& worker : current.configuration().workers()) {
        if (worker.is_draining())
            workers.insert(worker.id());
    }
    return workers;
}

// Lists the workers with accelerators bound to the account's guarantee, as `worker:accelerators` separated by spaces.
std::string format_bound_workers(const fleet_view& view, std::string_view account)
{
    std::string text;
    const std::vector<std::uint32_t>& bound = view.bound(account);
    for (std::size_t i = 0; i < bound.size(); ++i) {
        if (bound[i] > 0)
            text +=
                (text.empty() ? "" : " ") + view.layout().locations[i].worker->id() + ":" + std::to_string(bound[i]);
    }
    return text;
}

} // namespace

operator_api::operator_api(replica& state, scheduler_loop& loop, peer_gossip& gossip)
    : state(state), loop(loop), gossip(gossip)
{
}

void operator_api::add_routes(httplib::Server& server)
{
    constexpr const char* json = "application/json";
    server.Get("/v1/status",
               [this](const auto&, auto& response) { response.set_content(this->format_status(), json); });
    server.Get("/v1/fleet", [this](const auto&, auto& response) { response.set_content(this->format_fleet(), json); });
    server.Get("/v1/accounts",
               [this](const auto&, auto& response) { response.set_content(this->format_accounts(), json); });
    server.Get("/v1/configuration", [this](const auto&, auto& response) {
        response.set_content(
            this->state.read([](const replicated_state& current) { return format_json(current.configuration()); }),
            json);
    });
    server.Get(R"(/v1/explain/([^/]+)/([^/]+))", [this](const auto& request, auto& response) {
        response.set_content(this->explain(request.matches[1].str() + "/" + request.matches[2].str()), json);
    });
}

std::string operator_api::format_status() const
{
    json_object status;
    this->state.read([&](const replicated_state& current) {
        std::map<std::string, std::uint64_t> jobs;
        for (const auto& [id, job] : current.jobs())
            ++jobs[JobState_Name(job.state())];
        status.add("configuration_version", current.configuration().version());
        status.add("term", current.term());
        status.add("holder", format_incarnation(current.holder()));
        status.add("holder_address", current.holder_address());
        status.add("next_offset", current.next_offset());
        for (const auto& [name, count] : jobs)
            status.add(name, count);
    });
    status.add("incarnation", format_incarnation(this->state.incarnation()));
    status.add("is_holder", this->loop.is_holder());
    status.add("is_ready", this->state.is_ready());
    status.add("live_entries", std::uint64_t{this->gossip.list_live("entry").size()});
    status.add("live_schedulers", std::uint64_t{this->gossip.list_live("scheduler").size()} + 1);
    return status.to_string();
}

std::string operator_api::format_fleet() const
{
    const worker_set unreachable = this->loop.unreachable_workers();
    return this->state.read([&](const replicated_state& current) {
        const fleet_view view(current, list_unusable(current, unreachable));
        std::vector<std::string> rows;
        for (const index_range& rack : view.layout().racks) {
            std::uint64_t capacity = 0;
            std::uint64_t used = 0;
            std::uint64_t free = 0;
            std::uint64_t used_in_guarantee = 0;
            std::uint64_t bound = 0;
            std::uint64_t usable = 0;
            for (std::size_t i = rack.begin; i < rack.end; ++i) {
                const worker_occupancy& occupancy = view.occupancies()[i];
                capacity += occupancy.capacity;
                used += occupancy.used;
                used_in_guarantee += occupancy.used_in_guarantee;
                bound += occupancy.bound;
                usable += occupancy.is_usable;
                free += occupancy.is_usable ? occupancy.capacity - std::min(occupancy.capacity, occupancy.used) : 0;
            }
            const Worker& first = *view.layout().locations[rack.begin].worker;
            json_object row;
            row.add("zone", first.zone());
            row.add("rack", first.rack());
            row.add("workers", std::uint64_t{rack.end - rack.begin});
            row.add("usable_workers", usable);
            row.add("accelerators", capacity);
            row.add("free", free);
            row.add("guaranteed", bound);
            row.add("used_in_guarantee", used_in_guarantee);
            row.add("borrowed", used - used_in_guarantee);
            rows.push_back(row.to_string());
        }
        return format_json_array(rows);
    });
}

std::string operator_api::format_accounts() const
{
    return this->state.read([&](const replicated_state& current) {
        const fleet_view view(current, {});
        std::vector<std::string> rows;
        for (const Account& account : current.configuration().accounts()) {
            const auto sum = [](const std::vector<std::uint32_t>& amounts) {
                std::uint64_t total = 0;
                for (const std::uint32_t amount : amounts)
                    total += amount;
                return total;
            };
            const auto binding = current.bindings().find(account.name());
            json_object row;
            row.add("account", account.name());
            row.add("bound", sum(view.bound(account.name())));
            row.add("unused", sum(view.unused_guarantee(account.name())));
            row.add("borrowed", std::uint64_t{view.borrowed_by(account.name())});
            row.add("unmet_cells", binding == current.bindings().end() ? std::uint64_t{0}
                                                                       : std::uint64_t{binding->second.unmet_cells()});
            row.add("bound_workers", format_bound_workers(view, account.name()));
            rows.push_back(row.to_string());
        }
        return format_json_array(rows);
    });
}

std::string operator_api::explain(const std::string& job_id) const
{
    const std::map<std::string, std::string> reasons = this->loop.wait_reasons();
    return this->state.read([&](const replicated_state& current) {
        json_object text;
        text.add("job", job_id);
        const Job* job = current.find_job(job_id);
        if (job == nullptr) {
            text.add("state", "unknown");
            return text.to_string();
        }
        text.add("state", JobState_Name(job->state()));
        text.add("attempt", std::uint64_t{job->attempt()});
        text.add("configuration_version", job->configuration_version());
        if (!job->reason().empty())
            text.add("reason", job->reason());
        const auto reason = reasons.find(job_id);
        if (job->state() == JOB_ACCEPTED)
            text.add("waits", reason != reasons.end()  ? reason->second
                              : this->loop.is_holder() ? std::string("is planned in the next round")
                                                       : "ask the holder at " + current.holder_address());
        const fleet_view view(current, {});
        text.add("guarantee_of_account", format_bound_workers(view, job->request().account()));
        std::string placements;
        for (const TaskPlacement& placement : job->placements())
            placements += (placements.empty() ? "" : " ") + placement.worker();
        if (!placements.empty())
            text.add("placements", placements);
        return text.to_string();
    });
}

} // namespace wigeon
