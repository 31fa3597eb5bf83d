#include "decoded_rows.h"

#include "platform/job_server.h"
#include "platform/json_fields.h"
#include "platform/worker_announcement_store.h"
#include "platform/worker_client.h"
#include "platform/worker_listener.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <string>
#include <variant>
#include <vector>

using namespace carobfall;
using namespace carobfall::platform;
using namespace carobfall::platform::test;
using nlohmann::json;

// Documents of other writers: numbers beyond the range of their type, deep nesting, odd bytes.
// Guards against one such document that ends the process, stops it from reading on, or is taken for
// something else.

namespace {

std::string nested(std::size_t depth)
{
    return R"({"a":)" + std::string(depth, '[') + std::string(depth, ']') + "}";
}

std::string report_with(const std::string& active, const std::string& ends)
{
    return R"({"clock_ms":1,"active":[)" + active + R"(],"finished":[)" + ends + "]}";
}

std::string heartbeat_with(const std::string& capacity, const std::string& born)
{
    return R"({"service":"s","zone":"z","state":"ready","sequence":4,"capacity":)" + capacity +
           R"(,"born":)" + born + "}";
}

std::string worker_row_with(const std::string& cpu, const std::string& started)
{
    return R"({"id":"i-1","service":"s","cpu_millicores":)" + cpu + R"(,"started_unix_ms":)" +
           started + "}";
}

const std::vector<std::string> odd_amounts = {"-1",
                                              "1000000001",
                                              "9223372036854775807",
                                              "9223372036854775808",
                                              "18446744073709551615",
                                              "1e308",
                                              "-9223372036854775808",
                                              "1.5",
                                              "null",
                                              "\"1\"",
                                              "[]",
                                              "{}"};

} // namespace

TEST_CASE("an integer that does not fit is no value")
{
    const json object = json::parse(R"({"max":9223372036854775807,"min":-9223372036854775808,
        "above":9223372036854775808,"unsigned_max":18446744073709551615,"huge":1e308})");
    CHECK(integer_field(object, "max") == std::numeric_limits<std::int64_t>::max());
    CHECK(integer_field(object, "min") == std::numeric_limits<std::int64_t>::min());
    CHECK_FALSE(integer_field(object, "above"));
    CHECK_FALSE(integer_field(object, "unsigned_max"));
    CHECK_FALSE(integer_field(object, "huge"));
    CHECK_FALSE(integer_field_within(object, "max", 0, max_time_ms));
}

TEST_CASE("an object that is nested too deeply is refused")
{
    CHECK(parse_object(nested(max_json_depth - 1)));
    CHECK_FALSE(parse_object(nested(max_json_depth)));
    CHECK_FALSE(parse_object(nested(1'000'000)));
    CHECK_FALSE(parse_object(std::string(1'000'000, '{')));
    // Brackets in strings do not count.
    CHECK(parse_object(R"({"a":"\"[[)" + std::string(1000, '[') + "\"}"));
}

// Guards against a run that counts as gone because its number is cut to 32 bits.
TEST_CASE("a report with a run number or percentage out of range")
{
    const std::string task = R"("5c0e7a21d94b36f8.0.0.1")";
    CHECK(decode_report(report_with("[" + task + ",4294967295,\"\",50]", "")).complete);
    for (const char* run : {"4294967296", "99999999999", "18446744073709551615", "-1", "1e3"}) {
        const std::string active = "[" + task + "," + run + ",\"\",50]";
        CHECK_FALSE(decode_report(report_with(active, "")).complete);
        const std::string end = "[1," + task + "," + run + ",\"done\",\"\"]";
        CHECK_FALSE(decode_report(report_with("", end)).complete);
    }
    const worker_report report =
        decode_report(report_with("[" + task + ",1,\"\",1e308],[" + task + ",2,\"\",-1e308]", ""));
    REQUIRE(report.active.size() == 2);
    CHECK(report.active[0].percent_done == 100);
    CHECK(report.active[1].percent_done == 0);
}

// Guards against an agent that acknowledges, and so loses, all later ends of runs.
TEST_CASE("an end with a number out of range is skipped")
{
    for (const char* number : {"-1", "18446744073709551615", "1e19", "null"}) {
        const worker_report report = decode_report(report_with(
            "", std::string("[") + number + R"(,"5c0e7a21d94b36f8.0.0.1",1,"done",""])"));
        CHECK(report.ends.empty());
        CHECK_FALSE(report.complete);
    }
}

TEST_CASE("a heartbeat with amounts or times out of range is refused")
{
    CHECK(decode_heartbeat("i-1", heartbeat_with(R"({"cpu":64000})", "1784783156666")));
    for (const std::string& amount : odd_amounts) {
        CAPTURE(amount);
        CHECK_FALSE(decode_heartbeat("i-1", heartbeat_with("{\"cpu\":" + amount + "}", "1")));
        CHECK_FALSE(
            decode_heartbeat("i-1", heartbeat_with("{\"cpu\":1,\"mem_mb\":" + amount + "}", "1")));
    }
    for (const char* born : {"-1", "9223372036854775807", "18446744073709551615", "\"1\""}) {
        CHECK_FALSE(decode_heartbeat("i-1", heartbeat_with(R"({"cpu":1})", born)));
    }
}

