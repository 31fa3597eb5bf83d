#include "region_fixture.h"

#include <doctest/doctest.h>

using namespace carobfall;
using namespace carobfall::test;

TEST_CASE("a job with many tasks succeeds when all tasks have ended")
{
    region test;
    agent_fixture& first = test.add_agent("a");
    agent_fixture& second = test.add_agent("b");
    REQUIRE(test.run_until([&] { return test.entry.usable_agents() == 2; }));
    std::optional<job_answer> answer;
    test.submit("00000000000000aa", 24, answer);
    REQUIRE(test.run_until([&] { return answer.has_value(); }));
    CHECK(answer->outcome == job_outcome::succeeded);
    CHECK(first.worker.starts + second.worker.starts == 24);
    // Guards against an agent that starts more runs than fit: 10 tasks of 6.2 cores fit into 64
    // cores.
    CHECK(first.worker.max_concurrent_runs <= 10);
    CHECK(second.worker.max_concurrent_runs <= 10);
}

// Load pattern: a worker leaves a share of all calls unanswered. Guards against an agent that
// notices the end of a run only after a lost request for a report has timed out.
TEST_CASE("a lost report does not delay the end of a job")
{
    region test;
    agent_fixture& agent = test.add_agent("a");
    agent.worker.run_time = absl::Milliseconds(200);
    agent.worker.lost_renewals = 2;
    agent.worker.renewal_timeout = absl::Seconds(5);
    REQUIRE(test.run_until([&] { return test.entry.usable_agents() == 1; }));
    std::optional<job_answer> answer;
    test.submit("00000000000000aa", 4, answer);
    REQUIRE(test.run_until([&] { return answer.has_value(); }, absl::Seconds(1)));
    CHECK(answer->outcome == job_outcome::succeeded);
    CHECK(agent.worker.lost_renewals == 0);
}

// Guards against decisions about the rack of the data that no operator can see.
TEST_CASE("tasks near and away from their data are counted for jobs that name a rack")
{
    region test;
    test.add_agent("a");
    REQUIRE(test.run_until([&] { return test.entry.usable_agents() == 1; }));
    const auto away = [&] { return test.metrics.counter("tasks_placed_total{data=\"away\"}"); };
    std::optional<job_answer> answer;
    test.submit("00000000000000aa", 2, answer);
    REQUIRE(test.run_until([&] { return answer.has_value(); }));
    CHECK(away() == 0);
    answer.reset();
    test.submit("00000000000000ab", 3, answer)->request.data_rack = "other";
    REQUIRE(test.run_until([&] { return answer.has_value(); }));
    CHECK(answer->outcome == job_outcome::succeeded);
    CHECK(away() == 3);
    CHECK(test.metrics.counter("tasks_placed_total{data=\"near\"}") == 0);
}

TEST_CASE("a job is refused immediately as not run if there are no agents")
{
    region test;
    std::optional<job_answer> answer;
    test.submit("00000000000000aa", 1, answer);
    REQUIRE(test.run_until([&] { return answer.has_value(); }, absl::Seconds(1)));
    CHECK(answer->outcome == job_outcome::not_run);
    CHECK(answer->retry_after >= absl::Seconds(1));
}

TEST_CASE("a job fails when one of its tasks has failed in all allowed attempts")
{
    region test;
    agent_fixture& agent = test.add_agent("a");
    agent.worker.end_kind = run_end_kind::failed;
    REQUIRE(test.run_until([&] { return test.entry.usable_agents() == 1; }));
    std::optional<job_answer> answer;
    test.submit("00000000000000aa", 1, answer);
    REQUIRE(test.run_until([&] { return answer.has_value(); }));
    CHECK(answer->outcome == job_outcome::failed);
    CHECK(agent.worker.starts == 3);
}

