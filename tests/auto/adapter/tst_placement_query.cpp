#include "platform/placement_query.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/http/verb.hpp>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <string>

using namespace carobfall;
using namespace carobfall::platform;
namespace http = boost::beast::http;
using nlohmann::json;

namespace {

const absl::Time now = absl::UnixEpoch() + absl::Hours(1);
constexpr const char* target = "/placement?host=a.example%3A80&path=/x/0123";
constexpr const char* job =
    R"({"spec":"","best_effort":true,"steps":[{"count":2,"cpu":500,"estimated_ms":60}]})";

/// Dispatcher of an entry without agents.
struct entry_parts {
    boost::asio::io_context context{1};
    operator_view operators;
    event_log log{"entry", "mapo"};
    metrics_registry metrics;
    entry_service agents{context.get_executor(), "entry", "127.0.0.1:1", operators, log, metrics};
    job_dispatcher dispatcher{context.get_executor(), agents, log, metrics};

    entry_parts()
    {
        fleet::operator_state state;
        state.set_version(1);
        state.set_configuration_version(7);
        fleet::route* route = state.add_routes();
        route->set_name("r-1");
        route->set_host("a.example");
        route->set_prefix("/x/");
        operators.adopt(state, absl::UnixEpoch());
    }

    async_http_response post(const std::string& address, const std::string& body,
                             http::verb method = http::verb::post)
    {
        async_http_request request(method, address, 11, body);
        request.set("Carobfall-Deadline-Ms", "700");
        return explain_submission(request, {"entry", true, operators, agents.agents(), dispatcher},
                                  now);
    }
};

} // namespace

// Guards against wrong statuses and errors that don't say what is wrong.
TEST_CASE("an invalid question is refused with the reason")
{
    entry_parts entry;
    const auto check = [&](const async_http_response& response, unsigned status,
                           const char* reason) {
        CHECK(response.status == status);
        CHECK(json::parse(response.body)["error"]["reason"] == reason);
    };
    check(entry.post(target, "", http::verb::get), 405, "method_not_supported");
    check(entry.post("/placement?host=a.example", job), 400, "parameter_missing");
    check(entry.post("/placement?host=a%2&path=/x/", job), 400, "parameter_missing");
    check(entry.post("/placement?host=a.example&path=/y/", job), 404, "no_route");
    check(entry.post(target, "{"), 400, "body_is_no_json_object");
    check(entry.post(target, R"({"spec":"","best_effort":false,"steps":[{}]})"), 503,
          "stored_jobs_not_supported");
    check(entry.post("/placement?host=a.example&path=/x/&rows=x", job), 400, "rows_malformed");
    check(entry.post("/placement?host=%ff&path=%ff", job), 404, "no_route");
    entry.operators = operator_view();
    check(entry.post(target, job), 503, "no_configuration");
}

// Guards against a question that counts as a job, and against a lost deadline header.
TEST_CASE("a job is explained without being submitted")
{
    entry_parts entry;
    entry.context.poll(); // handlers of the change of the configuration
    const std::string metrics_before = entry.metrics.to_text();
    const async_http_response response = entry.post(target, job);
    CHECK(response.status == 200);
    const json document = json::parse(response.body);
    CHECK(document["route"] == "r-1");
    CHECK(document["job"]["tasks"] == 2);
    CHECK(document["deadlines"]["give_up_ms"] == 700);
    CHECK(document["admission"]["reason"] == "no_worker");
    CHECK(entry.dispatcher.active_jobs() == 0);
    CHECK(entry.metrics.to_text() == metrics_before);
    CHECK(entry.context.poll() == 0);
}

// Guards against a crash on arbitrary requests to the metrics port.
TEST_CASE("arbitrary targets and bodies do not crash")
{
    entry_parts entry;
    CHECK(rc::check([&](const std::string& text) {
        static_cast<void>(query_parameter("?host=" + text, "host"));
        RC_ASSERT(entry.post(target, text).status != 200);
    }));
}
