#include "caller_fixture.h"

#include <absl/strings/str_cat.h>
#include <rapidcheck.h>

using namespace carobfall;
using namespace carobfall::test;

namespace {

// The strict mocks fail the test if any of these requests reaches the service.
struct refusal {
    int status;
    std::string kind;
};

refusal post(caller_fixture& fixture, const std::string& body)
{
    const auto response = fixture.client().Post(path, body, "application/json");
    REQUIRE(response);
    return {response->status, error_kind_in(response->body)};
}

nlohmann::json with(const char* key, const nlohmann::json& value)
{
    nlohmann::json body = example_body();
    body[key] = value;
    return body;
}

} // namespace

// Guards against malformed values that reach the service or are silently altered.
TEST_CASE("bodies with a wrong shape get a typed refusal")
{
    caller_fixture fixture;
    nlohmann::json without_tasks = example_body();
    without_tasks.erase("tasks");
    const std::vector<std::string> bodies{
        "",
        "{",
        "[]",
        "null",
        "\xff\xfe",
        example_body().dump() + "x",
        without_tasks.dump(),
        with("priority", 1).dump(),
        with("template", 5).dump(),
        with("template", "../x").dump(),
        with("tasks", nlohmann::json::array()).dump(),
        with("tasks", std::vector<int>(671, 1)).dump(),
        with("tasks", "x").dump(),
        with("parameters", nlohmann::json::array()).dump(),
        with("parameters", {{"region", "x"}, {"unknown", 1}}).dump(),
        with("parameters", nlohmann::json::object()).dump(),
        with("wait", "yes").dump(),
        with("deadline_unix_ms", "soon").dump(),
        with("deadline_unix_ms", 1.5).dump(),
        with("deadline_unix_ms", now_ms + 61'000).dump(),
        with("deadline_unix_ms", std::numeric_limits<std::int64_t>::max()).dump(),
        with("deadline_unix_ms", std::numeric_limits<std::uint64_t>::max()).dump(),
        R"({"template":"eligibility","template":"eligibility","tasks":[1],"deadline_unix_ms":1})",
        R"({"template":"eligibility","tasks":[12345678901234567890123],"deadline_unix_ms":1})",
        R"({"template":"eligibility","tasks":[1e999],"deadline_unix_ms":1})",
        absl::StrCat(R"({"template":"eligibility","tasks":[)", std::string(100000, '['), "]}"),
    };
    for (const std::string& body : bodies) {
        const refusal seen = post(fixture, body);
        CAPTURE(body.substr(0, 120));
        CHECK(seen.status == 400);
        CHECK(seen.kind == "invalid_request");
    }
}

TEST_CASE("refusals that depend on the template, the time or the size have specific kinds")
{
    caller_fixture fixture;
    CHECK(post(fixture, with("template", "other").dump()).kind == "not_found");
    CHECK(post(fixture, with("deadline_unix_ms", now_ms).dump()).kind == "deadline_exceeded");
    CHECK(post(fixture, with("deadline_unix_ms", -1).dump()).kind == "deadline_exceeded");
    CHECK(post(fixture, with("tasks", {std::string(64, 'x')}).dump()).kind == "payload_too_large");
    CHECK(post(fixture, with("tasks", std::vector<int>(11, 1)).dump()).kind == "invalid_request");
    CHECK(post(fixture, std::string(2 * 1024 * 1024, ' ')).status == 413);
}

// The limit of the HTTP library does not cover chunked bodies.
TEST_CASE("a chunked body over the limit is refused")
{
    caller_fixture fixture;
    const std::string chunk(64 * 1024, ' ');
    const auto response = fixture.client().Post(
        path,
        [&](std::size_t offset, httplib::DataSink& sink) {
            if (offset >= std::size_t{2} * 1024 * 1024) {
                sink.done();
                return true;
            }
            return sink.write(chunk.data(), chunk.size());
        },
        "application/json");
    // The server may close while the client is still sending.
    if (response) {
        CHECK(response->status == 413);
        CHECK(response->get_header_value("Connection") == "close");
    }
}

// Guards against a small compressed body that exhausts the memory when it is decompressed.
TEST_CASE("a compressed body over the limit is refused")
{
    caller_fixture fixture;
    auto client = fixture.client();
    client.set_compress(true);
    const std::string spaces(std::size_t{4} * 1024 * 1024, ' ');
    const auto response = client.Post(path, spaces, "application/json");
    REQUIRE(response);
    CHECK(response->status == 413);
    CHECK(error_kind_in(response->body) == "payload_too_large");
}

// Guards against a body that is left on the connection and read as the next request.
TEST_CASE("a request that is refused before its body is read does not disturb the next request")
{
    caller_fixture fixture;
    httplib::Client client("127.0.0.1", fixture.server.port());
    client.set_keep_alive(true);
    const std::string next = "GET /v1/nothing HTTP/1.1\r\n\r\n";
    for (int i = 0; i < 3; ++i) {
        const auto refused = client.Post(path, next, "application/json");
        REQUIRE(refused);
        CHECK(refused->status == 401);
        const auto unknown = client.Post("/v1/unknown", next, "application/json");
        REQUIRE(unknown);
        CHECK(unknown->status == 404);
    }
}

TEST_CASE("paths, methods and headers out of bounds get a typed refusal")
{
    caller_fixture fixture;
    auto client = fixture.client();
    const auto kind_of = [](const httplib::Result& response) {
        REQUIRE(response);
        CHECK(response->status >= 400);
        CHECK(response->status < 500);
        return error_kind_in(response->body);
    };
    CHECK(kind_of(client.Get("/v1/accounts/dambi/submissions/.hidden")) == "invalid_request");
    CHECK(kind_of(client.Get("/v1/accounts/dambi/submissions/a%2Fb")) == "not_found");
    CHECK(kind_of(client.Get("/v1/accounts/dambi/submissions/a%0Ab")) == "invalid_request");
    CHECK(kind_of(client.Get("/v1/accounts/dambi/submissions/")) == "invalid_request");
    CHECK(kind_of(client.Get("/v1/accounts/dambi")) == "not_found");
    CHECK(kind_of(client.Get(std::string(8000, '/'))) == "invalid_request");
    CHECK(kind_of(client.Get("/" + std::string(20000, 'a'))) == "invalid_request");
    CHECK(client.Put(path, "{}", "application/json")->status == 405);
    CHECK(client.Patch(path, "{}", "application/json")->status == 405);
    httplib::Headers many;
    for (int i = 0; i < 100; ++i) {
        many.emplace(absl::StrCat("X-", i), "v");
    }
    CHECK(kind_of(client.Get(path, many)) == "payload_too_large");
    CHECK(kind_of(client.Post(path, {{"Content-Length", "x"}}, "", "application/json")) ==
          "invalid_request");
    CHECK(kind_of(client.Post(path, "--x--", "multipart/form-data; boundary=x")) ==
          "invalid_request");
}

// Guards against a caller's request id that corrupts the log or the response headers.
TEST_CASE("an invalid request id is replaced")
{
    caller_fixture fixture;
    const auto response = fixture.client().Get("/v1/nothing", {{"X-Request-Id", "a b=c"}});
    CHECK(response->get_header_value("X-Request-Id").size() == 32);
}

TEST_CASE("arbitrary bytes as body are refused and never reach the service")
{
    caller_fixture fixture;
    auto client = fixture.client();
    const bool held = rc::check([&](const std::string& bytes) {
        const auto response = client.Post(path, bytes, "application/json");
        RC_ASSERT(static_cast<bool>(response));
        RC_ASSERT(response->status >= 400);
        RC_ASSERT(response->status < 500);
        RC_ASSERT(error_kind_in(response->body) == "invalid_request");
    });
    CHECK(held);
}

// Most of the body stays valid, so that it reaches later checks than arbitrary bytes do.
TEST_CASE("a valid body with one byte changed is refused or decoded as sent")
{
    caller_fixture fixture;
    auto client = fixture.client();
    rpc::submission_request seen;
    ALLOW_CALL(fixture.service, submit(trompeloeil::_, trompeloeil::_))
        .LR_SIDE_EFFECT(seen = _1)
        .RETURN(example_answer(rpc::submission_running));
    const std::string valid = example_body().dump();
    const bool held = rc::check([&] {
        std::string changed = valid;
        changed[*rc::gen::inRange<std::size_t>(0, valid.size())] = *rc::gen::arbitrary<char>();
        const auto response = client.Post(path, changed, "application/json");
        RC_ASSERT(static_cast<bool>(response));
        if (response->status == 202) {
            const auto meant = nlohmann::json::parse(changed);
            RC_ASSERT(seen.tasks_size() == 2);
            RC_ASSERT(nlohmann::json::parse(seen.tasks(0)) == meant["tasks"][0]);
            RC_ASSERT(nlohmann::json::parse(seen.tasks(1)) == meant["tasks"][1]);
            RC_ASSERT(seen.deadline_unix_ms() == meant["deadline_unix_ms"].get<std::int64_t>());
        } else {
            RC_ASSERT(response->status >= 400);
            RC_ASSERT((response->status < 500 || response->status == 504));
        }
    });
    CHECK(held);
}
