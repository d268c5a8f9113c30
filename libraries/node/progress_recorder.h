// What a leader records in the store: the progress of jobs, in the format that the store is in, and its heartbeats.

#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "dispatch/dispatcher.h"
#include "node/leader_identity.h"
#include "node/node_state.h"
#include "node/progress_writer.h"

namespace wigeon {

// Each of the calls that takes a handler calls it once, unless stop() comes first, and none may be made before the
// handler of the last one was called. An outcome other than done ends the leadership.
class progress_recorder : public std::enable_shared_from_this<progress_recorder> {
public:
    using handler = std::function<void(progress_outcome)>;

    progress_recorder(boost::asio::io_context& loop, record_store& store, node_state& state,
                      const leader_identity& identity, std::uint64_t term, boot_time now);

    // Shuts out the appends of former leaders. Must be done first.
    void fence_former_leader(handler done);

    struct heartbeat {
        lease_record leases;
        bool is_resigning = false;
    };

    // Records a heartbeat alone.
    void send_heartbeat(const heartbeat& content, boot_time now, handler done);
    [[nodiscard]] bool is_heartbeat_due(boot_time now) const;

    // Records the progress of all jobs per unit, and last the mark of that format. Until the mark is stored, the
    // progress per job stays in force.
    void convert_to_unit_records(handler done);

    struct removals {
        std::vector<keyed_record> progress; // Tombstones of jobs that ended long ago.
        std::vector<keyed_record> units;    // Tombstones of units whose jobs are gone.
    };

    // Records the changes, the removals and the heartbeat, if there is one. Returns false, without calling `done`, when
    // there is nothing to record now. Phases that are not final may be left for a later call, unless there is a
    // heartbeat.
    bool record(const dispatch_changes& changes, removals removed, const std::optional<heartbeat>& beat, boot_time now,
                handler done);

    // No handler is called afterwards.
    void stop();

    [[nodiscard]] bool is_appending() const { return !this->appends.empty(); }
    // The store had seen no later leader at this time.
    [[nodiscard]] boot_time confirmed_as_of() const
    {
        return std::max({this->job_writer->confirmed_as_of(), this->unit_writer->confirmed_as_of(),
                         this->state_writer->confirmed_as_of()});
    }
    // The same for the topic that followers read.
    [[nodiscard]] boot_time heartbeat_confirmed_as_of() const { return this->followed_writer().confirmed_as_of(); }
    [[nodiscard]] bool has_timed_out(boot_time now) const { return this->followed_writer().has_timed_out(now); }

private:
    struct topic_append {
        std::shared_ptr<progress_writer> writer;
        std::vector<keyed_record> records;
    };

    // The writer of the topic that followers read.
    [[nodiscard]] progress_writer& followed_writer() const
    {
        return this->state.has_unit_records() ? *this->state_writer : *this->job_writer;
    }
    [[nodiscard]] keyed_record make_heartbeat(const heartbeat& content) const;
    std::vector<keyed_record> take_phase_records(const dispatch_changes& changes, bool is_due);
    void append_all(std::vector<topic_append> all, handler done);
    void handle_outcome(progress_outcome outcome);
    void apply_appended(boot_time now);
    void append_batches(std::vector<topic_append> batches, handler done);
    std::vector<topic_append> make_conversion() const;

    node_state& state;
    const leader_identity identity;
    const std::uint64_t term;
    std::shared_ptr<progress_writer> job_writer;
    std::shared_ptr<progress_writer> unit_writer;
    std::shared_ptr<progress_writer> state_writer;
    std::vector<topic_append> appends; // In flight; their records stay valid until all are stored.
    std::size_t unanswered_appends = 0;
    handler on_appended;
    std::map<std::string, records::JobPhase> unsent_phases; // Not final.
    boot_time last_followed_append;                         // When the last append to the followed topic was begun.
};

} // namespace wigeon
