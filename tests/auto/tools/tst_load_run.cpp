#include "carobfall/latency_plot.h"
#include "carobfall/load_command.h"
#include "carobfall/load_runner.h"
#include "carobfall/load_statistics.h"

#include <absl/time/clock.h>
#include <doctest/doctest.h>

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <set>

using namespace carobfall;
using namespace carobfall::tool;

namespace {

load_sample sample_of(double response_ms, const std::string& outcome = "complete")
{
    return {.intended = absl::Seconds(1),
            .sent = absl::Seconds(1) + absl::Milliseconds(response_ms / 2),
            .answered = absl::Seconds(1) + absl::Milliseconds(response_ms),
            .ideal = absl::Milliseconds(100),
            .outcome = outcome,
            .tasks = 2,
            .ran_by_agent = {}};
}

load_workload workload_of_one_class()
{
    load_workload workload;
    workload.client_account = "dambi";
    workload.classes.emplace_back().template_name = "eligibility";
    return workload;
}

} // namespace

// Guards against interpolated quantiles, which report values that no submission had.
TEST_CASE("a quantile is always one of the measured values")
{
    std::vector<double> values;
    for (int i = 1; i <= 1000; ++i) {
        values.push_back(i);
    }
    CHECK(quantile_of(values, 0.5) == 500);
    CHECK(quantile_of(values, 0.99) == 990);
    CHECK(quantile_of(values, 0.999) == 999);
    CHECK(quantile_of(values, 1) == 1000);
    CHECK(quantile_of(values, 0) == 1);
    CHECK(quantile_of({}, 0.5) == 0);
    CHECK(quantile_of({3}, 0.999) == 3);
}

// Guards against coordinated omission: the wait before a late send is part of the response time.
TEST_CASE("the response time is measured from the intended send time")
{
    load_statistics statistics;
    statistics.add(sample_of(300));
    const auto latency = statistics.to_json()["latency"];
    CHECK(latency["response_over_ideal"]["p50"] == doctest::Approx(3));
    CHECK(latency["response_ms"]["p50"] == doctest::Approx(300));
    CHECK(latency["send_delay_ms"]["p50"] == doctest::Approx(150));
}

// Guards against the integer division of durations, which cuts ratios to whole numbers.
TEST_CASE("the slowdown has a fraction")
{
    load_statistics statistics;
    statistics.add(sample_of(125));
    statistics.add(sample_of(175));
    const auto relative = statistics.to_json()["latency"]["response_over_ideal"];
    CHECK(relative["p50"] == doctest::Approx(1.25));
    CHECK(relative["max"] == doctest::Approx(1.75));
}

// Guards against fast refusals that make the response times look better.
TEST_CASE("refusals are counted by kind and excluded from the response times")
{
    load_statistics statistics;
    statistics.add(sample_of(200));
    statistics.add(sample_of(1, "overloaded"));
    statistics.add(sample_of(1, "overloaded"));
    statistics.add(sample_of(1, "recovering"));
    const auto report = statistics.to_json();
    CHECK(report["submissions"] == 4);
    CHECK(report["complete"] == 1);
    CHECK(report["not_complete_by_kind"]["overloaded"] == 2);
    CHECK(report["not_complete_by_kind"]["recovering"] == 1);
    CHECK(report["latency"]["response_over_ideal"]["p50"] == doctest::Approx(2));
}

TEST_CASE("tasks per second are summed over the agents of a data centre")
{
    load_statistics statistics;
    load_sample sample = sample_of(1000); // ends after 2 s
    sample.ran_by_agent = {{"a-1", 4}, {"a-2", 2}, {"a-3", 1}};
    statistics.add(sample);
    statistics.set_data_centre("a-1", "mapo");
    statistics.set_data_centre("a-2", "mapo");
    const auto report = statistics.to_json();
    CHECK(report["tasks_ran"] == 7);
    CHECK(report["tasks_per_second_by_data_centre"]["mapo"] == doctest::Approx(3));
    CHECK(report["tasks_per_second_by_data_centre"]["a-3"] == doctest::Approx(0.5));
}

