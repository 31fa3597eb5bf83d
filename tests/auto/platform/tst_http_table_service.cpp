#include "carobfall/platform/http_table_service.h"
#include "platform_server.h"

#include <absl/time/clock.h>
#include <doctest/doctest.h>
#include <httplib.h>

#include <filesystem>
#include <fstream>

using namespace carobfall;
using namespace carobfall::testing;

namespace {

constexpr const char* loopback = "127.0.0.1";
const absl::Duration timeout = absl::Seconds(2);

struct served_table {
    platform_server server;
    std::uint16_t port{server.start(loopback, 0).value()};
    http_table_service table{{loopback, port}, timeout};

    void set_faults(const platform_faults& faults) { server.set_faults(faults); }
};

/// Answers every request with this status and body, as a proxy in front of the service would.
struct fixed_server {
    explicit fixed_server(int status, const char* body)
    {
        server.Post(".*", [=](const httplib::Request&, httplib::Response& response) {
            response.status = status;
            response.set_content(body, "text/plain");
        });
        port = thread.start(loopback, 0);
    }

    httplib::Server server;
    server_thread thread{server};
    std::uint16_t port{0};
};

} // namespace

// Guards against a client and a stand-in that differ from the fake or from the written protocol.
TEST_CASE("rows are read, scanned and changed by conditional transactions")
{
    served_table served;
    table_service& table = served.table;
    CHECK_FALSE(table.read("a/1").value().has_value());
    REQUIRE(
        table.commit({{{"a/1", 0}}, {{"a/1", "x \"é\"\n"}, {"a/2", "y"}, {"b", "z"}}}).has_value());
    const std::optional<table_row> row = table.read("a/1").value();
    REQUIRE(row.has_value());
    CHECK(row->value == "x \"é\"\n");
    CHECK(table.commit({{{"a/1", row->version + 1}}, {{"a/2", "lost"}}}).error().kind ==
          error_kind::conflict);
    REQUIRE(table.commit({{{"a/1", row->version}}, {{"a/1", std::nullopt}, {"a/2", "new"}}})
                .has_value());
    const std::vector<table_row> rows = table.scan("a/").value();
    REQUIRE(rows.size() == 1);
    CHECK(rows[0].value == "new");
    CHECK(table.commit({{}, {{"a", "\xff"}}}).error().kind == error_kind::invalid_request);
}

// Guards against a lost write that is reported as not applied, and against the reverse.
TEST_CASE("the kind of a failure shows whether the call may have had an effect")
{
    served_table served;
    served.set_faults({.outage = true});
    CHECK(served.table.read("a").error().kind == error_kind::unavailable);
    CHECK(served.table.commit({{}, {{"a", "1"}}}).error().kind == error_kind::unavailable);
    served.set_faults({.lost_answers = 1});
    CHECK(served.table.commit({{}, {{"a", "2"}}}).error().kind == error_kind::outcome_unknown);
    CHECK(served.table.read("a").value()->value == "2");
    served.set_faults({.writes_per_second = 0, .reads_per_second = 0});
    CHECK(served.table.scan("").error().kind == error_kind::overloaded);
    CHECK(served.table.commit({{}, {{"a", "3"}}}).error().kind == error_kind::overloaded);
    served.server.stop();
    CHECK(served.table.commit({{}, {{"a", "4"}}}).error().kind == error_kind::unavailable);
}

// Guards against a slow service that blocks the caller or hides a write that takes effect late.
TEST_CASE("a call to a slow service ends at the timeout")
{
    served_table served;
    served.set_faults({.delay_ms = 400});
    http_table_service short_timeout({loopback, served.port}, absl::Milliseconds(200));
    const absl::Time start = absl::Now();
    CHECK(short_timeout.read("a").error().kind == error_kind::unavailable);
    CHECK(short_timeout.commit({{}, {{"a", "late"}}}).error().kind == error_kind::outcome_unknown);
    CHECK(absl::Now() - start < absl::Milliseconds(600));
    // The write takes effect 400 ms after it was sent, whatever the scheduling of the threads.
    std::optional<table_row> row;
    for (int attempt = 0; attempt < 10 && !row; ++attempt) {
        row = served.table.read("a").value();
    }
    REQUIRE(row.has_value());
    CHECK(row->value == "late");
}

// Guards against the response of a proxy being taken for that of the service.
TEST_CASE("a response of another server leaves the outcome of a commit unknown")
{
    for (const int status : {200, 429, 500, 503}) {
        for (const char* body : {"busy", "{\"error\": 5}", ""}) {
            if (status == 200 && *body == '{') {
                continue;
            }
            fixed_server proxy(status, body);
            http_table_service table({loopback, proxy.port}, timeout);
            CHECK(table.commit({}).error().kind == error_kind::outcome_unknown);
            CHECK(table.read("a").error().kind == error_kind::unavailable);
        }
    }
}

// Guards against a control endpoint that ignores faults, and against an unusable object store.
TEST_CASE("the stand-in takes faults and objects over HTTP")
{
    served_table served;
    httplib::Client client(loopback, served.port);
    CHECK(client.Put("/v1/objects/o", "bytes", "application/octet-stream")->status == 200);
    CHECK(client.Get("/v1/objects/o")->body == "bytes");
    CHECK(client.Delete("/v1/objects/o")->status == 200);
    CHECK(client.Get("/v1/objects/o")->status == 404);
    CHECK(client.Post("/v1/table/commit", "{\"conditions\": []}", "text/plain")->status == 400);
    CHECK(client.Put("/control/faults", "{\"outage\": 7}", "text/plain")->status == 400);
    CHECK(client.Put("/control/faults", "{\"outage\": true}", "text/plain")->status == 200);
    CHECK(served.table.read("a").error().kind == error_kind::unavailable);
    CHECK(client.Get("/control/faults")->body.find("\"sync_ms\":4") != std::string::npos);
}

// Guards against a stand-in that loses acknowledged changes or row versions when it is killed.
TEST_CASE("a restarted stand-in restores its tables and objects and drops a truncated change")
{
    char directory[] = "/tmp/tst_platform.XXXXXX";
    REQUIRE(mkdtemp(directory) != nullptr);
    const std::string bytes("\xff\0\n", 3);
    std::uint64_t version = 0;
    for (const char* value : {"1", "2"}) {
        platform_server server;
        REQUIRE(server.open_data(directory));
        const std::uint16_t port = server.start(loopback, 0).value();
        http_table_service table({loopback, port}, timeout);
        httplib::Client client(loopback, port);
        if (version != 0) {
            CHECK(table.read("a").value()->value == "1");
            CHECK(table.read("a").value()->version == version);
            CHECK_FALSE(table.read("gone").value().has_value());
            CHECK(client.Get("/v1/objects/o")->body == bytes);
        }
        REQUIRE(table.commit({{{"a", version}}, {{"a", value}, {"gone", "x"}}}).has_value());
        REQUIRE(table.commit({{}, {{"gone", std::nullopt}}}).has_value());
        CHECK(client.Put("/v1/objects/o", bytes, "application/octet-stream")->status == 200);
        CHECK(table.read("a").value()->version > version);
        version = table.read("a").value()->version;
        std::ofstream(std::string(directory) + "/journal.jsonl", std::ios::app) << "{\"writes\":[";
    }
    std::filesystem::remove_all(directory);
}