// Guards against a failure that is lost because an event of another task follows in the same frame:
// the task would get more attempts than the route allows.
TEST_CASE("a task that has failed too often ends its job despite later events in the same frame")
{
    region test;
    asio::ip::tcp::socket socket(test.context);
    socket.connect(test.endpoint);
    frame_channel agent(std::move(socket));
    std::vector<fleet::task_order> orders;
    const auto read_orders = [&]() -> asio::awaitable<void> {
        fleet::entry_frame frame;
        while (co_await agent.read(frame)) {
            orders.insert(orders.end(), frame.orders().begin(), frame.orders().end());
        }
    };
    asio::co_spawn(test.context, agent.write_all(), asio::detached);
    asio::co_spawn(test.context, read_orders(), asio::detached);
    const auto send = [&](const std::vector<std::pair<std::uint32_t, std::uint32_t>>& failures) {
        fleet::agent_frame frame;
        fleet::agent_status& status = *frame.mutable_status();
        status.set_name("a");
        status.set_service("adviser");
        status.set_accepting(true);
        status.set_slowness_percent(100);
        status.mutable_capacity()->set_cpu_millicores(64000);
        status.mutable_capacity()->set_memory_mib(262144);
        *status.mutable_free() = status.capacity();
        for (const auto& [index, attempt] : failures) {
            fleet::task_event& event = *frame.add_events();
            event.set_job_id("00000000000000aa");
            event.set_index(index);
            event.set_attempt(attempt);
            event.set_kind(fleet::task_failed);
        }
        agent.send(frame);
    };
    send({});
    REQUIRE(test.run_until([&] { return test.entry.usable_agents() == 1; }));
    std::optional<job_answer> answer;
    test.submit("00000000000000aa", 2, answer);
    // Each step is shorter than the silence after which the entry counts the agent as lost.
    for (std::uint32_t attempt = 1; attempt < 3; ++attempt) {
        REQUIRE(
            test.run_until([&] { return orders.size() == 1 + attempt; }, absl::Milliseconds(300)));
        send({{0, attempt}});
    }
    REQUIRE(test.run_until([&] { return orders.size() == 4; }, absl::Milliseconds(300)));
    send({{0, 3}, {1, 1}});
    test.run_until([&] { return answer.has_value(); }, absl::Milliseconds(300));
    REQUIRE(answer.has_value());
    CHECK(answer->outcome == job_outcome::failed);
    CHECK(orders.size() == 4);
}

// Guards against runs that go on after their caller has left.
TEST_CASE("the runs of an abandoned job are stopped")
{
    region test;
    agent_fixture& agent = test.add_agent("a");
    agent.worker.run_time = absl::Seconds(30);
    REQUIRE(test.run_until([&] { return test.entry.usable_agents() == 1; }));
    std::optional<job_answer> answer;
    const auto job = test.submit("00000000000000aa", 3, answer);
    REQUIRE(test.run_until([&] { return agent.worker.active() == 3; }));
    test.dispatcher.abandon(*job);
    REQUIRE(test.run_until([&] { return answer.has_value() && agent.worker.active() == 0; }));
    CHECK(answer->outcome == job_outcome::unknown);
    CHECK(test.run_until([&] { return test.dispatcher.active_jobs() == 0; }));
}

// Guards against two concurrent runs of a task when the caller resubmits the job.
TEST_CASE("a resubmitted job starts after the runs of its first submission have ended")
{
    region test;
    agent_fixture& agent = test.add_agent("a");
    agent.worker.run_time = absl::Milliseconds(300);
    REQUIRE(test.run_until([&] { return test.entry.usable_agents() == 1; }));
    std::optional<job_answer> first;
    std::optional<job_answer> second;
    test.submit("00000000000000aa", 1, first);
    REQUIRE(test.run_until([&] { return agent.worker.active() == 1; }));
    test.submit("00000000000000aa", 1, second);
    REQUIRE(test.run_until([&] { return first.has_value() && second.has_value(); }));
    CHECK(first->outcome == job_outcome::unknown);
    CHECK(second->outcome == job_outcome::succeeded);
    CHECK(agent.worker.stops == 1);
    CHECK(agent.worker.max_concurrent_runs == 1);
}

