#include "fake_entry.h"

#include "backend_standin.h"
#include "carobfall/agent/agent_daemon.h"
#include "carobfall/agent/grpc_entry_channel.h"
#include "carobfall/base/clock.h"

#include <absl/strings/str_cat.h>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <mutex>
#include <optional>

using namespace carobfall;
using carobfall::testing::becomes_true;

namespace {

/// One agent with its backend server and one entry, connected over loopback.
struct agent_environment {
    explicit agent_environment(std::uint32_t run_ms,
                               absl::Duration heartbeat = absl::Milliseconds(50),
                               const std::vector<std::string>& data_centres_out = {})
    {
        entry.data_centres_out = data_centres_out;
        const agent_settings settings{.name = "worker-1",
                                      .region = "khomas",
                                      .data_centre = "windhoek",
                                      .rack = "r1",
                                      .rpc_address = "127.0.0.1:0",
                                      .announce_address = "127.0.0.1:0",
                                      .operator_address = "127.0.0.1:0",
                                      .entry_addresses = {entry.address},
                                      .heartbeat = heartbeat,
                                      .ledger = {}};
        daemon.emplace(
            settings, agent_limits{},
            [](const std::string& address) {
                return std::make_unique<grpc_entry_channel>(address);
            },
            monotonic_now);
        REQUIRE(daemon->start());
        standin_options options;
        options.agent = absl::StrCat("127.0.0.1:", daemon->announcement_port());
        options.slots = 2;
        options.run_ms = options.run_max_ms = run_ms;
        backend.emplace(options);
        REQUIRE(backend->start());
        // The lease is granted only by the reply to this heartbeat, so readiness follows later.
        REQUIRE(entry.wait_until([this] { return entry.last_heartbeat.backend_available(); }));
        REQUIRE(becomes_true([this] { return is_ready(); }));
        stub = rpc::agent_service::NewStub(grpc::CreateChannel(
            absl::StrCat("127.0.0.1:", daemon->grpc_port()), grpc::InsecureChannelCredentials()));
    }

    bool is_ready()
    {
        const httplib::Result reply =
            httplib::Client("127.0.0.1", daemon->operator_port()).Get("/readyz");
        return reply && reply->status == 200;
    }

    rpc::start_reply start(std::uint32_t tasks)
    {
        rpc::start_request request;
        *request.mutable_submission() = to_message({"ombili", "s-1"});
        request.set_deadline_unix_ms(to_unix_ms(monotonic_now() + absl::Seconds(20)));
        request.set_request_path("/v1/run");
        request.mutable_coordinator()->set_address(entry.address);
        request.set_agent_incarnation(entry.agent.incarnation());
        request.set_configuration_version(entry.configuration_version);
        for (std::uint32_t i = 0; i < tasks; ++i) {
            rpc::start_task* task = request.add_tasks();
            task->set_index(i);
            task->set_attempt(1);
            task->set_payload("{}");
        }
        grpc::ClientContext context;
        rpc::start_reply reply;
        REQUIRE(stub->start(&context, request, &reply).ok());
        return reply;
    }

    [[nodiscard]] std::ptrdiff_t starts() const
    {
        const std::string log = backend->starts();
        return std::count(log.begin(), log.end(), '\n');
    }

    fake_entry entry;
    std::optional<backend_standin>
        backend; // destroyed after the agent, which has open connections to it
    std::optional<agent_daemon> daemon;
    std::unique_ptr<rpc::agent_service::Stub> stub;
};

} // namespace

// Guards against errors in the interaction of announcement, lease, start, run and report.
TEST_CASE("tasks run once each and their results reach the coordinator")
{
    agent_environment e(20);
    CHECK(e.entry.agent.backend_server().slots() == 2);
    const rpc::start_reply reply = e.start(6);
    for (const rpc::task_status& task : reply.tasks()) {
        CHECK(task.state() == rpc::task_state_queued);
    }
    e.start(6);
    REQUIRE(e.entry.wait_until([&] { return e.entry.reports.size() == 6; }));
    for (const auto& [index, status] : e.entry.reports) {
        CHECK(status.state() == rpc::task_state_finished);
        CHECK(status.result().success());
    }
    CHECK(e.starts() == 6);

    httplib::Client client("127.0.0.1", e.daemon->operator_port());
    const auto state = nlohmann::json::parse(client.Get("/debug/state")->body)["state"];
    CHECK(state["records"].size() == 6);
    CHECK(state["lease"]["valid"] == true);
    CHECK(client.Get("/metrics")->body.find("tasks_accepted_total 6") != std::string::npos);
}

// Guards against starts that are refused until the next heartbeat after a data centre has returned
// to service.
TEST_CASE("an agent that refuses a start fetches the later configuration of the entry at once")
{
    agent_environment e(20, absl::Seconds(30), {"windhoek"});
    CHECK(e.start(1).tasks(0).reason() == rpc::refusal_data_centre_out);
    {
        const std::lock_guard lock(e.entry.mutex);
        e.entry.configuration_version = 2;
        e.entry.data_centres_out.clear();
    }
    std::uint32_t tasks = 1;
    CHECK(becomes_true([&] {
        ++tasks;
        return e.start(tasks).tasks(static_cast<int>(tasks) - 1).state() == rpc::task_state_queued;
    }));
}

// Guards against a shutdown that loses running tasks or keeps queued tasks from running elsewhere.
TEST_CASE("a shutdown finishes running tasks, refuses queued ones and notifies the entry")
{
    agent_environment e(500);
    e.start(6);
    REQUIRE(becomes_true([&] { return e.starts() == 2; }));
    e.daemon->drain();
    const std::lock_guard lock(e.entry.mutex);
    CHECK(e.entry.reports.size() == 6);
    int finished = 0;
    int handed_back = 0;
    for (const auto& [index, status] : e.entry.reports) {
        finished += status.state() == rpc::task_state_finished ? 1 : 0;
        handed_back += status.reason() == rpc::refusal_leaving ? 1 : 0;
    }
    CHECK(finished == 2);
    CHECK(handed_back == 4);
    CHECK(e.entry.last_heartbeat.leaving());
    CHECK(e.entry.last_heartbeat.load().running() == 0);
}

// Guards against queued tasks that are sent to, and fail at, a backend server that has left.
TEST_CASE("a backend server that leaves receives no new tasks and its queued tasks are refused")
{
    agent_environment e(300);
    e.start(6);
    REQUIRE(becomes_true([&] { return e.starts() == 2; }));
    e.backend->leave();
    REQUIRE(e.entry.wait_until([&] { return e.entry.reports.size() == 6; }));
    CHECK(e.starts() == 2);
    CHECK(e.start(7).tasks(6).reason() == rpc::refusal_backend_unavailable);
}
