#pragma once

#include "carobfall/base/strict_json.h"
#include "carobfall/caller/caller_server.h"

#include <doctest/doctest.h>
#include <doctest/trompeloeil.hpp>
#include <httplib.h>
#include <trompeloeil.hpp>

namespace carobfall::test {

class mock_submission_service : public submission_service {
public:
    using answer = result<rpc::submission_answer>;
    MAKE_MOCK2(submit, answer(const rpc::submission_request&, absl::Time), override);
    MAKE_MOCK2(status, answer(const submission_key&, absl::Time), override);
    MAKE_MOCK2(cancel, answer(const submission_key&, absl::Time), override);
    MAKE_MOCK2(submit_forwarded, rpc::forward_reply(const rpc::forward_request&, absl::Time),
               override);
    MAKE_MOCK2(status_forwarded, answer(const rpc::status_request&, absl::Time), override);
    MAKE_MOCK2(cancel_forwarded, answer(const rpc::cancel_request&, absl::Time), override);
    MAKE_MOCK2(retry_now, std::uint32_t(const std::string&, absl::Time), override);
};

class mock_configuration_source : public configuration_source {
public:
    MAKE_CONST_MOCK0(current, configuration_ptr(), override);
    MAKE_CONST_MOCK1(fresh_for, absl::Duration(absl::Time), override);
};

inline constexpr std::int64_t now_ms = 1'800'000'000'000;
inline constexpr const char* token = "secret-of-dambi";
inline constexpr const char* path = "/v1/accounts/dambi/submissions/s-1";

inline dispatch_template example_template()
{
    dispatch_template declared;
    declared.client_account = "dambi";
    declared.name = "eligibility";
    declared.parameters_json = R"({"rate": 1})";
    declared.required_parameters = {"region"};
    declared.max_tasks = 10;
    declared.max_payload_bytes = 64;
    return declared;
}

inline configuration example_configuration()
{
    configuration declared;
    declared.version = 7;
    declared.accounts["dambi"] = {"dambi", token, {}};
    declared.templates[{"dambi", "eligibility"}] = example_template();
    return declared;
}

inline nlohmann::json example_body()
{
    return {{"template", "eligibility"},
            {"parameters", {{"region", "seoul"}}},
            {"tasks", {{{"age", 71}}, {{"age", 68}}}},
            {"deadline_unix_ms", now_ms + 10'000}};
}

inline rpc::submission_answer example_answer(rpc::submission_state state)
{
    rpc::submission_answer answer;
    answer.mutable_key()->set_client_account("dambi");
    answer.mutable_key()->set_submission_id("s-1");
    answer.set_state(state);
    answer.set_task_count(2);
    // Results may arrive in any order.
    for (const std::uint32_t index : {1U, 0U}) {
        rpc::task_answer* task = answer.add_tasks();
        task->set_index(index);
        task->set_outcome(rpc::outcome_ran);
        task->mutable_result()->set_success(true);
        task->mutable_result()->set_body(index == 0 ? R"({"eligible":true})" : "\xff\x01");
    }
    return answer;
}

/// A caller server on an ephemeral port, with a mocked service and configuration and a fixed clock.
struct caller_fixture {
    explicit caller_fixture(caller_settings settings = {.http = {.threads = 8}, .max_waiting = 4},
                            submission_service* other_service = nullptr)
        : server(other_service != nullptr ? *other_service : service, source, metrics,
                 std::move(settings), [] { return from_unix_ms(now_ms); })
    {
        REQUIRE(server.start());
    }

    [[nodiscard]] httplib::Client client() const
    {
        httplib::Client connection("127.0.0.1", server.port());
        connection.set_bearer_token_auth(token);
        return connection;
    }

    [[nodiscard]] httplib::Result submit() const
    {
        return client().Post(path, example_body().dump(), "application/json");
    }

    mock_submission_service service;
    mock_configuration_source source;
    configuration_ptr declared{std::make_shared<configuration>(example_configuration())};
    std::unique_ptr<trompeloeil::expectation> current{
        NAMED_ALLOW_CALL(source, current()).LR_RETURN(declared)};
    metrics_registry metrics;
    caller_server server;
};

inline std::string error_kind_in(const std::string& body)
{
    const nlohmann::json parsed = nlohmann::json::parse(body, nullptr, false);
    return parsed.is_object() && parsed.contains("error")
               ? parsed["error"].value("kind", std::string())
               : "no error document: " + body;
}

} // namespace carobfall::test
