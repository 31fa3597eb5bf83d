#include "platform/worker_announcement_store.h"
#include "platform/worker_client.h"
#include "platform/worker_listener.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <string>
#include <utility>
#include <vector>

using namespace carobfall;
using namespace carobfall::platform;
using nlohmann::json;

namespace {

json heartbeat()
{
    return {{"service", "s1"},
            {"address", "10.128.0.9:8080"},
            {"zone", "mapo"},
            {"version", "v1"},
            {"slots", 8},
            {"state", "ready"},
            {"capacity", {{"cpu", 64000}, {"mem_mb", 262144}, {"gpu", 0}}},
            {"labels", {"a", "r1-3"}},
            {"born", 1784783156666},
            {"sequence", 4}};
}

} // namespace

TEST_CASE("a heartbeat is decoded to an announcement of the worker")
{
    const auto worker = decode_heartbeat("i-1", heartbeat().dump());
    REQUIRE(worker);
    CHECK(worker->id == "i-1");
    CHECK(worker->capacity.cpu_millicores == 64000);
    CHECK(worker->rack == "r1-3");
    CHECK(worker->started_unix_ms == 1784783156666);
    CHECK(worker->state == worker_state::ready);
}

// Guards against orders to a worker with a wrong address or capacity from a malformed heartbeat.
TEST_CASE("a heartbeat with missing fields, wrong types or unknown values is refused")
{
    for (const char* field : {"service", "zone", "state", "capacity", "sequence"}) {
        json document = heartbeat();
        document.erase(field);
        CHECK_FALSE(decode_heartbeat("i-1", document.dump()));
        document[field] = json::array({1});
        CHECK_FALSE(decode_heartbeat("i-1", document.dump()));
    }
    json document = heartbeat();
    document["state"] = "resting";
    CHECK_FALSE(decode_heartbeat("i-1", document.dump()));
    CHECK_FALSE(decode_heartbeat("", heartbeat().dump()));
}

// Guards against a heartbeat of another writer that passes for one of the worker.
TEST_CASE("a heartbeat with an optional field of another type is refused")
{
    const std::vector<std::pair<const char*, json>> odd = {
        {"address", 7},
        {"version", json::array()},
        {"slots", "8"},
        {"born", 1.5},
        {"cold_remaining_ms", "no"},
        {"clock_ms", json::object()},
        {"labels", {"a", 3}},
        {"labels", "a"},
        {"drain_remaining_ms", "soon"},
        {"sequence", 4.0e300},
    };
    for (const auto& [field, value] : odd) {
        json document = heartbeat();
        document[field] = value;
        CHECK_MESSAGE(!decode_heartbeat("i-1", document.dump()), field);
    }
    json document = heartbeat();
    document["cold_remaining_ms"] = 250.5;
    document["clock_ms"] = 482113;
    CHECK(decode_heartbeat("i-1", document.dump()));
}

// Guards against a decision by a remaining time that means nothing, and against the loss of the
// heartbeat of a worker that stays longer than it has stated.
TEST_CASE("the remaining time of a draining worker is decoded if it is plausible")
{
    json document = heartbeat();
    CHECK(decode_heartbeat("i-1", document.dump())->drain_remaining == absl::InfiniteDuration());
    document["drain_remaining_ms"] = 1800.5;
    CHECK(decode_heartbeat("i-1", document.dump())->drain_remaining == absl::Microseconds(1800500));
    for (const double unknown : {0.0, -1.0, -1e300, 3.7e6, 1e300}) {
        document["drain_remaining_ms"] = unknown;
        const auto worker = decode_heartbeat("i-1", document.dump());
        REQUIRE(worker);
        CHECK(worker->drain_remaining == absl::InfiniteDuration());
    }
}

TEST_CASE("encoding and decoding a task name gives the same run")
{
    const task_run run{"00000000000000aa", 17, 3};
    CHECK(task_name(run) == "00000000000000aa.0.0.17");
    CHECK(parse_task_name(task_name(run), 3) == run);
    CHECK_FALSE(parse_task_name("00000000000000aa.0.17", 3));
    CHECK_FALSE(parse_task_name("00000000000000aa.0.0.x", 3));
    CHECK_FALSE(parse_task_name(task_name(run), -1));
}

TEST_CASE("malformed rows in the lists of a lease renewal are skipped")
{
    const worker_report report = decode_report(
        R"({"clock_ms":482113,"born":12,"active":[["5c0e7a21d94b36f8.0.0.17",2,"",41],["x",1]],
            "finished":[[58,"5c0e7a21d94b36f8.0.0.9",1,"done",""],[59,"5c0e7a21d94b36f8.0.0.8",1],
                        [60,"5c0e7a21d94b36f8.0.0.7",1,"lapsed",""]]})");
    CHECK(report.clock == 482113);
    CHECK(report.started_unix_ms == 12);
    REQUIRE(report.active.size() == 1);
    CHECK(report.active[0].percent_done == 41);
    REQUIRE(report.ends.size() == 2);
    CHECK(report.ends[0].kind == run_end_kind::done);
    CHECK(report.ends[1].kind == run_end_kind::lapsed);
    CHECK_FALSE(report.complete);
}

// Guards against running tasks that count as ended because a malformed response doesn't list them.
TEST_CASE("a report with a malformed part is marked as incomplete")
{
    CHECK(decode_report(R"({"clock_ms":1,"active":[],"finished":[]})").complete);
    CHECK(decode_report(R"({"clock_ms":1,"active":[["5c0e7a21d94b36f8.0.0.1",2,"",41]],
                            "finished":[[5,"5c0e7a21d94b36f8.0.0.9",1,"done",""]]})")
              .complete);
    CHECK_FALSE(decode_report("").complete);
    CHECK_FALSE(decode_report("<html>").complete);
    CHECK_FALSE(decode_report("{}").complete);
    CHECK_FALSE(decode_report(R"({"clock_ms":1,"active":[["x",1]],"finished":[]})").complete);
    CHECK_FALSE(decode_report(R"({"clock_ms":1,"active":[],"finished":[[1,"x"]]})").complete);
    CHECK_FALSE(decode_report(R"({"clock_ms":1,"active":[],"finished":7})").complete);
}

TEST_CASE("encoding and decoding a worker gives the same announcement")
{
    worker_announcement worker = *decode_heartbeat("i-1", heartbeat().dump());
    worker.state = worker_state::draining;
    const auto read = decode_worker(encode_worker(worker));
    REQUIRE(read);
    CHECK(read->id == worker.id);
    CHECK(read->state == worker_state::draining);
    CHECK(read->rack == worker.rack);
    CHECK(read->started_unix_ms == worker.started_unix_ms);
    CHECK(read->sequence == worker.sequence);
    CHECK(read->capacity.cpu_millicores == worker.capacity.cpu_millicores);
    CHECK_FALSE(decode_worker("{}"));
}

TEST_CASE("decoding arbitrary bytes does not crash")
{
    CHECK(rc::check([](const std::string& text) {
        static_cast<void>(decode_report(text));
        static_cast<void>(decode_heartbeat("i-1", text));
        static_cast<void>(parse_task_name(text, 1));
    }));
}
