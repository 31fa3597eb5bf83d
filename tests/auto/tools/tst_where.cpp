#include "carobfall/placement_report.h"
#include "carobfall/where_command.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <sstream>
#include <string>

using namespace carobfall::tool;
using nlohmann::json;

namespace {

json candidate(const std::string& agent, int tasks, bool near)
{
    return {{"agent", agent},   {"rack", "r1"},          {"near_data", near},
            {"tasks", tasks},   {"wait_ms", 12.34},      {"slowness", 1.5},
            {"lateness_ms", 0}, {"failure_share", 0.25}, {"report_age_ms", 41}};
}

json explanation()
{
    json document = {{"entry", "entry-0"},
                     {"route", "r-1"},
                     {"ready", true},
                     {"job", {{"tasks", 3}, {"cpu_millicores", 6200}, {"data_rack", "r1"}}},
                     {"admission",
                      {{"admitted", false},
                       {"reason", "overloaded"},
                       {"expected_wait_ms", 85},
                       {"can_end_in_time", false},
                       {"queued_for_ms", nullptr},
                       {"retry_after_ms", 1400}}},
                     {"totals", {{"none", 7U}, {"label_missing", 900U}}},
                     {"placement", {{{"agent", "b"}}, {{"agent", "a"}}, {{"agent", "b"}}}},
                     {"candidates", {candidate("b", 2, true), candidate("a", 1, false)}},
                     {"knowledge", {{"newest_ms", 3}, {"oldest_ms", 41}}}};
    for (int i = 0; i < 7; ++i) {
        document["passed_over"].push_back(
            {{"agent", "n-" + std::to_string(i)}, {"obstacle", "label_missing"}});
    }
    document["passed_over"].push_back({{"agent", "out"},
                                       {"obstacle", "unusable"},
                                       {"data_centre", "guro"},
                                       {"data_centre_out", true}});
    return document;
}

std::string text_of_placement(const json& document)
{
    std::ostringstream out;
    print_placement("10.0.0.1:7341", document, out);
    return out.str();
}

} // namespace

// Guards against options that don't reach the job in the fields that callers use.
TEST_CASE("the body has the job of the options")
{
    where_options options;
    options.tasks = 8;
    options.cpu_millicores = 6200;
    options.memory_mib = 64;
    options.run_ms = 60;
    options.data_rack = "r1";
    options.label = "ssd";
    options.limit = 2;
    const json body = json::parse(body_of(options).value());
    CHECK(body["best_effort"] == true);
    CHECK(body["steps"] == json::array({{{"count", 8},
                                         {"cpu", 6200},
                                         {"mem_mb", 64},
                                         {"estimated_ms", 60.0},
                                         {"data_rack", "r1"},
                                         {"required_label", "ssd"},
                                         {"anti_affinity", 2}}}));
}

// Guards against an output without the choice, the reasons or the admission.
TEST_CASE("the text has choice, candidates, reasons and admission")
{
    const std::string text = text_of_placement(explanation());
    for (const char* part :
         {"choice: a: 1, b: 2\n", "admission: refused (overloaded), expected wait 85 ms",
          "can't end in time, retry after 1400 ms", "reports are 3 to 41 ms old",
          "passed over (label_missing): 900: n-0, n-1, n-2, n-3, n-4 and 895 more",
          "passed over (unusable): 1: out\n", "data centres out of service: guro",
          "and 5 more candidates"}) {
        CHECK_MESSAGE(text.find(part) != std::string::npos, part, "\n", text);
    }
    const std::size_t near = text.find("near");
    CHECK(text.find("away") > near);
}

// Guards against a crash on the answer of another version or another program.
TEST_CASE("documents with missing or odd fields are printed")
{
    for (const char* text : {"{}", "[]", "7", R"({"candidates":[1,{}],"passed_over":{"a":[]}})",
                             R"({"job":[],"admission":"x","candidates":{"a":1},"entry":{}})"}) {
        CHECK(text_of_placement(json::parse(text)).find("choice: none") != std::string::npos);
    }
}

TEST_CASE("invalid options and unresponsive entries have different exit codes")
{
    std::ostringstream out;
    std::ostringstream errors;
    where_options options;
    options.addresses = {"edge-1"};
    CHECK(where(options, out, errors) == exit_code::invalid_input);
    CHECK(errors.str().find("ip:port") != std::string::npos);
    options.addresses = {"127.0.0.1:1"};
    CHECK(where(options, out, errors) == exit_code::unreachable);
    CHECK(errors.str().find("127.0.0.1:1: no answer") != std::string::npos);
    options.file = "/nonexistent/job.json";
    CHECK(where(options, out, errors) == exit_code::invalid_input);
}
