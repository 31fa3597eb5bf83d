#include "carobfall/jobs/job_timing.h"

#include <algorithm>

namespace carobfall {
namespace {

// About two arrivals at an entry on a busy day without one that finds room. With 200 ms a standing
// queue is taken for a burst.
constexpr absl::Duration burst_time = absl::Milliseconds(60);
constexpr double burst_share_of_slack = 0.3;
// Round trips between caller, entry, agent and backend server around a run.
constexpr absl::Duration answer_overhead = absl::Milliseconds(15);
// Retry-After has whole seconds; a shorter pause would be rounded to none.
constexpr absl::Duration min_retry_after = absl::Seconds(1);
// Callers have no use of an answer later than this many times the objective.
constexpr double late_factor = 3;
// The queue that keeps a worker busy: on the users' sheets a run ends every 10 to 20 ms on a full
// worker. The replayed load of tst_load_replay.cpp is served best with 15 to 25 ms.
constexpr absl::Duration busy_queue = absl::Milliseconds(15);
// A refused long job costs more than its wait; with more than a tenth the short ones turn late.
constexpr double admitted_share_of_slack = 0.06;
// Tasks of the first priority pass the others, so that their queue holds little but their own kind.
constexpr double first_priority_factor = 3;
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

absl::Duration admitted_wait(std::uint32_t priority, absl::Duration slack,
                             absl::Duration queued_for)
{
    slack = std::max(slack, absl::ZeroDuration());
    const absl::Duration standing = busy_queue + admitted_share_of_slack * slack;
    const absl::Duration wait = priority == 0 ? first_priority_factor * standing : standing;
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
