#include "carobfall/jobs/report_schedule.h"

#include <doctest/doctest.h>

using namespace carobfall;

namespace {

const absl::Time start = absl::FromUnixSeconds(1000);
const absl::Time no_doubt = absl::InfinitePast();

absl::Time after(int milliseconds)
{
    return start + absl::Milliseconds(milliseconds);
}

} // namespace

// Load pattern: a worker leaves a share of all calls unanswered. Guards against an agent that
// notices the end of a run only after its lost request has timed out.
TEST_CASE("a report that is outstanding for long is requested again while the worker has runs")
{
    report_schedule schedule;
    CHECK(schedule.is_due(false, no_doubt, start));
    schedule.on_requested(start);
    CHECK_FALSE(schedule.is_due(true, no_doubt, after(10)));
    CHECK(schedule.is_due(true, no_doubt, after(50)));
    CHECK_FALSE(schedule.is_due(false, no_doubt, after(50)));
}

// Guards against an agent that starts nothing for the time of a delayed report after each order
// without an answer.
TEST_CASE("a report is requested at once when the worker is doubted, and again while it is")
{
    report_schedule schedule;
    schedule.on_requested(start);
    CHECK(schedule.is_due(false, after(5), after(5)));
    schedule.on_requested(after(5));
    CHECK_FALSE(schedule.is_due(true, after(5), after(10)));
    CHECK(schedule.is_due(false, after(5), after(25)));
}

// Guards against requests that accumulate at a worker that answers none.
TEST_CASE("the number of outstanding reports is bounded")
{
    report_schedule schedule;
    int requests = 0;
    for (int milliseconds = 0; milliseconds < 1000; milliseconds += 10) {
        if (schedule.is_due(true, no_doubt, after(milliseconds))) {
            schedule.on_requested(after(milliseconds));
            ++requests;
        }
    }
    CHECK(requests == 3);
    schedule.on_ended();
    CHECK(schedule.is_due(true, no_doubt, after(1000)));
}

// Guards against an old report after which progress seems to decrease or runs seem to have ended.
TEST_CASE("a report is ignored after a report that was requested later")
{
    report_schedule schedule;
    CHECK(schedule.accept(after(40)));
    CHECK_FALSE(schedule.accept(start));
    CHECK(schedule.accept(after(41)));
}