// Guards against a duplicate start that the average hides.
TEST_CASE("a task that started twice is reported")
{
    load_statistics statistics;
    CHECK(statistics.to_json()["starts"].is_null());
    for (const char* task : {"load-1/0", "load-1/1", "load-1/1", "load-2/0"}) {
        statistics.add_start(task);
    }
    const auto starts = statistics.to_json()["starts"];
    CHECK(starts["tasks_started"] == 3);
    CHECK(starts["starts"] == 4);
    CHECK(starts["tasks_started_more_than_once"] == 1);
    CHECK(starts["most_starts_of_a_task"] == 2);
}

// Guards against a closed loop: a slow answer must not delay the submissions after it.
TEST_CASE("submissions are sent at their times while earlier ones wait")
{
    constexpr std::size_t count = 8;
    const load_workload workload = workload_of_one_class();
    const std::vector<planned_submission> plan(
        count, {.at = absl::ZeroDuration(), .class_index = 0, .run_ms = {1}});
    std::mutex mutex;
    std::condition_variable sent;
    std::set<std::string> ids;
    const load_sender_factory make_sender = [&](std::size_t) -> load_sender {
        return [&](const load_request& request) -> load_answer {
            std::unique_lock lock(mutex);
            ids.insert(request.submission_id);
            sent.notify_all();
            // Returns only when all submissions have been sent.
            const bool all = sent.wait_for(lock, std::chrono::seconds(10),
                                           [&ids] { return ids.size() == count; });
            return {all ? "complete" : "deadline_exceeded", {}};
        };
    };
    const auto report = load_runner(workload, "load-", count, make_sender).run(plan).to_json();
    CHECK(report["complete"] == count);
    CHECK(ids.count("load-0") == 1);
}

// Guards against leaving out the time that a submission waits while all sending threads are busy.
TEST_CASE("the response time of a submission that is sent late includes the delay")
{
    constexpr absl::Duration answer_time = absl::Milliseconds(30);
    load_workload workload = workload_of_one_class();
    const std::vector<planned_submission> plan(
        3, {.at = absl::ZeroDuration(), .class_index = 0, .run_ms = {30}});
    const load_sender_factory make_sender = [&](std::size_t) -> load_sender {
        return [&](const load_request&) -> load_answer {
            absl::SleepFor(answer_time);
            return {"complete", {}};
        };
    };
    const auto latency =
        load_runner(workload, "load-", 1, make_sender).run(plan).to_json()["latency"];
    CHECK(latency["response_ms"]["max"] >= 90);
    CHECK(latency["send_delay_ms"]["max"] >= 60);
}

// Guards against load on remote machines that were given by mistake.
TEST_CASE("addresses that are not on loopback need --allow-remote")
{
    load_options options;
    options.entries = {"127.0.0.1:8080", "[::1]:8080"};
    CHECK(check_load_addresses(options));
    for (const char* address : {"10.0.0.1:8080", "localhost:8080", "example.org:80", ""}) {
        CAPTURE(address);
        options.entries = {"127.0.0.1:8080", address};
        REQUIRE_FALSE(check_load_addresses(options));
        CHECK(check_load_addresses(options).error().remedy.find("--allow-remote") !=
              std::string::npos);
    }
    options.allow_remote = true;
    CHECK(check_load_addresses(options));
    options = {};
    options.start_logs = {"10.0.0.1:9000"};
    CHECK_FALSE(check_load_addresses(options));
}

TEST_CASE("the plot marks the quantiles, escapes its title and needs no complete submission")
{
    const std::string plot = latency_plot({1, 2, 40}, "a <b> & c");
    CHECK(plot.find("p50 2.00") != std::string::npos);
    CHECK(plot.find("p99.9 40.00") != std::string::npos);
    CHECK(plot.find("a &lt;b&gt; &amp; c") != std::string::npos);
    CHECK(plot.find("nan") == std::string::npos);
    CHECK(latency_plot({}, "none").find("no complete submission") != std::string::npos);
    CHECK(latency_plot({0.2}, "fast").find("nan") == std::string::npos);
}
