#include "../caller/caller_fixture.h"
#include "../operators/mock_operator_service.h"

#include "carobfall/line_diff.h"
#include "carobfall/operator_commands.h"
#include "carobfall/operators/operator_server.h"
#include "carobfall/submit_command.h"

#include <filesystem>
#include <fstream>
#include <sstream>

using namespace carobfall;
using namespace carobfall::test;
using namespace carobfall::tool;
using trompeloeil::_;

namespace {

// Port 1 on loopback refuses connections.
constexpr const char* dead_entry = "127.0.0.1:1";

struct tool_fixture : caller_fixture {
    command_context context_of(std::vector<std::string> entries)
    {
        return {api_client(std::move(entries), token), true, out, progress};
    }
    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(server.port());
    }
    exit_code run(command_context& context)
    {
        const submit_options options{.account = "dambi",
                                     .submission_id = "s-1",
                                     .template_name = "eligibility",
                                     .tasks = {"1", "2"},
                                     .parameters = {"region=seoul"},
                                     .deadline_seconds = 10};
        return tool::submit(
            context, options, [this] { return now; }, [this](absl::Duration d) { now += d; });
    }

    absl::Time now{from_unix_ms(now_ms)};
    std::ostringstream out;
    std::ostringstream progress;
};

rpc::submission_answer failed_answer(rpc::task_outcome first, rpc::task_outcome second)
{
    auto answer = example_answer(rpc::submission_failed);
    answer.set_error_kind("task_lost");
    answer.mutable_tasks(0)->set_outcome(first);
    answer.mutable_tasks(1)->set_outcome(second);
    return answer;
}

} // namespace

// Guards against a resubmission under another id or with another body, which would run tasks twice.
TEST_CASE("submit resends the same submission after an unknown outcome or a temporary error")
{
    tool_fixture fixture;
    const std::vector<error_kind> retryable_kinds{error_kind::recovering, error_kind::unavailable,
                                                  error_kind::outcome_unknown};
    std::vector<std::string> hashes;
    ALLOW_CALL(fixture.service, submit(_, _))
        .LR_SIDE_EFFECT(hashes.push_back(_1.key().submission_id() + _1.body_hash()))
        .LR_RETURN(hashes.size() <= retryable_kinds.size()
                       ? result<rpc::submission_answer>(failure(retryable_kinds[hashes.size() - 1],
                                                                "the entry is busy", "again"))
                       : result<rpc::submission_answer>(example_answer(rpc::submission_complete)));
    auto context = fixture.context_of({dead_entry, fixture.address()});
    CHECK(fixture.run(context) == exit_code::ok);
    REQUIRE(hashes.size() == retryable_kinds.size() + 1);
    CHECK(std::equal(hashes.begin() + 1, hashes.end(), hashes.begin()));
    CHECK(fixture.progress.str().find("submission dambi/s-1\n") == 0);
}

TEST_CASE("submit gives up at the deadline and says whether the tasks may have run")
{
    tool_fixture fixture;
    error_kind kind = error_kind::unavailable;
    ALLOW_CALL(fixture.service, submit(_, _))
        .LR_RETURN(failure(kind, "the entry is busy", "again"));
    auto context = fixture.context_of({fixture.address()});
    CHECK(fixture.run(context) == exit_code::refused);
    CHECK(fixture.now < from_unix_ms(now_ms) + absl::Seconds(10));
    fixture.now = from_unix_ms(now_ms);
    kind = error_kind::recovering;
    CHECK(fixture.run(context) == exit_code::outcome_unknown);
    auto unreachable = fixture.context_of({dead_entry});
    fixture.now = from_unix_ms(now_ms);
    CHECK(fixture.run(unreachable) == exit_code::unreachable);
}