// Guards against an id that can't be written as JSON: storing the announcement would throw.
TEST_CASE("a heartbeat whose id has odd bytes is refused")
{
    const std::string body = heartbeat_with(R"({"cpu":64000})", "1");
    for (const char* id : {"", "i\xff", "i\xc3", "i 1", "i\n1", "i\x7f"}) {
        CHECK_FALSE(decode_heartbeat(id, body));
    }
}

TEST_CASE("a stored worker with amounts or times out of range is not restored")
{
    CHECK(decode_worker(worker_row_with("64000", "1784783156666")));
    for (const std::string& odd : odd_amounts) {
        CAPTURE(odd);
        CHECK_FALSE(decode_worker(worker_row_with(odd, "1")));
    }
    for (const char* started : {"-1", "9223372036854775807", "18446744073709551615", "1.5"}) {
        CHECK_FALSE(decode_worker(worker_row_with("1", started)));
    }
    CHECK_FALSE(decode_worker(nested(100'000)));
}

TEST_CASE("a submission with amounts out of range is refused with 400")
{
    for (const std::string& amount : odd_amounts) {
        CAPTURE(amount);
        const auto decoded = decode_submission(
            R"({"spec":"x","best_effort":true,"steps":[{"count":1,"cpu":)" + amount + "}]}");
        REQUIRE(std::holds_alternative<refused_submission>(decoded));
        CHECK(std::get<refused_submission>(decoded).status == 400);
    }
}

// Guards against an infinite run time, which would invalidate the averages of the route.
TEST_CASE("an absurd estimate of the run time is limited")
{
    const auto decoded = decode_submission(
        R"({"spec":"x","best_effort":true,"steps":[{"count":1,"cpu":1,"estimated_ms":1e308}]})");
    REQUIRE(std::holds_alternative<job_request>(decoded));
    CHECK(std::get<job_request>(decoded).declared_run_time == absl::Hours(24));
}

TEST_CASE("counts of a configuration that are out of range count as missing")
{
    const auto state = decode_operator_rows(
        {{"config", R"({"version":3,"routes":[{"host":"h","prefix":"/p/","service":"s",
            "priority":4294967296,"target_completion_ms":18446744073709551615,
            "max_attempts":-1,"slack_factor":1e308}],"limits":{"max_body_bytes":1e30}})"}},
        1);
    REQUIRE(state.routes_size() == 1);
    CHECK(state.routes(0).priority() == 0);
    CHECK(state.routes(0).target_ms() == 0);
    CHECK(state.routes(0).max_attempts() == 1);
    CHECK(state.routes(0).slack_factor() == 1);
    CHECK(state.limits().max_body_bytes() == 0);
}

// Documents that are built from the known field names and odd values, so that they pass the first
// checks of the decoders more often than random bytes do.
TEST_CASE("decoding documents with odd values does not crash")
{
    const std::vector<std::string> names = {"service",
                                            "zone",
                                            "state",
                                            "sequence",
                                            "capacity",
                                            "cpu",
                                            "mem_mb",
                                            "gpu",
                                            "labels",
                                            "born",
                                            "id",
                                            "cpu_millicores",
                                            "started_unix_ms",
                                            "clock_ms",
                                            "active",
                                            "finished",
                                            "spec",
                                            "best_effort",
                                            "steps",
                                            "count",
                                            "estimated_ms",
                                            "anti_affinity",
                                            "version",
                                            "routes",
                                            "host",
                                            "prefix",
                                            "slack_factor",
                                            "limits"};
    const std::vector<std::string> values = {"0",
                                             "1",
                                             "-1",
                                             "4294967296",
                                             "9223372036854775807",
                                             "-9223372036854775808",
                                             "18446744073709551615",
                                             "1e308",
                                             "-1e308",
                                             "1e-308",
                                             "true",
                                             "null",
                                             "\"\"",
                                             "\"ready\"",
                                             "\"\\u0000\"",
                                             "\"5c0e7a21d94b36f8.0.0.1\"",
                                             "[]",
                                             "{}",
                                             nested(63),
                                             nested(64),
                                             "[[\"5c0e7a21d94b36f8.0.0.1\",1,\"\",50]]",
                                             "[{\"host\":\"h\",\"prefix\":\"/\","
                                             "\"service\":\"s\",\"priority\":1e308}]",
                                             "[{\"count\":1,\"cpu\":-1}]"};
    CHECK(rc::check([&] {
        std::string text = "{";
        const auto fields = *rc::gen::inRange<std::size_t>(0, 12);
        for (std::size_t i = 0; i < fields; ++i) {
            text += (i == 0 ? "\"" : ",\"") + *rc::gen::elementOf(names) +
                    "\":" + *rc::gen::elementOf(values);
        }
        text += *rc::gen::elementOf(std::vector<std::string>{"}", "", "}}"});
        static_cast<void>(decode_report(text));
        static_cast<void>(decode_heartbeat("i-1", text));
        static_cast<void>(decode_worker(text));
        static_cast<void>(decode_submission(text));
        static_cast<void>(decode_operator_rows({{"config", text}}, 1));
    }));
}
