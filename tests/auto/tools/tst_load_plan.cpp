#include "carobfall/arrival_process.h"
#include "carobfall/load_plan.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>

using namespace carobfall;
using namespace carobfall::tool;

namespace {

constexpr std::uint64_t seed = 7;

constexpr const char* small_workload = R"(client_account: dambi
seed: 3
duration: 10s
max_submissions: 100000
slots: 80
round_trip: 1ms
classes:
  - template: eligibility
    slot_share: 0.5
    jobs:
      - { share: 0.75, tasks: 1 }
      - { share: 0.25, tasks: 9 }
    run:
      - { share: 0.9, from: 50ms, to: 150ms }
      - { share: 0.1, from: 2s, to: 2s }
)";

load_workload small()
{
    return parse_workload(small_workload, "test.yaml").value();
}

std::string with(const std::string& from, const std::string& to)
{
    std::string text = small_workload;
    return text.replace(text.find(from), from.size(), to);
}

} // namespace

// Guards against a wrong rate and against arrivals at fixed distances, which hide queueing.
TEST_CASE("Poisson arrivals have the mean and the deviation of an exponential distribution")
{
    constexpr int count = 100'000;
    arrival_process arrivals({.per_second = 200, .burst_every = {}, .burst_size = 0}, seed);
    double sum = 0;
    double squares = 0;
    absl::Duration last;
    for (int i = 0; i < count; ++i) {
        const absl::Duration at = arrivals.next();
        REQUIRE(at >= last);
        const double gap = absl::ToDoubleSeconds(at - last);
        sum += gap;
        squares += gap * gap;
        last = at;
    }
    const double mean = sum / count;
    const double deviation = std::sqrt(squares / count - mean * mean);
    // The standard error of the mean is 0.3% with so many arrivals.
    CHECK(mean == doctest::Approx(0.005).epsilon(0.02));
    CHECK(deviation == doctest::Approx(0.005).epsilon(0.02));
}

// Guards against lost or misplaced arrivals where bursts and single arrivals meet.
TEST_CASE("bursts come at their times in addition to single arrivals")
{
    arrival_process bursts({.per_second = 0, .burst_every = absl::Seconds(2), .burst_size = 3},
                           seed);
    for (const int seconds : {2, 2, 2, 4, 4, 4, 6}) {
        CHECK(bursts.next() == absl::Seconds(seconds));
    }
    arrival_process both({.per_second = 50, .burst_every = absl::Seconds(2), .burst_size = 3},
                         seed);
    arrival_process single({.per_second = 50, .burst_every = {}, .burst_size = 0}, seed);
    int in_bursts = 0;
    absl::Duration expected = single.next();
    for (absl::Duration at = both.next(); at < absl::Seconds(5); at = both.next()) {
        if (at == expected) {
            expected = single.next();
        } else {
            ++in_bursts;
        }
    }
    CHECK(in_bursts == 6);
    CHECK(expected >= absl::Seconds(5));
}

TEST_CASE("an arrival process without rate or bursts has no arrivals")
{
    CHECK(arrival_process({}, seed).next() == absl::InfiniteDuration());
}

// Guards against runs that can't be repeated.
TEST_CASE("equal seeds give equal plans and different seeds give different plans")
{
    load_workload workload = small();
    const auto first = plan_load(workload);
    const auto second = plan_load(workload);
    REQUIRE(first.size() == second.size());
    for (std::size_t i = 0; i < first.size(); ++i) {
        CHECK(first[i].at == second[i].at);
        CHECK(first[i].run_ms == second[i].run_ms);
    }
    workload.seed = 4;
    const auto other = plan_load(workload);
    CHECK(other.front().at != first.front().at);
}

// Guards against a load that differs from the share of the slots that the file asks for.
TEST_CASE("the planned work occupies the configured share of the slots")
{
    load_workload workload = small();
    workload.duration = absl::Minutes(20);
    double run_seconds = 0;
    for (const planned_submission& planned : plan_load(workload)) {
        for (const std::uint32_t run_ms : planned.run_ms) {
            run_seconds += run_ms / 1000.0;
        }
    }
    const double available = 80 * absl::ToDoubleSeconds(workload.duration);
    CHECK(run_seconds / available == doctest::Approx(0.5).epsilon(0.03));
}

// Guards against a load without a limit of count or time.
TEST_CASE("a plan respects max_submissions and the duration and is sorted by time")
{
    load_workload workload = small();
    const auto all = plan_load(workload);
    CHECK(std::is_sorted(all.begin(), all.end(),
                         [](const auto& left, const auto& right) { return left.at < right.at; }));
    CHECK(all.back().at < workload.duration);
    workload.max_submissions = 5;
    CHECK(plan_load(workload).size() == 5);
}

TEST_CASE("the ideal response time is the longest task plus the round trips")
{
    const planned_submission planned{.at = {}, .class_index = 0, .run_ms = {50, 400, 70}};
    CHECK(ideal_response(small(), planned) == absl::Milliseconds(404));
}

TEST_CASE("an invalid workload is refused with its line")
{
    const std::vector<std::string> texts{
        with("share: 0.9", "share: 0.8"),
        with("slots: 80\n", ""),
        with("slot_share: 0.5", "slot_share: 0.5\n    submissions_per_second: 3"),
        with("slot_share: 0.5", "slot_share: 0"),
        with("slot_share: 0.5", "bursts: { every: 1s }"),
        with("from: 50ms", "from: 250ms"),
        with("tasks: 9", "tasks: 671"),
        with("duration: 10s", "duration: 10h"),
        with("template: eligibility", "templates: eligibility"),
        "client_account: dambi\nclasses: []\n",
    };
    for (const std::string& text : texts) {
        CAPTURE(text);
        const auto parsed = parse_workload(text, "test.yaml");
        REQUIRE_FALSE(parsed);
        CHECK(parsed.error().kind == error_kind::invalid_request);
        CHECK(parsed.error().message.find("test.yaml:") == 0);
        CHECK_FALSE(parsed.error().remedy.empty());
    }
}
