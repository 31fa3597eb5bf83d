#pragma once

#include "carobfall/jobs/job_request.h"
#include "carobfall/jobs/run_record.h"

#include <absl/time/time.h>

#include <cstdint>
#include <vector>

namespace carobfall {

/// What the decision to return a waiting task depends on.
struct waiting_time {
    absl::Duration waited;
    absl::Duration remaining;    ///< expected rest of the wait at the present rate of the worker
    absl::Duration longest_wait; ///< that the entry allows; zero if the entry sets no limit
    absl::Duration expected_run;
    absl::Time late_start_by;
    absl::Time give_up;
};

/// Whether a waiting task should be returned to its entry, which places it elsewhere.
///
/// Load pattern: a fifth of the workers becomes five times slower while tasks wait there. Under a
/// general overload all queues are long, and the entry has allowed for that in the longest wait. So
/// a task is returned only if the rest of its wait here exceeds the whole wait that its entry
/// expected at the best worker, and the cost of a move.
[[nodiscard]] bool should_return(const waiting_time& time, absl::Time now);

/// A waiting task to return, with the inputs of the decision.
struct overlong_wait {
    std::uint64_t number{0}; ///< of the record
    absl::Duration waited;
    absl::Duration remaining;
};

/// Rate at which the runs release room, in thousandths of a core per second. `expected_release`
/// assumes the expected run times. This rate assumes the times that the progress of the runs
/// predicts, so that it shows within a run that the worker has become slow.
[[nodiscard]] double present_release(const run_record_map& records, double slowness,
                                     absl::Time now);

/// Returns the waiting tasks to return. Tasks are considered in the order of the queue: a returned
/// task no longer delays the tasks behind it.
[[nodiscard]] std::vector<overlong_wait> find_overlong_waits(const run_record_map& records,
                                                             const resource_amounts& capacity,
                                                             double slowness, absl::Time now);

} // namespace carobfall
