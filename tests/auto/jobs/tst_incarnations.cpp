#include "region_fixture.h"

#include "carobfall/jobs/incarnation_check.h"

#include <doctest/doctest.h>

using namespace carobfall;
using namespace carobfall::test;

namespace {

constexpr const char* job_id = "00000000000000aa";

/// A worker with one run, and a second agent that is free.
struct worker_with_run {
    worker_with_run()
    {
        first.worker.id = first.announcement.id;
        first.worker.run_time = absl::Seconds(30);
        REQUIRE(test.run_until([&] { return test.entry.usable_agents() == 1; }));
        test.submit(job_id, 1, answer);
        REQUIRE(test.run_until([&] { return first.worker.active() == 1; }));
        second = &test.add_agent("b");
        REQUIRE(test.run_until([&] { return test.entry.usable_agents() == 2; }));
    }

    bool wait_for_second_run(absl::Duration timeout)
    {
        return test.run_until([&] { return second->worker.starts == 1; }, timeout);
    }

    region test;
    agent_fixture& first{test.add_agent("a")};
    agent_fixture* second{nullptr};
    std::optional<job_answer> answer;
};

/// A worker whose process ends and starts again under its id, unnoticed, before it carries out the
/// next start.
class restarting_worker : public fake_worker {
public:
    using fake_worker::fake_worker;

    asio::awaitable<start_reply> start(const start_order& order) override
    {
        if (std::exchange(restart_at_next_start, false)) {
            restart();
        }
        co_return co_await fake_worker::start(order);
    }

    bool restart_at_next_start{false};
};

bool knows_worker(const agent_process& agent)
{
    return agent.service.state_text(boot_now()).find("worker_known 1") != std::string::npos;
}

renewal_reply report_of(std::int64_t started_unix_ms)
{
    renewal_reply reply;
    reply.outcome = renewal_outcome::renewed;
    reply.report.started_unix_ms = started_unix_ms;
    return reply;
}

renewal_reply reply_of(renewal_outcome outcome)
{
    renewal_reply reply;
    reply.outcome = outcome;
    return reply;
}

} // namespace

// Guards against a heartbeat of another writer that is taken for the restart of the worker.
TEST_CASE("a heartbeat of another writer ends no run")
{
    worker_with_run fixture;
    worker_announcement foreign = announcement_of("other");
    foreign.service = "night-batch";
    foreign.started_unix_ms = 1000;
    CHECK(announce(fixture.test.context, fixture.first.service, foreign) ==
          announcement_effect::foreign);
    CHECK_FALSE(fixture.wait_for_second_run(absl::Milliseconds(400)));
    CHECK(fixture.first.worker.active() == 1);
    CHECK(fixture.test.counter.max_concurrent_runs() == 1);
}

// Guards against a worker whose heartbeats are ignored because another writer has announced a later
// start under its id.
TEST_CASE("a heartbeat of another writer does not replace the worker with the same id")
{
    worker_with_run fixture;
    worker_announcement foreign = fixture.first.announcement;
    foreign.started_unix_ms = 1000;
    CHECK(announce(fixture.test.context, fixture.first.service, foreign) ==
          announcement_effect::foreign);
    worker_announcement draining = fixture.first.announcement;
    draining.state = worker_state::draining;
    ++draining.sequence;
    CHECK(announce(fixture.test.context, fixture.first.service, draining) ==
          announcement_effect::changed);
    CHECK(fixture.first.worker.active() == 1);
}

// Guards against an agent that is restarted and recalls labels from the store that are no longer
// true: only announcements with the effect `changed` are stored.
TEST_CASE("a worker that announces other labels is stored again and gets no task for the old ones")
{
    worker_with_run fixture;
    worker_announcement other = fixture.first.announcement;
    other.labels = {"b"};
    ++other.sequence;
    CHECK(announce(fixture.test.context, fixture.first.service, other) ==
          announcement_effect::changed);
    ++other.sequence;
    CHECK(announce(fixture.test.context, fixture.first.service, other) ==
          announcement_effect::repeated);
    CHECK(fixture.first.worker.active() == 1);
}

