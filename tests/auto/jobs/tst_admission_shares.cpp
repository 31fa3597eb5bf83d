#include "carobfall/jobs/admission_record.h"
#include "carobfall/jobs/admission_shares.h"
#include "carobfall/jobs/fair_shares.h"

#include <absl/strings/str_cat.h>
#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <limits>
#include <string>
#include <vector>

using namespace carobfall;

namespace {

const absl::Time start = absl::FromUnixSeconds(1000);
const absl::Duration run = absl::Milliseconds(200);
// Slack of the jobs below: 1.6 x 200 ms + 60 ms - 200 ms - 15 ms.
const absl::Duration slack = absl::Milliseconds(165);
const absl::Duration standing_queue = absl::Seconds(2);
const absl::Duration short_wait = 0.3 * admitted_wait(1, slack, standing_queue);
const absl::Duration long_wait = 2 * admitted_wait(1, slack, standing_queue);

job_request job_of(const std::string& route, std::uint32_t tasks = 1)
{
    job_request job;
    job.route = route;
    job.task_count = tasks;
    job.demand.cpu_millicores = 1000;
    job.priority = 1;
    job.slack_factor = 1.6;
    job.target = absl::Milliseconds(60);
    job.time_limit = absl::Seconds(2);
    return job;
}

admission_decision decide(admission_shares& shares, const std::string& route, absl::Duration wait,
                          absl::Time now, std::uint32_t tasks = 1, absl::Duration expected = run)
{
    const job_request job = job_of(route, tasks);
    return shares.decide(job, timing_of(job, expected, now), {expected, wait, standing_queue}, now,
                         0);
}

admission_shares with_settings(const admission_settings_builder& builder)
{
    admission_shares shares;
    shares.configure(builder.build().value());
    return shares;
}

/// Routes with a number of jobs each 10 ms that are admitted, and that are refused.
struct history {
    std::string route;
    std::uint32_t admitted{0};
    std::uint32_t refused{0};
};

absl::Time observe(admission_shares& shares, const std::vector<history>& routes)
{
    absl::Time now = start;
    for (int step = 0; step < 200; ++step, now += absl::Milliseconds(10)) {
        for (const history& route : routes) {
            decide(shares, route.route, absl::ZeroDuration(), now, route.admitted);
            decide(shares, route.route, absl::Seconds(1), now, route.refused);
        }
    }
    return now;
}

} // namespace

// Guards against a share that is lost when its route doesn't use it, and against weights that are
// not applied.
TEST_CASE("room is divided by weight, and unused shares go to the other routes")
{
    const auto divide = [](const std::vector<weighted_demand>& routes, double floor = 0) {
        return fair_shares(routes, 100, floor);
    };
    CHECK(divide({{100, 1}, {100, 3}}) == std::vector<double>{25, 75});
    CHECK(divide({{10, 1}, {200, 1}, {200, 2}})[1] == doctest::Approx(30));
    CHECK(divide({{10, 1}, {200, 1}, {200, 2}})[2] == doctest::Approx(60));
    CHECK(divide({{10, 1}, {20, 1}})[0] == doctest::Approx(100));
    // The floor raises the share of the first route; beyond the room, all get the same part.
    CHECK(divide({{100, 0.01}, {100, 1000}}, 0.25)[0] == doctest::Approx(25));
    CHECK(divide({{100, 0.01}, {100, 1000}}, 0.25)[1] == doctest::Approx(75));
    CHECK(divide({{900, 1}, {100, 1000}}, 0.25)[0] == doctest::Approx(90));
}

// Guards against sums that exceed the room, and against infinite or undefined shares, with weights
// and demands at the limits of their ranges.
TEST_CASE("shares are finite, and what the routes take adds up to the room")
{
    const std::vector<double> numbers{0, 1e-9, 1, 1e6, 1e18};
    for (const double first : numbers) {
        for (const double second : numbers) {
            for (const double weight : {1e-9, 1.0, 1000.0}) {
                for (const double room : numbers) {
                    const std::vector<double> shares = fair_shares(
                        std::vector<weighted_demand>{{first, weight}, {second, 1}}, room, 0.25);
                    REQUIRE(std::isfinite(shares[0]));
                    REQUIRE(std::isfinite(shares[1]));
                    const double taken = std::min(first, shares[0]) + std::min(second, shares[1]);
                    CHECK(taken == doctest::Approx(std::min(room, first + second)));
                }
            }
        }
    }
}

// Load pattern: one route at 2.4 times its usual rate. Guards against refusals of the other one,
// and against a job that is refused although it can start at once or admitted without a chance.
TEST_CASE("the route that has grown gets a shorter queue, and the other one a longer queue")
{
    admission_shares shares = with_settings(admission_settings_builder());
    const absl::Time now = observe(shares, {{"grown", 14, 10}, {"usual", 8, 2}});
    CHECK_FALSE(decide(shares, "grown", short_wait, now).admitted);
    CHECK(decide(shares, "usual", long_wait, now).admitted);
    CHECK(decide(shares, "grown", absl::ZeroDuration(), now, 1, absl::Seconds(9)).admitted);
    CHECK_FALSE(decide(shares, "usual", slack, now).admitted);
    CHECK_FALSE(decide(shares, "usual", short_wait, now, 1, absl::Seconds(9)).admitted);
    log_fields fields("job_refused");
    add_shares(fields, shares.shares(now));
    CHECK(fields.text().find("above_share=grown shares=grown:") != std::string::npos);
}