// Guards against an agent that goes on with the tasks of a frozen entry, whose sockets stay open
// without any data.
TEST_CASE("the runs of a silent entry are stopped when its permission ends")
{
    asio::io_context context{1};
    asio::ip::tcp::acceptor silent(context, {asio::ip::make_address_v4("127.0.0.1"), 0});
    const std::string address = absl::StrCat("127.0.0.1:", silent.local_endpoint().port());
    agent_fixture agent(context, "a", "1", address);
    agent.worker.run_time = absl::Seconds(30);
    asio::ip::tcp::socket socket(context);
    silent.async_accept(socket, [](const boost::system::error_code&) {});
    context.run_for(std::chrono::milliseconds(100));
    REQUIRE(socket.is_open());
    frame_channel channel(std::move(socket));
    fleet::entry_frame frame;
    frame.set_echo_us(absl::ToUnixMicros(boot_now()));
    fleet::task_order* order = frame.add_orders();
    order->set_job_id("00000000000000aa");
    order->set_cpu_millicores(6200);
    order->set_expected_run_ms(100);
    order->set_start_by_ms(1000);
    order->set_late_start_by_ms(1000);
    order->set_give_up_ms(60000);
    order->set_service("adviser");
    channel.send(frame);
    asio::co_spawn(
        context, [&]() -> asio::awaitable<void> { co_await channel.write_all(); }, asio::detached);
    context.run_for(std::chrono::milliseconds(200));
    CHECK(agent.worker.active() == 1);
    context.run_for(std::chrono::milliseconds(500));
    CHECK(agent.worker.active() == 0);
    CHECK(agent.worker.stops >= 1);
}

// Load pattern: machines return after a power failure, and so do their callers. Guards against
// agents that reconnect so late that the first jobs are refused for lack of workers.
TEST_CASE("an agent tries to reconnect to a lost entry many times per second")
{
    asio::io_context context{1};
    asio::ip::tcp::acceptor entry(context, {asio::ip::make_address_v4("127.0.0.1"), 0});
    std::size_t attempts = 0;
    const std::function<void()> accept_and_close = [&] {
        entry.async_accept([&](const boost::system::error_code&, const asio::ip::tcp::socket&) {
            ++attempts;
            accept_and_close();
        });
    };
    accept_and_close();
    const agent_fixture agent(context, "a", "1",
                              absl::StrCat("127.0.0.1:", entry.local_endpoint().port()));
    const absl::Time started_at = boot_now();
    while (attempts < 20 && boot_now() - started_at < absl::Seconds(10)) {
        context.run_for(std::chrono::milliseconds(10));
    }
    CHECK(attempts == 20);
    CHECK(boot_now() - started_at < absl::Seconds(2));
}

// Guards against the outcome `not_run` for a job whose tasks have started.
TEST_CASE("a job that times out after its tasks have started has an unknown outcome")
{
    region test;
    agent_fixture& agent = test.add_agent("a");
    agent.worker.run_time = absl::Seconds(30);
    REQUIRE(test.run_until([&] { return test.entry.usable_agents() == 1; }));
    std::optional<job_answer> answer;
    test.submit("00000000000000aa", 2, answer, absl::Milliseconds(300));
    REQUIRE(test.run_until([&] { return answer.has_value(); }));
    CHECK(answer->outcome == job_outcome::unknown);
    CHECK(test.run_until([&] { return agent.worker.active() == 0; }));
}

