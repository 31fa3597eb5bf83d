#include "platform/job_server.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <string>
#include <variant>

using namespace carobfall;
using namespace carobfall::platform;
using nlohmann::json;

namespace {

json submission()
{
    return {{"spec", "text"},
            {"best_effort", true},
            {"steps", json::array({{{"count", 4},
                                    {"cpu", 6200},
                                    {"mem_mb", 64},
                                    {"estimated_ms", 900},
                                    {"data_rack", "r1-3"},
                                    {"anti_affinity", 2}}})}};
}

refused_submission refusal_of(const json& document)
{
    const auto decoded = decode_submission(document.dump());
    REQUIRE(std::holds_alternative<refused_submission>(decoded));
    return std::get<refused_submission>(decoded);
}

} // namespace

TEST_CASE("a best-effort job is decoded")
{
    const auto decoded = decode_submission(submission().dump());
    REQUIRE(std::holds_alternative<job_request>(decoded));
    const job_request& job = std::get<job_request>(decoded);
    CHECK(job.task_count == 4);
    CHECK(job.demand.cpu_millicores == 6200);
    CHECK(job.demand.memory_mib == 64);
    CHECK(job.declared_run_time == absl::Milliseconds(900));
    CHECK(job.data_rack == "r1-3");
    CHECK(job.max_tasks_per_agent == 2);
}

// Guards against running only the supported part of a job.
TEST_CASE("a job with an unsupported part is refused as a whole")
{
    json stored = submission();
    stored.erase("best_effort");
    CHECK(refusal_of(stored).status == 503);
    json steps = submission();
    steps["steps"].push_back(steps["steps"][0]);
    CHECK(refusal_of(steps).status == 503);
    for (const char* field : {"gang", "tightly_coupled", "long_running", "fills", "speculative"}) {
        json document = submission();
        document["steps"][0][field] = true;
        CHECK(refusal_of(document).status == 503);
    }
}

TEST_CASE("malformed submissions are refused with 400")
{
    CHECK(std::get<refused_submission>(decode_submission("[1]")).status == 400);
    json document = submission();
    document["steps"][0]["count"] = 0;
    CHECK(refusal_of(document).status == 400);
    document["steps"][0]["count"] = 671;
    CHECK(refusal_of(document).status == 400);
    document = submission();
    document["steps"][0]["cpu"] = -1;
    CHECK(refusal_of(document).status == 400);
    document = submission();
    document["steps"] = "none";
    CHECK(refusal_of(document).status == 400);
}

TEST_CASE("arbitrary bytes are refused without a crash")
{
    CHECK(rc::check([](const std::string& text) {
        RC_ASSERT(std::holds_alternative<refused_submission>(decode_submission(text)));
    }));
}
