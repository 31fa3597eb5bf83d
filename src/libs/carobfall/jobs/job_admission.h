#pragma once

#include "carobfall/jobs/admission_shares.h"
#include "carobfall/jobs/job_request.h"
#include "carobfall/jobs/job_timing.h"
#include "carobfall/jobs/task_placement.h"

#include <absl/time/time.h>

#include <functional>
#include <string_view>

namespace carobfall {

enum class admission_reason {
    starts_at_once,
    wait_acceptable, ///< the last task waits, and its wait is short enough
    no_worker,       ///< there are tasks that no agent can take
    overloaded,      ///< the last task would start too late
};

/// Name used in answers, logs and explanations, for example "no_worker".
[[nodiscard]] std::string_view name_of(admission_reason reason);

/// The decision on a job with its inputs.
struct job_admission {
    admission_decision decision;
    admission_reason reason{admission_reason::starts_at_once};
    absl::Duration queued_for; ///< age of the queue
};

/// Decides whether a job is admitted whose tasks would be placed as in `placement`. Load pattern:
/// more jobs arrive than the workers can run. `last_immediate_start`: when a job could last start
/// at once. `shares`: decides while jobs have to be refused; the job isn't counted there. `random`
/// is as for `admit`.
[[nodiscard]] job_admission decide_admission(const job_request& request, const job_timing& timing,
                                             absl::Duration expected_run,
                                             const job_placement& placement,
                                             absl::Time last_immediate_start,
                                             const admission_shares& shares, absl::Time now,
                                             const std::function<double()>& random);

} // namespace carobfall