// Guards against tasks that are ordered and immediately stopped: the outcome of the job would be
// `unknown` instead of `not_run`.
TEST_CASE("a job with too little time for its tasks starts no task")
{
    region test;
    agent_fixture& agent = test.add_agent("a");
    REQUIRE(test.run_until([&] { return test.entry.usable_agents() == 1; }));
    std::optional<job_answer> answer;
    test.submit("00000000000000aa", 2, answer, absl::Milliseconds(5));
    REQUIRE(test.run_until([&] { return answer.has_value(); }));
    CHECK(answer->outcome == job_outcome::not_run);
    test.run_until([&] { return false; }, absl::Milliseconds(50));
    CHECK(agent.worker.starts == 0);
}

// Guards against concurrent runs on two workers: an unreachable worker may still run its tasks.
TEST_CASE("a task of an unreachable worker is placed again only after the lease has ended")
{
    region test;
    agent_fixture& first = test.add_agent("a");
    first.worker.run_time = absl::Seconds(30);
    REQUIRE(test.run_until([&] { return test.entry.usable_agents() == 1; }));
    std::optional<job_answer> answer;
    test.submit("00000000000000aa", 1, answer);
    REQUIRE(test.run_until([&] { return first.worker.active() == 1; }));
    agent_fixture& second = test.add_agent("b");
    REQUIRE(test.run_until([&] { return test.entry.usable_agents() == 2; }));
    // The worker no longer answers: the agent reports the run as lost when its lease has ended.
    first.worker.unreachable = true;
    const absl::Time cut = boot_now();
    REQUIRE(test.run_until([&] { return second.worker.starts == 1; }));
    CHECK(boot_now() - cut >= absl::Milliseconds(800));
    REQUIRE(test.run_until([&] { return answer.has_value(); }));
    CHECK(answer->outcome == job_outcome::succeeded);
}

// Guards against tasks that start in a data centre out of service because the entry has not
// received the operator state yet.
TEST_CASE("an agent in a data centre out of service starts no task and informs the entry")
{
    region test;
    agent_fixture& agent = test.add_agent("a");
    REQUIRE(test.run_until([&] { return test.entry.usable_agents() == 1; }));
    fleet::operator_state state;
    state.set_version(9);
    state.set_configuration_version(3);
    state.add_data_centres_out("mapo");
    REQUIRE(agent.operators.adopt(state, boot_now()));
    REQUIRE(test.run_until([&] { return test.operators.version() == 9; }));
    CHECK(test.entry.usable_agents() == 0);
    std::optional<job_answer> answer;
    test.submit("00000000000000aa", 1, answer);
    REQUIRE(test.run_until([&] { return answer.has_value(); }));
    CHECK(answer->outcome == job_outcome::not_run);
    CHECK(agent.worker.starts == 0);
}

// Guards against reports that repeat the unchanged description, which was the larger part of each
// report. Also guards against entries that get no description after a change or on a new
// connection.
TEST_CASE("an agent sends its description once per connection and when its worker changes")
{
    asio::io_context context{1};
    const asio::ip::tcp::endpoint endpoint = free_endpoint(context);
    std::vector<fleet::agent_status> descriptions;
    std::size_t reports = 0;
    std::unique_ptr<frame_channel> entry;
    const auto serve = [&]() -> asio::awaitable<void> {
        asio::ip::tcp::acceptor acceptor(context, endpoint);
        while (true) {
            entry = std::make_unique<frame_channel>(
                co_await acceptor.async_accept(asio::use_awaitable));
            asio::co_spawn(context, entry->write_all(), asio::detached);
            fleet::agent_frame frame;
            while (co_await entry->read(frame)) {
                ++reports;
                if (!frame.status().name().empty()) {
                    descriptions.push_back(frame.status());
                }
                fleet::entry_frame echo;
                echo.set_echo_us(frame.sent_us());
                entry->send(echo);
            }
        }
    };
    asio::co_spawn(context, serve(), asio::detached);
    context.run_for(std::chrono::milliseconds(5));
    agent_fixture agent(context, "a", "1", absl::StrCat("127.0.0.1:", endpoint.port()));
    // The connection may be open before the worker has confirmed its announcement.
    const auto describes_worker = [&] {
        return !descriptions.empty() && descriptions.back().has_capacity();
    };
    REQUIRE(run_until(context, describes_worker, absl::Seconds(5)));
    const std::size_t known = descriptions.size();
    REQUIRE(known <= 2);
    const std::size_t reports_before = reports;
    REQUIRE(run_until(
        context, [&] { return reports >= reports_before + 5; }, absl::Seconds(5)));
    REQUIRE(descriptions.size() == known);
    CHECK(descriptions.back().capacity().cpu_millicores() == 64000);
    worker_announcement larger = agent.announcement;
    larger.capacity.cpu_millicores = 96000;
    ++larger.sequence;
    announce_in_background(context, agent.service, larger);
    REQUIRE(run_until(
        context, [&] { return descriptions.size() == known + 1; }, absl::Seconds(5)));
    CHECK(descriptions.back().capacity().cpu_millicores() == 96000);
    entry->close();
    REQUIRE(run_until(
        context, [&] { return descriptions.size() == known + 2; }, absl::Seconds(5)));
    CHECK(descriptions.back().capacity().cpu_millicores() == 96000);
}

