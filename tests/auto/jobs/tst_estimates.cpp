#include "carobfall/jobs/failure_rate.h"
#include "carobfall/jobs/run_progress.h"
#include "carobfall/jobs/run_record.h"
#include "carobfall/jobs/run_time_estimator.h"
#include "carobfall/jobs/worker_speed.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace carobfall;

namespace {

const absl::Time start = absl::FromUnixSeconds(1000);

run_progress progress(int percent_done, absl::Duration expected = absl::Milliseconds(100))
{
    return {start, expected, start + absl::Milliseconds(1000), percent_done};
}

} // namespace

TEST_CASE("the declared run time is expected until runs have been measured")
{
    run_time_estimator estimator;
    CHECK(estimator.expected("route", absl::Milliseconds(70)) == absl::Milliseconds(70));
}

// Guards against relying on declared run times alone, which are off by factors from 0.2 to 4.7.
TEST_CASE("declared and measured run times have the same weight")
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

// Guards against callers that wait until their time limit for a task that is far longer than
// declared.
TEST_CASE("a run that is too slow to end in time is detected early")
{
    CHECK_FALSE(ends_too_late(progress(2), start + absl::Milliseconds(60)));
    CHECK(ends_too_late(progress(5), start + absl::Milliseconds(100)));
    CHECK_FALSE(ends_too_late(progress(50), start + absl::Milliseconds(400)));
}

// Guards against runs that are stopped because of the rounding of the percentage.
TEST_CASE("a run whose predicted lateness is within the rounding error goes on")
{
    CHECK_FALSE(ends_too_late(progress(10), start + absl::Milliseconds(105)));
}

// Load pattern: tasks on some workers make no progress.
TEST_CASE("a run without progress counts as hanging after twice its expected time")
{
    CHECK_FALSE(ends_too_late(progress(0), start + absl::Milliseconds(160)));
    CHECK(ends_too_late(progress(0), start + absl::Milliseconds(210)));
    CHECK_FALSE(
        ends_too_late(progress(0, absl::Milliseconds(300)), start + absl::Milliseconds(400)));
}

TEST_CASE("a slow worker is detected within some runs, and the slowness decays with time")
{
    worker_speed speed;
    CHECK(speed.slowness(start) == doctest::Approx(1));
    for (int i = 0; i < 40; ++i) {
        speed.record(absl::Milliseconds(500), absl::Milliseconds(100), start);
    }
    CHECK(speed.slowness(start) > 4);
    CHECK(speed.slowness(start + absl::Seconds(20)) < 1.1);
}

// Load pattern: a worker becomes five times slower while 16 runs are active. Guards against tasks
// that are sent there for seconds because runs on it end rarely.
TEST_CASE("the pace of active runs shows a slow worker before its runs end")
{
    worker_speed speed;
    absl::Time now = start;
    for (int i = 0; i < 8; ++i) {
        now += absl::Milliseconds(50);
        speed.record_pace(std::vector<double>(16, 5.0), now);
    }
    CHECK(speed.slowness(now) > 2.9);
    for (int i = 0; i < 16; ++i) {
        now += absl::Milliseconds(50);
        speed.record_pace(std::vector<double>(16, 1.0), now);
    }
    CHECK(speed.slowness(now) < slow_worker_threshold);
}

// Guards against a worker that counts as slow because of one job that takes longer than declared.
TEST_CASE("the pace of few runs or of a minority of the runs does not change the speed")
{
    worker_speed speed;
    speed.record_pace({5, 5, 5, 5, 5}, start);
    speed.record_pace({5, 5, 5, 1, 1, 1, 1}, start);
    speed.record_pace(std::vector<double>(8, 1.6), start);
    CHECK(speed.slowness(start) == doctest::Approx(1));
}

// Load pattern: a quarter of the workers is always slower by a factor of about 1.8. Guards against
// an average that follows only the runs that are slower than the others: 500 of 18,000 jobs were
// refused because such workers seemed slower than they are.
TEST_CASE("the pace of a worker that is always slow does not change its average")
{
    worker_speed speed;
    for (int i = 0; i < 100; ++i) {
        speed.record(absl::Milliseconds(180), absl::Milliseconds(100), start);
    }
    const double average = speed.slowness(start);
    speed.record_pace(std::vector<double>(8, 2.4), start);
    speed.record_pace(std::vector<double>(8, 1.4), start);
    CHECK(speed.slowness(start) == doctest::Approx(average));
}

// Guards against the rounding of the percentage: a run of 2 s shows no progress in most intervals
// of 10 ms.
TEST_CASE("the pace of a run is measured over a tenth of its run time at least")
{
    run_record record;
    record.order.set_expected_run_ms(2000);
    std::vector<double> paces;
    for (int milliseconds = 0; milliseconds <= 1000; milliseconds += 10) {
        const auto pace =
            take_pace(record, milliseconds / 20, start + absl::Milliseconds(milliseconds));
        if (pace) {
            paces.push_back(*pace);
        }
    }
    REQUIRE(paces.size() == 5);
    for (const double pace : paces) {
        CHECK(pace == doctest::Approx(1).epsilon(0.1));
    }
}

TEST_CASE("a failing worker is detected within some runs, and the failures decay within seconds")
{
    failure_rate failures;
    for (int i = 0; i < 20; ++i) {
        failures.record(true, start);
    }
    CHECK(failures.share(start) > 0.8);
    CHECK(failures.share(start + absl::Seconds(8)) < 0.1);
}

// Guards against avoiding sound workers because a few jobs fail on every worker.
TEST_CASE("few failures among many runs have little effect")
{
    failure_rate failures;
    for (int i = 0; i < 100; ++i) {
        failures.record(i % 25 == 0, start);
    }
    CHECK(failures.share(start) < 0.15);
}

// Guards against an average that is no number after one infinite declared run time: all later jobs
// of the route would be refused.
TEST_CASE("an infinite declared run time does not invalidate the estimates of a route")
{
    run_time_estimator estimator;
    for (int i = 0; i < 20; ++i) {
        const absl::Duration declared =
            i % 5 == 0 ? absl::InfiniteDuration() : absl::Milliseconds(60);
        estimator.record("check", declared, absl::Milliseconds(60));
    }
    CHECK(estimator.expected("check", absl::Milliseconds(60)) > absl::ZeroDuration());
    CHECK(estimator.expected("check", absl::Milliseconds(60)) < absl::Hours(1));
}
