// Records of the topic of units: the progress of each unit that was placed, under the name of its first task.

#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "jobs.pb.h"
#include "jobs/job_keys.h"
#include "store/record_store.h"

namespace wigeon {

// Progress of jobs by id, with all their units; the phases are not set.
using unit_progress_map = std::map<std::string, records::JobProgress, std::less<>>;

// Adds a record of the topic to its job's progress. Returns false, without a change, when the record can't be parsed.
bool add_unit_record(const keyed_record& record, unit_progress_map& progress);

// Returns the records of all units of a job's progress.
std::vector<keyed_record> make_unit_records(std::string_view job, const records::JobProgress& progress);

// Returns the key of the record of a unit of `progress`.
std::string make_unit_key(std::string_view job, const records::UnitProgress& unit);

} // namespace wigeon
