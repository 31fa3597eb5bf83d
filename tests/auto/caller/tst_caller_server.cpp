#include "../support/wait.h"
#include "caller_fixture.h"

#include "carobfall/base/digest.h"

#include <absl/synchronization/notification.h>

#include <thread>

using namespace carobfall;
using namespace carobfall::test;
using trompeloeil::_;

namespace {

// Blocks submissions until released. Overrides the mocked function, because the mock library holds
// a global lock while the side effects of an expectation run.
class blocking_service : public mock_submission_service {
public:
    answer submit(const rpc::submission_request& /*request*/, absl::Time /*now*/) override
    {
        ++blocked_calls;
        release.WaitForNotification();
        return example_answer(rpc::submission_complete);
    }
    answer cancel(const submission_key& /*key*/, absl::Time /*now*/) override
    {
        return example_answer(rpc::submission_running);
    }
    [[nodiscard]] bool reached(int count) const
    {
        return testing::becomes_true([&] { return blocked_calls == count; });
    }

    absl::Notification release;
    std::atomic<int> blocked_calls{0};
};

} // namespace

// Guards against a submission that reaches the service altered or incomplete.
TEST_CASE("a valid submission reaches the service and its complete answer is returned")
{
    caller_fixture fixture;
    rpc::submission_request seen;
    REQUIRE_CALL(fixture.service, submit(_, from_unix_ms(now_ms)))
        .LR_SIDE_EFFECT(seen = _1)
        .RETURN(example_answer(rpc::submission_complete));

    const auto response = fixture.client().Post(path, {{"X-Request-Id", "r-1"}},
                                                example_body().dump(), "application/json");
    REQUIRE(response);
    CHECK(response->status == 200);
    CHECK(response->get_header_value("X-Request-Id") == "r-1");
    CHECK(seen.key().client_account() == "dambi");
    CHECK(seen.key().submission_id() == "s-1");
    CHECK(seen.tasks(1) == R"({"age":68})");
    CHECK(seen.parameters_json() == R"({"region":"seoul"})");
    CHECK(seen.wait());
    CHECK(seen.request_id() == "r-1");

    const auto answer = nlohmann::json::parse(response->body);
    CHECK(answer["state"] == "complete");
    CHECK(answer["request_id"] == "r-1");
    CHECK(answer["tasks"][0]["result"]["eligible"] == true);
    CHECK(answer["tasks"][1]["result"] == "/wE=");
    CHECK(answer["tasks"][1]["result_encoding"] == "base64");
}

// Guards against a wrong token that is accepted, and responses that reveal which accounts exist.
TEST_CASE("an unknown account and a wrong token get the same response and never reach the service")
{
    caller_fixture fixture;
    httplib::Client client("127.0.0.1", fixture.server.port());
    const auto send_all = [&](const char* where, const char* bearer) {
        const httplib::Headers headers{{"Authorization", bearer}, {"X-Request-Id", "r"}};
        const auto posted = client.Post(where, headers, example_body().dump(), "application/json");
        const auto read = client.Get(where, headers);
        const auto cancelled = client.Delete(where, headers);
        REQUIRE((posted && read && cancelled));
        CHECK(posted->body == read->body);
        CHECK(posted->body == cancelled->body);
        CHECK(posted->status == 401);
        return posted->body;
    };
    const std::string wrong = send_all(path, "Bearer wrong");
    CHECK(wrong == send_all("/v1/accounts/nobody/submissions/s-1", "Bearer wrong"));
    CHECK(wrong == send_all("/v1/accounts/nobody/submissions/s-1", "Bearer "));
    CHECK(wrong == send_all(path, "Bearer "));
    CHECK(wrong == send_all(path, "Basic c2VjcmV0"));
    CHECK(wrong.find(token) == std::string::npos);
}

// Guards against an empty token in the configuration that authenticates every caller.
TEST_CASE("an account without a token can't be used")
{
    caller_fixture fixture;
    auto changed = std::make_shared<configuration>(example_configuration());
    changed->accounts["dambi"].token.clear();
    fixture.declared = changed;
    httplib::Client client("127.0.0.1", fixture.server.port());
    CHECK(client.Get(path, {{"Authorization", "Bearer "}})->status == 401);
    CHECK(client.Get(path)->status == 401);
}

// Guards against accepting the digest in place of the token: the digest is not a secret.
TEST_CASE("an account declared with the digest of its token accepts only the token")
{
    caller_fixture fixture;
    const std::string digest = std::string(token_digest_prefix) + sha256_hex(token);
    auto changed = std::make_shared<configuration>(example_configuration());
    changed->accounts["dambi"].token = digest;
    fixture.declared = changed;
    ALLOW_CALL(fixture.service, status(_, _)).RETURN(example_answer(rpc::submission_running));
    httplib::Client client("127.0.0.1", fixture.server.port());
    const auto status_with = [&](const std::string& bearer) {
        return client.Get(path, {{"Authorization", "Bearer " + bearer}})->status;
    };
    CHECK(status_with(token) == fixture.client().Get(path)->status);
    CHECK(status_with(token) != 401);
    CHECK(status_with(digest) == 401);
    CHECK(status_with(sha256_hex(token)) == 401);
    CHECK(status_with("") == 401);
}

TEST_CASE("every request is refused with stale_configuration until a configuration arrives")
{
    caller_fixture fixture;
    fixture.declared = std::make_shared<configuration>();
    const auto response = fixture.client().Get(path);
    CHECK(response->status == 503);
    CHECK(error_kind_in(response->body) == "stale_configuration");
}

