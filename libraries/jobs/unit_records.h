// Records of the topic of units: the progress of each unit that was placed, under the name of its first task.

#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <boost/icl/interval_set.hpp>

#include "jobs.pb.h"
#include "jobs/job_keys.h"
#include "jobs/job_table.h"
#include "store/record_store.h"

namespace wigeon {

// Returns the number of units of one occurrence of the step, or of all steps of a job.
std::uint32_t count_units(const records::Step& step);
std::uint32_t count_units(const records::Submission& submission);

// Progress of jobs by id; the phases are not set.
using unit_progress_map = std::map<std::string, records::JobProgress, std::less<>>;

// Collects the records of the topic, which come in the order of their keys. Occurrences whose units are all done take
// no memory beyond their number.
class unit_progress_collector {
public:
    explicit unit_progress_collector(const job_table& known_jobs) : jobs(known_jobs) {}

    // Returns false when the record can't be parsed; it is left out.
    bool add(const keyed_record& record);

    // Returns the progress of all jobs that have records. Nothing may be added afterwards.
    unit_progress_map finish();

private:
    // The occurrence whose records are being added. In the order of keys they stand together.
    struct occurrence_records {
        std::string job;
        std::uint32_t occurrence = 0;
        int first_unit = 0;     // Row in the job's progress.
        int first_executor = 0; // The same.
        bool is_done = true;    // All units so far.
    };

    void finish_occurrence();

    const job_table& jobs;
    unit_progress_map progress;
    std::map<std::string, boost::icl::interval_set<std::uint32_t>, std::less<>> finished; // Occurrences by job.
    occurrence_records current;
};

// Adds a record of the topic to its job's progress. Returns false, without a change, when the record can't be parsed.
bool add_unit_record(const keyed_record& record, unit_progress_map& progress);

// Returns the records of all units of a job's progress.
std::vector<keyed_record> make_unit_records(std::string_view job, const records::JobProgress& progress);

// Returns the key of the record of a unit of `progress`.
std::string make_unit_key(std::string_view job, const records::UnitProgress& unit);

} // namespace wigeon
