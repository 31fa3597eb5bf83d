#include "carobfall/jobs/job_timing.h"

#include <algorithm>

namespace carobfall {
namespace {

// A queue counts as a burst for this long. It is about the time in which two jobs arrive at an
// entry on a busy day without finding room. With 200 ms a standing queue counts as a burst.
constexpr absl::Duration burst_time = absl::Milliseconds(60);
constexpr double burst_share_of_slack = 0.3;
// Round trips between caller, entry, agent and backend server around a run.
constexpr absl::Duration answer_overhead = absl::Milliseconds(15);
// Retry-After has whole seconds; a shorter pause would be rounded to none.
constexpr absl::Duration min_retry_after = absl::Seconds(1);
// An answer later than this many times the objective is useless to its caller.
constexpr double late_factor = 3;
// Queue that keeps a worker busy: a run ends every 10 to 20 ms on a full worker with the declared
// mix of jobs. In the replayed load of tst_load_replay.cpp most jobs are on time with 15 to 25 ms.
constexpr absl::Duration busy_worker_queue = absl::Milliseconds(15);
// Share of its slack that a job may wait in addition. Refusing a long job costs more than letting
// it wait; with more than a tenth the short jobs become late.
constexpr double admitted_share_of_slack = 0.06;
// Tasks of the first priority overtake the others, so that they wait almost only for tasks of their
// own priority.
constexpr double first_priority_factor = 3;
// Shortest plausible share of an expected run time, because declared run times may be too long by
// this much.
constexpr double shortest_run_share = 0.6;
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
    return start + shortest_run_share * expected_run <= give_up;
}

absl::Duration admitted_wait(std::uint32_t priority, absl::Duration slack,
                             absl::Duration queued_for)
{
    slack = std::max(slack, absl::ZeroDuration());
    const absl::Duration base_wait = busy_worker_queue + admitted_share_of_slack * slack;
    const absl::Duration wait = priority == 0 ? first_priority_factor * base_wait : base_wait;
    return queued_for <= burst_time ? std::max(wait, burst_share_of_slack * slack) : wait;
}

admission_decision admit(const job_timing& timing, std::uint32_t priority,
                         absl::Duration expected_run, absl::Duration expected_wait,
                         absl::Duration queued_for, absl::Time now, double random)
{
    // Expected run times are too rough to refuse a job that could start at once.
    if (expected_wait <= absl::ZeroDuration() ||
        (expected_wait <= admitted_wait(priority, timing.start_by - now, queued_for) &&
         can_still_end(expected_run, now + expected_wait, timing.give_up))) {
        return {};
    }
    const absl::Duration base = std::clamp(expected_wait, min_retry_after, max_retry_after);
    return {false, base * (1 + random)};
}

} // namespace carobfall
