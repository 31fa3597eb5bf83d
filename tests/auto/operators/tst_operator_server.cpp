#include "mock_operator_service.h"

#include "carobfall/operators/operator_server.h"

#include <doctest/doctest.h>
#include <doctest/trompeloeil.hpp>
#include <httplib.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>
#include <trompeloeil.hpp>

using namespace carobfall;
using namespace carobfall::test;
using trompeloeil::_;

namespace {

struct operator_fixture {
    operator_fixture()
        : server(
              service, dump, metrics, [this] { return reasons; }, settings())
    {
        REQUIRE(server.start());
        client.emplace("127.0.0.1", server.port());
        client->set_bearer_token_auth("operator-token");
    }

    static operator_settings settings()
    {
        return {.http = {.threads = 4}, .tokens = {"earlier-token", "operator-token"}};
    }

    nlohmann::json get(const std::string& path, int status = 200)
    {
        return checked(client->Get(path), status);
    }
    nlohmann::json post(const std::string& path, const std::string& body, int status = 200)
    {
        return checked(client->Post(path, body, "application/json"), status);
    }
    static nlohmann::json checked(const httplib::Result& response, int status)
    {
        REQUIRE(response);
        CHECK(response->status == status);
        return nlohmann::json::parse(response->body);
    }

    mock_operator_service service;
    state_dump dump;
    metrics_registry metrics;
    std::vector<std::string> reasons;
    operator_server server;
    std::optional<httplib::Client> client;
};

change_report report_of(bool committed, bool is_confirmed)
{
    return {.change_id = "c-1",
            .version = 9,
            .committed = committed,
            .in_force_everywhere = is_confirmed,
            .rows = {{"account/dambi", change_action::updated, "token: old\nweight: 1\n",
                      "token: new\nweight: 2\n"}}};
}

} // namespace

TEST_CASE("health, readiness and metrics need no token")
{
    operator_fixture fixture;
    fixture.client->set_bearer_token_auth("");
    fixture.metrics.add("requests_total", 3);
    CHECK(fixture.get("/healthz")["status"] == "alive");
    CHECK(fixture.get("/readyz")["ready"] == true);
    fixture.reasons = {"no view is in effect"};
    CHECK(fixture.get("/readyz", 503)["reasons"][0] == "no view is in effect");
    CHECK(fixture.client->Get("/metrics")->body == "carobfall_requests_total 3\n");
}

// Guards against an operators' route that was added without the token check.
TEST_CASE("every route except health, readiness and metrics needs the token")
{
    operator_fixture fixture;
    fixture.client->set_bearer_token_auth("operator-toke");
    for (const char* path : {"/debug/state", "/v1/templates/a/b", "/v1/accounts/a",
                             "/v1/configuration", "/v1/data-centres", "/v1/backends"}) {
        CHECK(fixture.get(path, 401)["error"]["kind"] == "unauthenticated");
    }
    for (const char* path : {"/v1/apply", "/v1/data-centres/mapo/out", "/v1/data-centres/mapo/in",
                             "/v1/entries/e/forget", "/v1/retry-now"}) {
        CHECK(fixture.post(path, "{}", 401)["error"]["kind"] == "unauthenticated");
    }
    for (const char* path : {"/v1/templates/a/b", "/v1/accounts/a"}) {
        CHECK(fixture.client->Put(path, "x", "application/yaml")->status == 401);
        CHECK(fixture.client->Delete(path)->status == 401);
    }
}

TEST_CASE("a server without an operator token doesn't start")
{
    operator_fixture fixture;
    operator_server server(fixture.service, fixture.dump, fixture.metrics,
                           [] { return std::vector<std::string>(); }, {});
    CHECK(server.start().error().kind == error_kind::invalid_request);
    operator_server with_empty(fixture.service, fixture.dump, fixture.metrics,
                               [] { return std::vector<std::string>(); }, {.tokens = {"a", ""}});
    CHECK(with_empty.start().error().kind == error_kind::invalid_request);
}

// Guards against a change that is reported in force before a majority of the entries holds it.
TEST_CASE("the response to a change says whether the change is confirmed in force")
{
    operator_fixture fixture;
    trompeloeil::sequence order;
    change_options seen;
    for (const auto& [committed, is_confirmed] : {std::pair{true, true}, {true, false}}) {
        REQUIRE_CALL(fixture.service, set_data_centre("mapo", true, _))
            .LR_SIDE_EFFECT(seen = _3)
            .RETURN(report_of(committed, is_confirmed));
        const auto body = fixture.post("/v1/data-centres/mapo/out?change_id=c-1&expected_version=8",
                                       "", is_confirmed ? 200 : 202);
        CHECK(body["in_force_everywhere"] == is_confirmed);
        CHECK(body["state"] == (is_confirmed ? "in_force" : "committed_not_confirmed"));
        CHECK(seen.change_id == "c-1");
        CHECK(seen.expected_version == 8);
        CHECK_FALSE(seen.dry_run);
    }
}

