#pragma once

#include "carobfall/fleet/fleet.pb.h"
#include "carobfall/jobs/job_request.h"
#include "carobfall/jobs/run_queue.h"
#include "carobfall/jobs/waiting_profile.h"
#include "carobfall/jobs/worker_orders.h"

#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace carobfall {

/// Identifies a connection to an entry. 0 marks a run that was ordered by an earlier agent.
using session_number = std::uint64_t;

enum class task_phase {
    waiting,
    starting,    ///< the start order is under way
    unconfirmed, ///< the start order got no answer; a report shows whether it was carried out
    running,
    stopping, ///< has to end; stop orders are sent until one is answered
};

/// A task that an entry has ordered from the agent, and its run on the worker.
struct run_record {
    session_number session{0};
    fleet::task_order order;
    std::uint32_t run{0};
    resource_amounts demand;
    task_phase phase{task_phase::waiting};
    absl::Time received;
    absl::Time start_by;
    absl::Time late_start_by;
    absl::Time give_up;
    absl::Time not_before{absl::InfinitePast()}; ///< set after a refusal for lack of room
    absl::Time ordered_at;
    /// Time of the worker's latest answer to a start or stop order. Reports that are requested
    /// later show the effect of the order.
    absl::Time answered_at{absl::InfiniteFuture()};
    bool listed_active{false}; ///< a report has listed the run, so the start was carried out
    /// Progress at the report from which on the pace is measured.
    int paced_percent{0};
    absl::Time paced_at{absl::InfinitePast()};
    absl::Time unconfirmed_since{absl::InfiniteFuture()};
    bool stop_under_way{false};
    std::uint32_t stop_tries{0};
    bool entry_lost{false}; ///< the connection that carried the order has ended
    std::string stop_reason;
    /// Time since which other processes rely on the end of the run. Infinite while the entry is
    /// connected and waits for the report of the agent, however long the stop takes.
    absl::Time stop_since{absl::InfiniteFuture()};
    /// Measured run time if the run is done and its end was observed. Predicted run time if the run
    /// is stopped because it would end too late. Otherwise zero.
    absl::Duration known_run;
    absl::Duration predicted_run; ///< by the progress in the latest report; zero if unknown
};

/// Records of an agent by number, in the order in which the tasks were ordered.
using run_record_map = std::map<std::uint64_t, run_record>;

[[nodiscard]] task_run run_of(const run_record& record);
[[nodiscard]] resource_amounts demand_of(const fleet::task_order& order);
/// Marks the run as due to stop. `since`: time since which other processes rely on its end;
/// infinite if they wait for the report of the agent.
void begin_stopping(run_record& record, std::string_view reason, absl::Time since);

/// Stops a run whose start has neither been answered nor been confirmed by a report. The worker may
/// still carry the start out until it has answered a stop order.
void stop_unconfirmed(run_record& record);
/// Record of a run that no order of this agent has started. It has to stop.
[[nodiscard]] run_record unknown_run(const task_run& run, absl::Time now);
[[nodiscard]] fleet::task_event_kind event_kind_of(run_end_kind kind);
/// Returns why the task may not run on the worker, or an empty string if it may.
[[nodiscard]] std::string_view mismatch_of(const run_record& record,
                                           const worker_announcement& worker);

/// Returns how much slower than expected the run has proceeded since an earlier report, or nothing
/// if that is too short a time.
[[nodiscard]] std::optional<double> take_pace(run_record& record, int percent_done, absl::Time now);

/// What the place of a waiting task in the queue depends on.
[[nodiscard]] waiting_task waiting_task_of(const run_record& record);

/// Room that the runs use on the worker.
[[nodiscard]] resource_amounts used_room(const run_record_map& records);
/// Room that the waiting tasks demand.
[[nodiscard]] waiting_profile waiting_room_of(const run_record_map& records, absl::Time now);
/// Thousandths of a core that ending runs release per second if they take the expected time.
[[nodiscard]] double expected_release(const run_record_map& records);

} // namespace carobfall
