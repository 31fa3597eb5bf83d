#include "carobfall/backend/announcement.h"
#include "carobfall/backend/announcement_server.h"
#include "carobfall/backend/backend_registration.h"

#include <doctest/doctest.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include <atomic>

using namespace carobfall;

namespace {

const absl::Time t0 = absl::FromUnixSeconds(1'800'000'000);

announcement announcement_of(const std::string& name)
{
    announcement backend;
    backend.info.set_name(name);
    backend.info.set_slots(8);
    backend.port = 9000;
    return backend;
}

} // namespace

// Guards against wrong capacity from malformed or misspelt members.
TEST_CASE("malformed announcements are refused with a remedy")
{
    const char* const malformed[] = {
        "",
        "[]",
        "{",
        R"({"port":9000,"slots":8})",
        R"({"name":"a/b","port":9000,"slots":8})",
        R"({"name":"b","port":0,"slots":8})",
        R"({"name":"b","port":65536,"slots":8})",
        R"({"name":"b","port":9000,"slots":0})",
        R"({"name":"b","port":9000,"slots":-1})",
        R"({"name":"b","port":9000,"slots":1.5})",
        R"({"name":"b","port":9000,"slots":100000})",
        R"({"name":"b","port":"9000","slots":8})",
        R"({"name":"b","port":9000,"slots":8,"memory":1})",
        R"({"name":"b","port":9000,"slots":8,"accelerators":-1})",
    };
    for (const char* body : malformed) {
        INFO(body);
        const result<announcement> parsed = parse_announcement(body);
        REQUIRE_FALSE(parsed);
        CHECK(parsed.error().kind == error_kind::invalid_request);
        CHECK_FALSE(parsed.error().remedy.empty());
    }
    const result<announcement> parsed =
        parse_announcement(R"({"name":"b","port":9000,"slots":8,"memory_mib":262144})");
    REQUIRE(parsed);
    CHECK(parsed.value().info.memory_mib() == 262'144);
    CHECK(parsed.value().port == 9000);
}

// Guards against two backend servers that alternately replace each other's announcement at one
// agent.
TEST_CASE("a second backend server is refused until the first has left or expired")
{
    int announced = 0;
    int left = 0;
    backend_registration registration(
        absl::Seconds(3), {.announced = [&](const announcement&, absl::Time) { ++announced; },
                           .left = [&] { ++left; }});
    CHECK(registration.announce(announcement_of("a"), t0));
    CHECK(registration.announce(announcement_of("a"), t0));
    CHECK(registration.announce(announcement_of("b"), t0).error().kind == error_kind::conflict);
    CHECK(registration.leave("b", t0).error().kind == error_kind::not_found);
    CHECK(registration.leave("a", t0));
    CHECK(registration.announce(announcement_of("b"), t0));
    CHECK(registration.announce(announcement_of("c"), t0 + absl::Seconds(3)));
    CHECK(announced == 4);
    CHECK(left == 1);
}

// Guards against error responses without the error object, and against announcements that expire
// because the response names no renewal interval.
TEST_CASE("the announcement server responds with the renewal interval or an error object")
{
    std::atomic<int> announced = 0;
    backend_registration registration(
        absl::Seconds(3),
        {.announced = [&](const announcement&, absl::Time) { ++announced; }, .left = [] {}});
    announcement_server server(
        registration, [] { return t0; }, "127.0.0.1", 0);
    REQUIRE(server.start());
    httplib::Client client("127.0.0.1", server.port());
    const auto post = [&client](const char* path, const std::string& body) {
        const httplib::Result reply = client.Post(path, body, "application/json");
        REQUIRE(reply);
        return std::pair(reply->status, nlohmann::json::parse(reply->body));
    };

    const auto [status, reply] = post("/v1/announce", R"({"name":"b","port":9000,"slots":8})");
    CHECK(status == 200);
    CHECK(reply["interval_ms"] == 1000);
    CHECK(reply["expires_after_ms"] == 3000);
    CHECK(announced == 1);

    CHECK(post("/v1/announce", "{}").first == 400);
    CHECK(post("/v1/announce", "{}").second["error"]["kind"] == "invalid_request");
    CHECK(post("/v1/announce", std::string(5000, 'x')).first == 413);
    CHECK(post("/v1/other", "{}").second["error"]["kind"] == "not_found");
    CHECK(post("/v1/leave", R"({"name":"c"})").second["error"]["kind"] == "not_found");
    CHECK(post("/v1/leave", R"({"name":"b"})").first == 200);
}

// Guards against two agents that listen on the same port without an error.
TEST_CASE("a port in use is refused")
{
    backend_registration registration(
        absl::Seconds(3), {.announced = [](const announcement&, absl::Time) {}, .left = [] {}});
    announcement_server first(
        registration, [] { return t0; }, "127.0.0.1", 0);
    REQUIRE(first.start());
    announcement_server second(
        registration, [] { return t0; }, "127.0.0.1", first.port());
    CHECK(second.start().error().kind == error_kind::unavailable);
}