TEST_CASE("an apply request passes on its documents and options")
{
    operator_fixture fixture;
    change_options seen;
    REQUIRE_CALL(fixture.service, apply("kind: account\n", "", _))
        .LR_SIDE_EFFECT(seen = _3)
        .RETURN(report_of(false, false));
    const auto body =
        fixture.post("/v1/apply", R"({"yaml":"kind: account\n","dry_run":true,"change_id":"c-2"})");
    CHECK(seen.dry_run);
    CHECK(seen.change_id == "c-2");
    CHECK(body["state"] == "dry_run");
    CHECK(body["rows"][0]["action"] == "updated");
}

// Guards against tokens in responses, which are copied to terminals and tickets.
TEST_CASE("tokens are removed from declarations and changes")
{
    operator_fixture fixture;
    ALLOW_CALL(fixture.service, find_declaration("account/dambi"))
        .RETURN(declared_row{"account/dambi", "a: {token: secret}\ntoken: 'secret'\n", 3});
    ALLOW_CALL(fixture.service, list_declarations("account"))
        .RETURN(std::vector{declared_row{"account/x", "tokens\n\t: secret: [", 3}});
    ALLOW_CALL(fixture.service, configuration_version()).RETURN(3);
    ALLOW_CALL(fixture.service, remove("account/dambi", _)).RETURN(report_of(true, true));
    const std::string shown = fixture.get("/v1/accounts/dambi").dump() +
                              fixture.get("/v1/configuration?prefix=account").dump() +
                              fixture.client->Delete("/v1/accounts/dambi")->body;
    CHECK(shown.find("secret") == std::string::npos);
    CHECK(shown.find("new") == std::string::npos);
    CHECK(shown.find("weight: 2") != std::string::npos);
}

TEST_CASE("PUT and DELETE of a template path apply and remove the template")
{
    operator_fixture fixture;
    REQUIRE_CALL(fixture.service, apply("max_tasks: 5\n", "template/dambi/check", _))
        .RETURN(failure(error_kind::invalid_request, "line 1: the kind is missing", "add a kind"));
    REQUIRE_CALL(fixture.service, remove("template/dambi/check", _))
        .RETURN(
            failure(error_kind::not_found, "the template is not declared", "list the templates"));
    const auto refused =
        fixture.client->Put("/v1/templates/dambi/check", "max_tasks: 5\n", "application/yaml");
    CHECK(operator_fixture::checked(refused, 400)["error"]["message"] ==
          "line 1: the kind is missing");
    CHECK(fixture.client->Delete("/v1/templates/dambi/check")->status == 404);
}

TEST_CASE("requests for data centres, backends, forget and retry-now reach the service")
{
    operator_fixture fixture;
    REQUIRE_CALL(fixture.service, data_centres())
        .RETURN(std::vector{data_centre_status{.name = "mapo", .out = true, .agents = 3}});
    REQUIRE_CALL(fixture.service, backends())
        .RETURN(std::vector{backend_status{.agent = "a-1", .backoff = absl::Seconds(2)}});
    REQUIRE_CALL(fixture.service, forget_entry("entry-2"))
        .RETURN(failure(error_kind::conflict, "entry-2 still responds",
                        "stop entry-2 before it is forgotten"));
    REQUIRE_CALL(fixture.service, retry_now("a-1")).RETURN(1U);
    CHECK(fixture.get("/v1/data-centres")["data_centres"][0]["out"] == true);
    CHECK(fixture.get("/v1/backends")["backends"][0]["backoff_ms"] == 2000);
    CHECK(fixture.post("/v1/entries/entry-2/forget", "", 409)["error"]["kind"] == "conflict");
    CHECK(fixture.post("/v1/retry-now?agent=a-1", "")["cleared"] == 1);
}

TEST_CASE("a section of the dump that fails doesn't hide the others")
{
    operator_fixture fixture;
    fixture.dump.add("good", [] { return nlohmann::json{{"jobs", 2}}; });
    fixture.dump.add("bad", []() -> nlohmann::json { throw std::runtime_error("broken"); });
    const auto state = fixture.get("/debug/state")["state"];
    CHECK(state["good"]["jobs"] == 2);
    CHECK(state["bad"]["error"] == "broken");
}

TEST_CASE("malformed changes are refused before they reach the service")
{
    operator_fixture fixture;
    for (const char* body : {"", "[]", "{}", R"({"yaml":1})", R"({"yaml":"","change_id":"a b"})",
                             R"({"yaml":"","dry_run":"yes"})", R"({"yaml":"","force":true})",
                             R"({"yaml":"","expected_version":-1})", R"({"yaml":"","remove":"a"})",
                             R"({"yaml":"","remove":[1]})"}) {
        fixture.post("/v1/apply", body, 400);
    }
    for (const char* query : {"?x=1", "?dry_run=1", "?change_id=a/b", "?expected_version=one",
                              "?dry_run=true&dry_run=false"}) {
        fixture.post(std::string("/v1/data-centres/mapo/out") + query, "", 400);
    }
    fixture.post("/v1/retry-now?agent=a%20b", "", 400);
    CHECK(rc::check([&](const std::string& bytes) {
        const auto response = fixture.client->Post("/v1/apply", bytes, "application/json");
        RC_ASSERT(static_cast<bool>(response));
        RC_ASSERT(response->status == 400);
    }));
}
