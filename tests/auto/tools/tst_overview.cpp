#include "carobfall/overview_command.h"

#include <doctest/doctest.h>

#include <sstream>

using namespace carobfall::tool;

namespace {

constexpr const char* entry_text =
    "carobfall_process_info{name=\"edge-1\",data_centre=\"mapo\"} 1\n"
    "carobfall_ready 1\ncarobfall_store_answers 0\ncarobfall_configuration_version 12\n"
    "carobfall_jobs_total{outcome=\"not_run\",reason=\"overloaded\"} 7\n"
    "carobfall_jobs_total{outcome=\"succeeded\",reason=\"done\"} 90\n"
    "carobfall_refusals_total{reason=\"no_route\"} 2\n"
    "carobfall_job_seconds{quantile=\"0.5\"} 0.2\n";

constexpr const char* agent_text =
    "carobfall_process_info{name=\"side-1\",data_centre=\"guro\"} 1\n"
    "carobfall_accepting 0\ncarobfall_worker_known 1\ncarobfall_worker_reachable 0\n"
    "carobfall_store_answers 1\ncarobfall_configuration_version 11\ncarobfall_waiting 3\n"
    "carobfall_on_worker 8\ncarobfall_capacity_millicores 64000\n"
    "carobfall_free_millicores 14400\ncarobfall_slowness 2.5\ncarobfall_failure_share 0\n";

} // namespace

// Guards against an overview without refusals, degraded agents or configuration versions.
TEST_CASE("the overview sums the metrics of entries and agents")
{
    process_sample unresponsive;
    unresponsive.address = "10.0.0.9:7341";
    const fleet_overview sum =
        summarize({parse_metrics("10.0.0.1:7341", entry_text),
                   parse_metrics("10.0.0.2:7341", agent_text), unresponsive});
    CHECK(sum.processes == 3);
    CHECK(sum.unresponsive == std::vector<std::string>{"10.0.0.9:7341"});
    CHECK(sum.outcomes.at("not_run, overloaded") == 7);
    CHECK(sum.outcomes.at("succeeded, done") == 90);
    CHECK(sum.refusals.at("no_route") == 2);
    CHECK(sum.configurations.at("12") == 1);
    CHECK(sum.configurations.at("11") == 1);
    CHECK(sum.without_store == std::vector<std::string>{"edge-1"});
    CHECK(sum.not_ready.empty());
    CHECK(sum.degraded == std::vector<std::string>{"side-1: worker unreachable, slow"});
    CHECK(sum.capacity_cores == 64);
    CHECK(sum.free_cores == doctest::Approx(14.4));
    CHECK(sum.waiting_tasks == 3);
    CHECK(sum.running_tasks == 8);
}

TEST_CASE("lines that are not samples of carobfall give no values")
{
    for (const char* text : {"", "<html>", "carobfall_", "carobfall_ready", "carobfall_ready x\n",
                             "other_ready 1\n", "carobfall_process_info{name=\" 1"}) {
        const process_sample sample = parse_metrics("10.0.0.1:1", text);
        CHECK(sample.responded);
        CHECK_FALSE(sample.value("ready").has_value());
    }
}

TEST_CASE("a malformed address and unresponsive processes have different exit codes")
{
    std::ostringstream out;
    std::ostringstream errors;
    CHECK(overview({{"edge-1"}, false}, out, errors) == exit_code::invalid_input);
    CHECK(errors.str().find("ip:port") != std::string::npos);
    CHECK(overview({{"127.0.0.1:1"}, true}, out, errors) == exit_code::unreachable);
    CHECK(out.str().find("\"silent\"") != std::string::npos);
}
