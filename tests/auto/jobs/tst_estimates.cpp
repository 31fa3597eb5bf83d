#include "carobfall/jobs/failure_rate.h"
#include "carobfall/jobs/run_progress.h"
#include "carobfall/jobs/run_time_estimator.h"
#include "carobfall/jobs/worker_speed.h"

#include <doctest/doctest.h>

#include <string>

using namespace carobfall;

namespace {

const absl::Time start = absl::FromUnixSeconds(1000);

run_progress progress(int percent_done, absl::Duration expected = absl::Milliseconds(100))
{
    return {start, expected, start + absl::Milliseconds(1000), percent_done};
}

} // namespace

TEST_CASE("without measured runs the declaration counts")
{
    run_time_estimator estimator;
    CHECK(estimator.expected("route", absl::Milliseconds(70)) == absl::Milliseconds(70));
}

// Guards against trust in declarations, which are off by factors from 0.2 to 4.7.
TEST_CASE("declaration and measured runs of the route count the same")
{
    run_time_estimator estimator;
    for (int i = 0; i < 200; ++i) {
        estimator.record("route", absl::Milliseconds(100), absl::Milliseconds(200));
    }
    CHECK(absl::ToDoubleMilliseconds(estimator.expected("route", absl::Milliseconds(100))) ==
          doctest::Approx(200));
    CHECK(absl::ToDoubleMilliseconds(estimator.expected("route", absl::Milliseconds(400))) ==
          doctest::Approx(400));
    CHECK(estimator.expected("other", absl::Milliseconds(400)) == absl::Milliseconds(400));
}

// Guards against callers that wait to the end for a task that is far longer than declared.
TEST_CASE("a run whose progress can't end it in time is noticed early")
{
    CHECK_FALSE(ends_too_late(progress(2), start + absl::Milliseconds(60)));
    CHECK(ends_too_late(progress(5), start + absl::Milliseconds(100)));
    CHECK_FALSE(ends_too_late(progress(50), start + absl::Milliseconds(400)));
}

// Guards against answers given up over a percentage that is rounded.
TEST_CASE("a run that is expected to be late by less than the percentage tells goes on")
{
    CHECK_FALSE(ends_too_late(progress(10), start + absl::Milliseconds(105)));
}

// Load pattern: tasks on some workers stand still.
TEST_CASE("a run without progress counts as hanging after twice its expected time")
{
    CHECK_FALSE(ends_too_late(progress(0), start + absl::Milliseconds(160)));
    CHECK(ends_too_late(progress(0), start + absl::Milliseconds(210)));
    CHECK_FALSE(
        ends_too_late(progress(0, absl::Milliseconds(300)), start + absl::Milliseconds(400)));
}

TEST_CASE("a slow worker is noticed within some runs and trusted again with time")
{
    worker_speed speed;
    CHECK(speed.slowness(start) == doctest::Approx(1));
    for (int i = 0; i < 40; ++i) {
        speed.record(absl::Milliseconds(500), absl::Milliseconds(100), start);
    }
    CHECK(speed.slowness(start) > 4);
    CHECK(speed.slowness(start + absl::Seconds(20)) < 1.1);
}

TEST_CASE("a failing worker is noticed within some runs and tried again within seconds")
{
    failure_rate failures;
    for (int i = 0; i < 20; ++i) {
        failures.record(true, start);
    }
    CHECK(failures.share(start) > 0.8);
    CHECK(failures.share(start + absl::Seconds(8)) < 0.1);
}

// Guards against sound workers that are avoided because a few jobs fail everywhere.
TEST_CASE("few failures among many runs count little")
{
    failure_rate failures;
    for (int i = 0; i < 100; ++i) {
        failures.record(i % 25 == 0, start);
    }
    CHECK(failures.share(start) < 0.15);
}
