#include "carobfall/jobs/job_timing.h"

#include <algorithm>

namespace carobfall {
namespace {

// Round trips between caller, entry, agent and backend server around a run.
constexpr absl::Duration answer_overhead = absl::Milliseconds(15);
// Retry-After has whole seconds; a shorter pause would be rounded to none.
constexpr absl::Duration min_retry_after = absl::Seconds(1);
// Callers have no use of an answer later than this many times the objective.
constexpr double late_factor = 3;
// Waits are expected too long by about this, as runs may end sooner.
constexpr absl::Duration admission_tolerance = absl::Milliseconds(40);
// Run times are declared up to this much too long.
constexpr double optimistic_share = 0.6;
constexpr absl::Duration max_retry_after = absl::Seconds(8);

} // namespace

job_timing timing_of(const job_request& request, absl::Duration expected_run, absl::Time arrival)
{
    job_timing timing;
    timing.objective = request.slack_factor * expected_run + request.target;
    timing.give_up = arrival + request.time_limit;
    timing.start_by =
        std::min(arrival + timing.objective, timing.give_up) - expected_run - answer_overhead;
    timing.late_start_by =
        std::min(arrival + late_factor * timing.objective, timing.give_up) - expected_run;
    return timing;
}

bool can_still_end(absl::Duration expected_run, absl::Time start, absl::Time give_up)
{
    return start + optimistic_share * expected_run <= give_up;
}

admission_decision admit(const job_timing& timing, absl::Duration expected_run,
                         absl::Duration expected_wait, absl::Time now, double random)
{
    // Expected run times are too rough to refuse a job that could start at once.
    if (expected_wait <= absl::ZeroDuration() ||
        (now + expected_wait <= timing.start_by + admission_tolerance &&
         can_still_end(expected_run, now + expected_wait, timing.give_up))) {
        return {};
    }
    const absl::Duration base = std::clamp(expected_wait, min_retry_after, max_retry_after);
    return {false, base * (1 + random)};
}

} // namespace carobfall
