// Generates random logs.

#include "state/record_generator.h"

namespace wigeon::test {

namespace {

constexpr std::uint32_t author_count = 3;
constexpr std::uint32_t job_count = 12;

} // namespace

Configuration make_small_configuration(int racks, int workers_per_rack, int accounts, std::uint32_t guaranteed_workers)
{
    Configuration configuration;
    for (int i = 0; i < accounts; ++i) {
        Account* account = configuration.add_accounts();
        account->set_name("a" + std::to_string(i));
        account->set_weight(1);
        if (guaranteed_workers == 0)
            continue;
        GuaranteedShape* shape = account->add_guarantees();
        shape->set_cells(1);
        shape->set_workers(guaranteed_workers);
        shape->set_accelerators(8);
        shape->set_adjacency(ADJACENCY_RACK);
    }
    for (const char* name : {"batch", "strict", "urgent"}) {
        JobClass* job_class = configuration.add_classes();
        job_class->set_name(name);
        job_class->set_weight(1);
        job_class->set_urgent(std::string(name) == "urgent");
        job_class->set_may_borrow(std::string(name) != "strict");
    }
    for (int i = 0; i < racks * workers_per_rack; ++i) {
        Worker* worker = configuration.add_workers();
        worker->set_id("w" + std::to_string(i));
        worker->set_zone("zone-" + std::to_string(i / workers_per_rack % 2));
        worker->set_rack("rack-" + std::to_string(i / workers_per_rack));
        worker->set_address("127.0.0.1:1");
        worker->set_accelerators(8);
        worker->set_cores(128);
        worker->set_memory_gigabytes(256);
    }
    return configuration;
}

JobRequest make_job(const std::string& account, const std::string& key, std::uint32_t tasks, std::uint32_t accelerators)
{
    JobRequest request;
    request.set_account(account);
    request.set_job_class("batch");
    request.set_key(key);
    request.set_tasks(tasks);
    request.set_accelerators_per_task(accelerators);
    request.set_adjacency(ADJACENCY_RACK);
    return request;
}

std::vector<std::string> record_generator::make_log(std::size_t length)
{
    std::vector<std::string> log;
    while (log.size() < length) {
        // One record in five duplicates an earlier one, as after an append whose response was lost.
        if (!log.empty() && this->draw(5) == 0)
            log.push_back(log[this->draw(static_cast<std::uint32_t>(log.size()))]);
        else
            log.push_back(this->make_record().SerializeAsString());
    }
    return log;
}

Record record_generator::make_record()
{
    Record record;
    record.set_author(1 + this->draw(author_count));
    record.set_sequence(++this->sequences[record.author()]);
    this->time_ms += this->draw(5'000);
    record.set_time_ms(this->time_ms - this->draw(2) * this->draw(200'000));
    this->fill_body(record);
    return record;
}

std::string record_generator::draw_job()
{
    return "j" + std::to_string(this->draw(job_count));
}

void record_generator::fill_body(Record& record)
{
    switch (this->draw(9)) {
    case 0:
        record.mutable_configuration()->set_base_version(this->version - this->draw(2) * (this->version > 0));
        *record.mutable_configuration()->mutable_whole() =
            make_small_configuration(2 + static_cast<int>(this->draw(2)), 2, 2, this->draw(3));
        ++this->version;
        return;
    case 1:
        record.mutable_claim()->set_term(++this->term);
        record.mutable_claim()->set_renewal_offset(this->draw(10) == 0 ? 0 : UINT64_MAX);
        return;
    case 2:
        record.mutable_renewal()->set_term(this->term);
        return;
    case 3:
    case 4:
        *record.mutable_submit() =
            make_job("a" + std::to_string(this->draw(2)), this->draw_job(), 1 + this->draw(3), 1 + this->draw(9));
        return;
    case 5:
        record.mutable_cancel()->add_jobs("a0/" + this->draw_job());
        return;
    case 6:
        record.mutable_key()->set_account("a0");
        record.mutable_key()->set_key(this->draw_job());
        record.mutable_key()->set_outcome(static_cast<KeyOutcome>(1 + this->draw(4)));
        return;
    case 7:
        record.mutable_void_record();
        return;
    default:
        record.mutable_decisions()->set_term(this->term);
        for (std::uint32_t i = 0; i < 4; ++i)
            *record.mutable_decisions()->add_decisions() = this->make_decision();
    }
}

Decision record_generator::make_decision()
{
    Decision decision;
    const std::string job = "a" + std::to_string(this->draw(2)) + "/" + this->draw_job();
    const std::uint32_t attempt = 1 + this->draw(2);
    switch (this->draw(6)) {
    case 0:
    case 1:
        decision.mutable_place()->set_job(job);
        decision.mutable_place()->set_attempt(attempt);
        decision.mutable_place()->add_placements()->set_worker("w0");
        return decision;
    case 2:
        decision.mutable_running()->set_job(job);
        decision.mutable_running()->set_attempt(attempt);
        return decision;
    case 3:
        decision.mutable_stop()->set_job(job);
        decision.mutable_stop()->set_attempt(attempt);
        return decision;
    case 4:
        decision.mutable_requeue()->set_job(job);
        decision.mutable_requeue()->set_attempt(attempt);
        return decision;
    default:
        decision.mutable_end()->set_job(job);
        decision.mutable_end()->set_attempt(attempt);
        decision.mutable_end()->set_state(JOB_FINISHED);
        return decision;
    }
}

} // namespace wigeon::test