// Guards against starts that the new incarnation of a worker carries out before its agent notices
// the restart, and that are reported as ended with the runs of the earlier incarnation.
TEST_CASE("a run on the new incarnation of a worker is not started elsewhere")
{
    region test;
    restarting_worker worker(test.context, &test.counter);
    worker.id = "i-a";
    worker.run_time = absl::Milliseconds(400);
    agent_process first(test.context, "a", "1", worker, announcement_of("a"), test.address);
    REQUIRE(test.run_until([&] { return test.entry.usable_agents() == 1; }));
    worker.restart_at_next_start = true;
    std::optional<job_answer> answer;
    test.submit(job_id, 1, answer);
    REQUIRE(test.run_until([&] { return worker.active() == 1; }));
    REQUIRE(worker.started_unix_ms == 2);
    agent_fixture& second = test.add_agent("b");
    REQUIRE(test.run_until([&] { return second.service.open_links() == 1; }));
    REQUIRE(test.run_until([&] { return answer.has_value(); }));
    CHECK(test.counter.max_concurrent_runs() == 1);
    CHECK(second.worker.starts == 0);
    CHECK(answer->outcome == job_outcome::succeeded);
    // The worker serves again once it has announced itself.
    worker_announcement restarted = announcement_of("a");
    restarted.started_unix_ms = 2;
    CHECK(announce(test.context, first.service, restarted) == announcement_effect::changed);
    CHECK(test.run_until([&] { return test.entry.usable_agents() == 2; }));
}

// Guards against a heartbeat that arrives before the agent has noticed the restart.
TEST_CASE("a run on a restarted worker goes on when the worker announces itself")
{
    worker_with_run fixture;
    fake_worker& worker = fixture.first.worker;
    worker.restart();
    worker_announcement restarted = fixture.first.announcement;
    restarted.started_unix_ms = worker.started_unix_ms;
    CHECK(announce(fixture.test.context, fixture.first.service, restarted) ==
          announcement_effect::changed);
    CHECK(fixture.wait_for_second_run(absl::Seconds(1)));
    CHECK(fixture.test.counter.max_concurrent_runs() == 1);
}

// Guards against the loss of an announcement whose confirmation gets no answer at first.
TEST_CASE("an announcement is adopted when the worker answers after some time")
{
    asio::io_context context{1};
    fake_worker worker(context);
    worker.unreachable = true;
    agent_process agent(context, "a", "1", worker, announcement_of("a"), "127.0.0.1:9");
    context.run_for(std::chrono::milliseconds(100));
    CHECK_FALSE(knows_worker(agent));
    worker.unreachable = false;
    CHECK(run_until(
        context, [&] { return knows_worker(agent); }, absl::Seconds(5)));
    worker.unreachable = true;
    worker_announcement later = announcement_of("a");
    later.started_unix_ms = 2;
    CHECK(announce(context, agent.service, later) == announcement_effect::unconfirmed);
}

// Guards against an agent that hangs because a check that is refused at once is repeated at once.
TEST_CASE("a stored worker is restored beside many announcements without an answer")
{
    asio::io_context context{1};
    fake_worker worker(context);
    worker.unreachable = true;
    agent_process agent(context, "a", "1", worker, announcement_of("a"), "127.0.0.1:9");
    for (const char* name : {"b", "c", "d", "e"}) {
        announce_in_background(context, agent.service, announcement_of(name));
    }
    asio::co_spawn(context, agent.service.restore_worker(announcement_of("a")), asio::detached);
    context.run_for(std::chrono::milliseconds(900));
    worker.id = "i-a";
    worker.unreachable = false;
    CHECK(run_until(
        context, [&] { return knows_worker(agent); }, absl::Seconds(5)));
}

TEST_CASE("only an answer of the announced incarnation confirms an announcement")
{
    const worker_announcement worker = announcement_of("a");
    const std::int64_t started = worker.started_unix_ms;
    using check = incarnation_check;
    for (const bool id_in_use : {false, true}) {
        CHECK(check_announcement(worker, report_of(started), id_in_use) == check::confirmed);
        CHECK(check_announcement(worker, report_of(started + 1), id_in_use) == check::refuted);
        CHECK(check_announcement(worker, reply_of(renewal_outcome::other_incarnation), id_in_use) ==
              check::refuted);
        for (const renewal_outcome outcome :
             {renewal_outcome::refused, renewal_outcome::gone, renewal_outcome::unreachable,
              renewal_outcome::no_answer}) {
            CHECK(check_announcement(worker, reply_of(outcome), id_in_use) == check::unanswered);
        }
    }
    CHECK(check_announcement(worker, report_of(0), false) == check::confirmed);
    CHECK(check_announcement(worker, report_of(0), true) == check::refuted);
    CHECK(check_announcement(worker, reply_of(renewal_outcome::fenced), false) == check::confirmed);
    CHECK(check_announcement(worker, reply_of(renewal_outcome::fenced), true) == check::unanswered);
}