// Guards against late reports on an old connection that overwrite the state of its agent.
TEST_CASE("reports on a connection are ignored after the agent has opened another one")
{
    region test;
    std::vector<std::unique_ptr<frame_channel>> connections;
    const auto report = [&](frame_channel& channel, bool include_description, std::int64_t free) {
        fleet::agent_frame frame;
        fleet::agent_status& status = *frame.mutable_status();
        if (include_description) {
            status.set_name("a");
            status.set_service("adviser");
            status.mutable_capacity()->set_cpu_millicores(64000);
        }
        status.set_accepting(true);
        status.mutable_free()->set_cpu_millicores(free);
        channel.send(frame);
    };
    for (std::int64_t i = 1; i <= 2; ++i) {
        asio::ip::tcp::socket socket(test.context);
        socket.connect(test.endpoint);
        connections.push_back(std::make_unique<frame_channel>(std::move(socket)));
        asio::co_spawn(test.context, connections.back()->write_all(), asio::detached);
        report(*connections.back(), true, 1000 * i);
        REQUIRE(test.run_until([&] {
            const agent_view* view = test.entry.agents().find("a");
            return view != nullptr && view->load.free.cpu_millicores == 1000 * i;
        }));
    }
    report(*connections[0], false, 5000);
    CHECK_FALSE(test.run_until(
        [&] { return test.entry.agents().find("a")->load.free.cpu_millicores == 5000; },
        absl::Milliseconds(60)));
    report(*connections[1], false, 6000);
    CHECK(test.run_until(
        [&] { return test.entry.agents().find("a")->load.free.cpu_millicores == 6000; },
        absl::Milliseconds(300)));
}

// Guards against a worker that has left, or is leaving, and is in use again after a restart of its
// agent: a heartbeat from before the announcement of its end may arrive late.
TEST_CASE("a restarted agent does not use a worker that was leaving when the agent stopped")
{
    region test;
    fake_worker worker(test.context, &test.counter);
    operator_view operators;
    event_log log("a", "mapo");
    metrics_registry metrics;
    agent_service agent(test.context.get_executor(), {"a", "2", "mapo"}, worker, operators, log,
                        metrics);
    agent.start();
    worker_announcement stored = announcement_of("a");
    stored.state = worker_state::draining;
    stored.sequence = 5;
    asio::co_spawn(test.context, agent.restore_worker(stored), asio::detached);
    agent.add_entries({test.address});
    REQUIRE(test.run_until([&] { return agent.open_links() == 1; }));
    worker_announcement delayed = announcement_of("a");
    delayed.sequence = 4;
    CHECK(announce(test.context, agent, delayed) == announcement_effect::ignored);
    CHECK_FALSE(
        test.run_until([&] { return test.entry.usable_agents() > 0; }, absl::Milliseconds(400)));
}