// Guards against a failed or unfinished job that looks like a success.
TEST_CASE("the HTTP status follows the state of the submission")
{
    caller_fixture fixture;
    auto failed = example_answer(rpc::submission_failed);
    failed.set_error_kind("task_lost");
    failed.mutable_tasks(0)->set_outcome(rpc::outcome_may_have_run);
    failed.mutable_tasks(0)->clear_result();
    trompeloeil::sequence order;
    REQUIRE_CALL(fixture.service, status(submission_key{"dambi", "s-1"}, _))
        .IN_SEQUENCE(order)
        .RETURN(example_answer(rpc::submission_running));
    REQUIRE_CALL(fixture.service, status(_, _)).IN_SEQUENCE(order).LR_RETURN(failed);
    REQUIRE_CALL(fixture.service, status(_, _))
        .IN_SEQUENCE(order)
        .RETURN(example_answer(rpc::submission_unknown));
    REQUIRE_CALL(fixture.service, status(_, _))
        .IN_SEQUENCE(order)
        .RETURN(failure(error_kind::recovering, "the submission is being taken over", "ask again"));

    auto client = fixture.client();
    const auto running = client.Get(path);
    CHECK(running->status == 202);
    CHECK_FALSE(nlohmann::json::parse(running->body).contains("tasks"));
    const auto lost = client.Get(path);
    CHECK(lost->status == 502);
    CHECK(error_kind_in(lost->body) == "task_lost");
    const auto tasks = nlohmann::json::parse(lost->body)["tasks"];
    CHECK(tasks[0]["outcome"] == "ran");
    CHECK_FALSE(tasks[0].contains("result"));
    CHECK(tasks[1]["outcome"] == "may_have_run");
    CHECK(client.Get(path)->status == 404);
    CHECK(error_kind_in(client.Get(path)->body) == "recovering");
}

TEST_CASE("a cancel that took effect gets status 200")
{
    caller_fixture fixture;
    auto cancelled = example_answer(rpc::submission_failed);
    cancelled.set_error_kind("cancelled");
    REQUIRE_CALL(fixture.service, cancel(submission_key{"dambi", "s-1"}, _)).LR_RETURN(cancelled);
    REQUIRE_CALL(fixture.service, status(_, _)).LR_RETURN(cancelled);
    CHECK(fixture.client().Delete(path)->status == 200);
    CHECK(fixture.client().Get(path)->status == 409);
}

// Guards against callers that get the answer of another submission or a partial answer.
TEST_CASE("an answer that is inconsistent or incomplete becomes an internal error")
{
    caller_fixture fixture;
    auto other = example_answer(rpc::submission_complete);
    other.mutable_key()->set_submission_id("s-2");
    auto partial = example_answer(rpc::submission_complete);
    partial.mutable_tasks()->RemoveLast();
    auto doubled = example_answer(rpc::submission_complete);
    doubled.mutable_tasks(0)->set_index(0);
    auto empty = example_answer(rpc::submission_complete);
    empty.mutable_tasks(0)->clear_result();
    for (const auto& answer : {other, partial, doubled, empty}) {
        REQUIRE_CALL(fixture.service, status(_, _)).LR_RETURN(answer);
        const auto response = fixture.client().Get(path);
        CHECK(response->status == 500);
        CHECK(error_kind_in(response->body) == "internal");
    }
}

// Guards against waiting callers that block cancels and status requests.
TEST_CASE("at the limit of waiting callers, cancels are served and another submission is refused")
{
    constexpr int max_waiting = 2;
    blocking_service service;
    caller_fixture fixture({.http = {.threads = max_waiting + 2}, .max_waiting = max_waiting},
                           &service);
    std::vector<std::thread> callers;
    std::atomic<int> complete{0};
    for (int i = 0; i < max_waiting; ++i) {
        callers.emplace_back([&] {
            const auto response = fixture.submit();
            complete += static_cast<int>(response && response->status == 200);
        });
    }
    CHECK(service.reached(max_waiting));
    const auto refused = fixture.submit();
    CHECK(error_kind_in(refused->body) == "overloaded");
    CHECK(fixture.client().Delete(path)->status == 202);
    service.release.Notify();
    for (std::thread& caller : callers) {
        caller.join();
    }
    CHECK(complete == max_waiting);
}

TEST_CASE("settings that leave no thread for cancels are refused")
{
    caller_fixture fixture;
    caller_server server(fixture.service, fixture.source, fixture.metrics,
                         {.http = {.threads = 4}, .max_waiting = 4});
    CHECK(server.start().error().kind == error_kind::invalid_request);
}

// Guards against a shutdown that accepts new work or aborts a request in flight.
TEST_CASE("during shutdown new submissions are refused and requests in flight are answered")
{
    blocking_service service;
    caller_fixture fixture({.http = {.threads = 8}, .max_waiting = 4}, &service);
    int status = 0;
    std::thread caller([&] { status = fixture.submit()->status; });
    CHECK(service.reached(1));
    fixture.server.begin_shutdown();
    const auto refused = fixture.submit();
    CHECK(error_kind_in(refused->body) == "shutting_down");
    std::thread stopper([&] { fixture.server.stop(); });
    service.release.Notify();
    stopper.join();
    caller.join();
    CHECK(status == 200);
}

TEST_CASE("an exception in the service becomes a typed internal error")
{
    caller_fixture fixture;
    REQUIRE_CALL(fixture.service, status(_, _)).THROW(std::runtime_error("defect"));
    const auto response = fixture.client().Get(path);
    CHECK(response->status == 500);
    CHECK(error_kind_in(response->body) == "internal");
    CHECK(response->body.find("defect") == std::string::npos);
}
