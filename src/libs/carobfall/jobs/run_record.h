#pragma once

#include "carobfall/fleet/fleet.pb.h"
#include "carobfall/jobs/job_request.h"
#include "carobfall/jobs/worker_orders.h"

#include <absl/time/time.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace carobfall {

/// Identifies a connection to an entry. 0: none; the run is left over from an earlier agent.
using session_number = std::uint64_t;

enum class task_phase {
    waiting,
    starting, ///< the order is under way
    running,
    stopping, ///< must end; stop orders are sent until one is answered
};

/// A task that an agent has been given, and its run on the worker.
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
    absl::Time not_before{absl::InfinitePast()}; ///< after a refusal for want of room
    absl::Time ordered_at;
    /// Time of the worker's latest answer to an order; a report asked for later shows its effect.
    absl::Time answered_at{absl::InfiniteFuture()};
    bool stop_under_way{false};
    std::uint32_t stop_tries{0};
    bool entry_lost{false}; ///< the connection that ordered it has ended
    std::string stop_reason;
    /// Since when others count on the end of the run. Never while its entry is there and waits for
    /// the agent's report, however long a stop takes.
    absl::Time stop_since{absl::InfiniteFuture()};
    /// Of a run that is done, if it was seen to end, or of one that is stopped because it would end
    /// too late; otherwise zero.
    absl::Duration known_run;
};

[[nodiscard]] task_run run_of(const run_record& record);
[[nodiscard]] resource_amounts demand_of(const fleet::task_order& order);
/// The run has to end. `since`: others have counted on it since then, never if they wait for the
/// agent's report.
void begin_stopping(run_record& record, std::string_view reason, absl::Time since);

} // namespace carobfall