// Guards against "nothing ran" for a submission of which a task may have run.
TEST_CASE("exit codes follow the outcomes of the tasks")
{
    tool_fixture fixture;
    auto context = fixture.context_of({fixture.address()});
    rpc::submission_answer answer;
    ALLOW_CALL(fixture.service, submit(_, _)).LR_RETURN(answer);
    answer = failed_answer(rpc::outcome_not_run, rpc::outcome_not_run);
    CHECK(fixture.run(context) == exit_code::refused);
    answer = failed_answer(rpc::outcome_not_run, rpc::outcome_may_have_run);
    CHECK(fixture.run(context) == exit_code::failed_answer);
    answer = example_answer(rpc::submission_running);
    CHECK(fixture.run(context) == exit_code::ok);
}

TEST_CASE("invalid input is refused before anything is sent")
{
    tool_fixture fixture;
    auto context = fixture.context_of({fixture.address()});
    for (const submit_options& options :
         {submit_options{.account = "dambi"},
          submit_options{.account = "dambi", .template_name = "t", .tasks = {"{"}},
          submit_options{
              .account = "dambi", .template_name = "t", .tasks = {"1"}, .parameters = {"x"}},
          submit_options{.account = "dambi", .file = "/nonexistent"}}) {
        CHECK(submit(
                  context, options, [] { return from_unix_ms(now_ms); }, [](absl::Duration) {}) ==
              exit_code::invalid_input);
    }
}

// Guards against a change that is reported done before it is in force, or that is applied twice.
TEST_CASE("a change is resent with the same change id until it is confirmed in force")
{
    mock_operator_service service;
    const state_dump dump;
    const metrics_registry metrics;
    operator_server server(service, dump, metrics, [] { return std::vector<std::string>(); },
                           {.http = {.threads = 2}, .tokens = {token}});
    REQUIRE(server.start());
    std::ostringstream out;
    command_context context{api_client({"127.0.0.1:" + std::to_string(server.port())}, token),
                            false, out, out};
    operator_commands commands(context, [](absl::Duration) {});
    std::set<std::string> ids;
    int calls = 0;
    ALLOW_CALL(service, set_data_centre("mapo", true, _))
        .LR_SIDE_EFFECT(ids.insert(_3.change_id); ++calls)
        .LR_RETURN(change_report{.change_id = _3.change_id,
                                 .version = 4,
                                 .committed = true,
                                 .in_force_everywhere = calls == 3});
    CHECK(commands.set_data_centre("mapo", true) == exit_code::ok);
    CHECK(calls == 3);
    CHECK(ids.size() == 1);
    calls = 100;
    CHECK(commands.set_data_centre("mapo", true) == exit_code::outcome_unknown);
}

// Guards against an error that doesn't locate the mistake in the files.
TEST_CASE("files are validated without an entry, and an error names the file and the line")
{
    const std::string name =
        std::filesystem::temp_directory_path() / ("carobfall-" + random_id() + ".yaml");
    const auto validate = [&](const std::string& text) {
        std::ofstream(name) << text;
        std::ostringstream out;
        const exit_code code = validate_files({name, name}, out, out);
        return std::pair(code, out.str());
    };
    const std::string declared = "kind: client_account\nname: dambi\n";
    const auto [unknown, place] = validate(declared + "tokne: aaaaaaaaaaaaaaaaaaaa\n");
    CHECK(unknown == exit_code::invalid_input);
    CHECK(place.find(name + ":3") != std::string::npos);
    const auto [twice, both] = validate(declared + "token: aaaaaaaaaaaaaaaaaaaa\n");
    CHECK(twice == exit_code::invalid_input);
    CHECK(both.find("account/dambi is declared in another file") != std::string::npos);
    std::filesystem::remove(name);
}

TEST_CASE("the difference of two texts has the changed lines only")
{
    CHECK(line_diff("a\nb\nc\n", "a\nx\nc\nd\n") == "- b\n+ x\n+ d\n");
    CHECK(line_diff("a\n", "a\n").empty());
    CHECK(line_diff("", "a\n") == "+ a\n");
}
