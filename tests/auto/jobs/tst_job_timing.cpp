#include "carobfall/jobs/job_timing.h"

#include <doctest/doctest.h>

using namespace carobfall;

namespace {

const absl::Time arrival = absl::FromUnixSeconds(1000);
// Age of a queue that is older than a burst.
const absl::Duration standing_queue_age = absl::Seconds(2);

job_request request(absl::Duration time_limit = absl::Seconds(2))
{
    job_request job;
    job.slack_factor = 1.6;
    job.target = absl::Milliseconds(60);
    job.time_limit = time_limit;
    return job;
}

} // namespace

TEST_CASE("the latest start leaves time for the run and the round trips")
{
    const job_timing timing = timing_of(request(), absl::Milliseconds(200), arrival);
    CHECK(timing.objective == absl::Milliseconds(380));
    CHECK(timing.start_by == arrival + absl::Milliseconds(165));
    CHECK(timing.give_up == arrival + absl::Seconds(2));
}

// Guards against tasks that start in time for their objective but after the caller has left.
TEST_CASE("a time limit below the objective determines the latest start")
{
    const job_timing timing =
        timing_of(request(absl::Milliseconds(300)), absl::Milliseconds(200), arrival);
    CHECK(timing.start_by == arrival + absl::Milliseconds(85));
    CHECK(timing.late_start_by == arrival + absl::Milliseconds(100));
}

// Load pattern: many users arrive at once. Guards against jobs that wait for the whole time limit
// of their caller and are then given up: 452 jobs on one day of high load.
TEST_CASE("a job that can't start in time is refused at once")
{
    const absl::Duration run = absl::Milliseconds(200);
    const job_timing timing = timing_of(request(), run, arrival);
    CHECK(admit(timing, 1, run, absl::Milliseconds(20), standing_queue_age, arrival, 0).admitted);
    const admission_decision refused =
        admit(timing, 1, run, absl::Milliseconds(400), standing_queue_age, arrival, 0);
    CHECK_FALSE(refused.admitted);
    CHECK(refused.retry_after == absl::Seconds(1));
}

// Load pattern: load beyond the room of all workers for longer than the slack of a job. Guards
// against a standing queue that is as long as the slack: a third of the jobs were late.
TEST_CASE("a job is refused before the queue has grown to its slack")
{
    const absl::Duration run = absl::Milliseconds(200);
    const job_timing timing = timing_of(request(), run, arrival);
    const absl::Duration slack = timing.start_by - arrival;
    CHECK_FALSE(admit(timing, 1, run, slack / 2, standing_queue_age, arrival, 0).admitted);
    CHECK(admitted_wait(1, slack, standing_queue_age) < slack / 2);
}

// Tasks of the first priority overtake the others, so that a given wait indicates less load.
TEST_CASE("a job of the first priority is admitted with a longer wait than others")
{
    const absl::Duration slack = absl::Milliseconds(100);
    CHECK(admitted_wait(0, slack, standing_queue_age) >
          admitted_wait(1, slack, standing_queue_age));
    CHECK(admitted_wait(0, slack, standing_queue_age) < slack);
    CHECK(admitted_wait(1, slack, standing_queue_age) ==
          admitted_wait(2, slack, standing_queue_age));
}

// Load pattern: a few wide jobs at once, with the workers four fifths full. Guards against refusing
// jobs although the workers have room for the average load: 4% of the jobs were refused in such
// seconds.
TEST_CASE("a new queue may be longer than a standing queue")
{
    const absl::Duration slack = absl::Milliseconds(600);
    const absl::Duration burst = admitted_wait(1, slack, absl::Milliseconds(10));
    CHECK(burst > 2 * admitted_wait(1, slack, standing_queue_age));
    CHECK(burst < slack / 2);
}

// Guards against refusals because of an inaccurate declared run time while workers are free: 17
// jobs were refused on the calm day.
TEST_CASE("a job that can start at once is never refused because of its expected run time")
{
    const absl::Duration run = absl::Seconds(9);
    const job_timing timing = timing_of(request(), run, arrival);
    CHECK(admit(timing, 1, run, absl::ZeroDuration(), standing_queue_age, arrival, 0).admitted);
}

// Guards against refused callers that all return at the same time.
TEST_CASE("the retry time is spread at random and has an upper bound")
{
    const absl::Duration run = absl::Milliseconds(200);
    const job_timing timing = timing_of(request(), run, arrival);
    const auto first =
        admit(timing, 1, run, absl::Seconds(3), standing_queue_age, arrival, 0).retry_after;
    const auto last =
        admit(timing, 1, run, absl::Seconds(3), standing_queue_age, arrival, 1).retry_after;
    CHECK(first == absl::Seconds(3));
    CHECK(last == absl::Seconds(6));
    CHECK(admit(timing, 1, run, absl::Hours(1), standing_queue_age, arrival, 0).retry_after <=
          absl::Seconds(8));
}