// Guards against weights that the decision ignores: the same history, decided the other way round.
TEST_CASE("a route with a greater weight may take more than the others")
{
    admission_shares shares = with_settings(admission_settings_builder().weight("grown", 3));
    const absl::Time now = observe(shares, {{"grown", 14, 10}, {"usual", 8, 2}});
    CHECK(decide(shares, "grown", long_wait, now).admitted);
    CHECK_FALSE(decide(shares, "usual", short_wait, now).admitted);
}

// Guards against a route that starves because its weight is small, and against one that stays below
// the floor because the queue is hardly longer for a route a little below its share.
TEST_CASE("a route that is admitted less than the floor goes first")
{
    for (const double floor : {0.0, 0.25}) {
        admission_shares shares =
            with_settings(admission_settings_builder().weight("minor", 0.001).floor(floor));
        const absl::Time now = observe(shares, {{"minor", 49, 151}, {"major", 400, 100}});
        CHECK(decide(shares, "minor", 1.5 * long_wait, now).admitted == (floor > 0));
    }
}

// Guards against decisions by the averages of a few jobs after a restart, and against an entry that
// keeps dividing its room after the overload.
TEST_CASE("without averages and without a shortage of room, the queue is that of all routes")
{
    admission_shares shares = with_settings(admission_settings_builder());
    CHECK_FALSE(decide(shares, "usual", long_wait, start).admitted);
    CHECK(decide(shares, "grown", short_wait, start).admitted);
    CHECK_FALSE(decide(shares, "usual", long_wait, start + absl::Milliseconds(500)).admitted);
    CHECK(decide(shares, "usual", long_wait, start + absl::Seconds(1)).admitted);
    shares = with_settings(admission_settings_builder());
    const absl::Time now = observe(shares, {{"grown", 24, 0}, {"usual", 8, 0}});
    CHECK(decide(shares, "grown", short_wait, now).admitted);
    CHECK_FALSE(decide(shares, "usual", long_wait, now).admitted);
}

// Guards against refused callers that return while their route is still above its share.
TEST_CASE("the retry time covers the time until the route is back at its share")
{
    admission_shares shares = with_settings(admission_settings_builder());
    const absl::Time now = observe(shares, {{"grown", 24, 10}, {"usual", 2, 20}});
    const absl::Duration retry = decide(shares, "grown", short_wait, now).retry_after;
    // 24 of the 26 admitted units, with a share of 13: 3 s x ln(24 / 13) = 1.8 s.
    CHECK(retry > absl::Milliseconds(1700));
    CHECK(retry < absl::Milliseconds(1950));
}

// Guards against memory that grows with each route that a configuration has ever had, and against
// numbers of jobs that make the averages infinite.
TEST_CASE("the state is bounded when routes come and go, and stays finite with odd jobs")
{
    admission_shares shares = with_settings(admission_settings_builder());
    for (int i = 0; i < 1500; ++i) {
        decide(shares, absl::StrCat("route-", i), absl::ZeroDuration(), start);
    }
    CHECK(shares.shares(start).size() == 1000);
    const absl::Time later = start + absl::Seconds(40);
    decide(shares, "odd", absl::ZeroDuration(), later);
    CHECK(shares.shares(later).size() == 1);

    job_request job = job_of("odd", std::numeric_limits<std::uint32_t>::max());
    job.demand.cpu_millicores = std::numeric_limits<std::int64_t>::max();
    job.time_limit = absl::InfiniteDuration();
    CHECK(std::isfinite(room_of(job, absl::InfiniteDuration())));
    CHECK(room_of(job, -absl::Seconds(1)) == 0);
    job.demand.cpu_millicores = -1;
    CHECK(room_of(job, run) == 0);
    CHECK(room_of(job_of("odd", 3), absl::Hours(1)) == doctest::Approx(6000));
    // The clock of a restored machine may be earlier than the last job.
    decide(shares, "odd", absl::ZeroDuration(), start);
    CHECK(std::isfinite(shares.shares(start)[0].demanded));
}

TEST_CASE("the room of routes is counted, with names that are safe in the metrics text")
{
    metrics_registry metrics;
    count_admission(metrics, "quote", 0.5, true);
    count_admission(metrics, "quote", 1.5, false);
    count_admission(metrics, "a\"b\n", std::numeric_limits<double>::infinity(), true);
    CHECK(metrics.counter("demanded_millicore_ms_total{route=\"quote\"}") == 2000);
    CHECK(metrics.counter("admitted_millicore_ms_total{route=\"quote\"}") == 500);
    CHECK(metrics.to_text().find("{route=\"a\\\"b\\n\"} 100000000000\n") != std::string::npos);
}
