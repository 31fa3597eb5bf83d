#include "carobfall/jobs/job_timing.h"

#include <algorithm>

namespace carobfall {
namespace {

// A queue that is younger than this counts as a burst. On a busy day, about two jobs that find no
// room arrive at an entry in this time. With 200 ms, a standing queue would count as a burst.
constexpr absl::Duration burst_time = absl::Milliseconds(60);
constexpr double burst_share_of_slack = 0.3;
// Time for the messages between caller, entry, agent and backend server before and after a run.
constexpr absl::Duration answer_overhead = absl::Milliseconds(15);
// Retry-After is in whole seconds; a shorter delay would be rounded to zero.
constexpr absl::Duration min_retry_after = absl::Seconds(1);
// An answer later than this many times the objective is useless to its caller.
constexpr double late_factor = 3;
// Queue that keeps a worker busy. With the declared mix of jobs, a run ends every 10 to 20 ms on a
// full worker. In the load of tst_load_replay.cpp most jobs are on time with 15 to 25 ms.
constexpr absl::Duration busy_worker_queue = absl::Milliseconds(15);
// A job may wait longer by this share of its slack, because refusing a long job costs more than
// letting it wait. With more than a tenth, short jobs become late.
constexpr double admitted_share_of_slack = 0.06;
// Factor of the admitted wait for the first priority. Its tasks overtake the others, so that they
// wait almost only for tasks of their own priority.
constexpr double first_priority_factor = 3;
// Ratio of the shortest plausible run time to the expected run time. Declared run times may be too
// long by this factor.
constexpr double min_run_time_ratio = 0.6;
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
    return start + min_run_time_ratio * expected_run <= give_up;
}

absl::Duration admitted_wait(std::uint32_t priority, absl::Duration slack,
                             absl::Duration queued_for)
{
    slack = std::max(slack, absl::ZeroDuration());
    const absl::Duration base_wait = busy_worker_queue + admitted_share_of_slack * slack;
    const absl::Duration wait = priority == 0 ? first_priority_factor * base_wait : base_wait;
    return queued_for <= burst_time ? std::max(wait, burst_share_of_slack * slack) : wait;
}

absl::Duration spread_retry(absl::Duration delay, double random)
{
    return std::clamp(delay, min_retry_after, max_retry_after) * (1 + random);
}

admission_decision admit(const job_timing& timing, std::uint32_t priority,
                         absl::Duration expected_run, absl::Duration expected_wait,
                         absl::Duration queued_for, absl::Time now, double random)
{
    // A job that can start at once is never refused, because expected run times are inaccurate.
    if (expected_wait <= absl::ZeroDuration() ||
        (expected_wait <= admitted_wait(priority, timing.start_by - now, queued_for) &&
         can_still_end(expected_run, now + expected_wait, timing.give_up))) {
        return {};
    }
    return {false, spread_retry(expected_wait, random)};
}

} // namespace carobfall
