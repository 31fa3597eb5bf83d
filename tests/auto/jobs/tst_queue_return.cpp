#include "region_fixture.h"

#include "carobfall/jobs/queue_return.h"
#include "carobfall/jobs/worker_ledger.h"

#include <doctest/doctest.h>

using namespace carobfall;
using namespace carobfall::test;

namespace {

const absl::Time start = absl::FromUnixSeconds(1000);
const std::string job_id = "00000000000000aa";
constexpr std::uint32_t runs = 10;

absl::Time after(int milliseconds)
{
    return start + absl::Milliseconds(milliseconds);
}

fleet::task_order order(std::uint32_t index, std::uint32_t longest_wait_ms)
{
    fleet::task_order task;
    task.set_job_id(job_id);
    task.set_index(index);
    task.set_attempt(1);
    task.set_cpu_millicores(6200);
    task.set_expected_run_ms(100);
    task.set_start_by_ms(200);
    task.set_late_start_by_ms(600);
    task.set_give_up_ms(1500);
    task.set_service("adviser");
    task.set_longest_wait_ms(longest_wait_ms);
    return task;
}

/// A worker with ten runs, which have no room for another task.
struct full_worker {
    full_worker()
    {
        ledger.announce(announcement_of("a"));
        for (std::uint32_t index = 0; index < runs; ++index) {
            ledger.add(1, order(index, 0), start);
        }
        while (const auto number = ledger.begin_next(start, [](session_number) { return true; })) {
            ledger.on_start_reply(*number, {start_outcome::started, std::nullopt}, start);
        }
    }
    /// Reports that the runs, which are to take 100 ms, have come this far.
    void report(int percent_done, absl::Time now)
    {
        worker_report report;
        for (std::uint32_t index = 0; index < runs; ++index) {
            report.active.push_back({{job_id, index, 1}, percent_done});
        }
        ledger.on_report(report, now, now);
    }
    /// Indexes of the tasks that are returned at `now`.
    std::vector<std::uint32_t> returned(absl::Time now)
    {
        ledger.expire(now);
        std::vector<std::uint32_t> indexes;
        for (const session_event& event : ledger.take_events()) {
            CHECK(event.event.kind() == fleet::task_not_run);
            CHECK(event.event.reason() == "waited_too_long");
            indexes.push_back(event.event.index());
        }
        return indexes;
    }

    worker_ledger ledger;
};

} // namespace

// Load pattern: workers become slow while tasks wait there. Guards against tasks that wait until it
// is too late, and against returning tasks whose entries have not asked for it.
TEST_CASE("tasks that wait at a worker that becomes slow are returned from the longest wait on")
{
    full_worker test;
    test.ledger.add(1, order(20, 30), start);
    test.ledger.add(1, order(21, 0), start);
    test.report(5, after(30));
    CHECK(test.returned(after(30)).empty());
    CHECK(test.returned(after(40)) == std::vector<std::uint32_t>{20});
    const std::vector<ledger_decision> decisions = test.ledger.take_decisions();
    REQUIRE(decisions.size() == 1);
    CHECK(decisions[0].passed == absl::Milliseconds(40));
    CHECK(decisions[0].expected > absl::Milliseconds(50));
    CHECK(decisions[0].age == absl::Milliseconds(10));
    CHECK(test.returned(after(80)).empty());
    CHECK(test.ledger.waiting() == 1);
}

// Guards against returning all tasks of a queue: the first one is about to start.
TEST_CASE("only the tasks at the end of a long queue are returned")
{
    full_worker test;
    test.ledger.add(1, order(20, 10), start);
    for (std::uint32_t index = 21; index < 24; ++index) {
        test.ledger.add(1, order(index, 0), start);
    }
    test.ledger.add(1, order(24, 55), start);
    test.ledger.add(1, order(25, 65), start);
    test.report(90, after(70));
    CHECK(test.returned(after(70)).empty());
    test.report(40, after(95));
    CHECK(test.returned(after(95)) == std::vector<std::uint32_t>{24, 25});
    CHECK(test.ledger.waiting() == 4);
}

// Guards against a task that waits for room which the worker, unlike the agent, does not see.
TEST_CASE("a task whose start is refused for lack of room counts as waiting")
{
    worker_ledger ledger;
    ledger.announce(announcement_of("a"));
    ledger.add(1, order(0, 10), start);
    const auto number = ledger.begin_next(start, [](session_number) { return true; });
    REQUIRE(number);
    ledger.expire(after(14));
    CHECK_FALSE(ledger.has_events());
    ledger.on_start_reply(*number, {start_outcome::no_room, std::nullopt}, after(15));
    ledger.expire(after(16));
    const std::vector<session_event> events = ledger.take_events();
    REQUIRE(events.size() == 1);
    CHECK(events[0].event.reason() == "waited_too_long");
}

// Guards against tasks that are passed around while all queues are long, and against moves that
// come too late to help.
TEST_CASE("a task is not returned without gain")
{
    const auto ms = [](int value) { return absl::Milliseconds(value); };
    const waiting_time slow{ms(50), ms(80), ms(40), ms(100), after(300), after(1000)};
    CHECK(should_return(slow, start));
    waiting_time other = slow;
    other.remaining = ms(5);
    CHECK_FALSE(should_return(other, start));
    other = slow;
    other.longest_wait = absl::ZeroDuration();
    CHECK_FALSE(should_return(other, start));
    other.longest_wait = ms(49); // the queues of all workers are about as long as the rest here
    other.remaining = ms(60);
    CHECK_FALSE(should_return(other, start));
    CHECK_FALSE(should_return(slow, after(290)));
    other = slow;
    other.give_up = after(75);
    CHECK_FALSE(should_return(other, start));
}

// Guards against an entry that sends a task back to the agent that has returned it.
TEST_CASE("returned tasks run at another agent")
{
    region test;
    agent_fixture& slow = test.add_agent("a");
    slow.worker.run_time = absl::Milliseconds(600);
    REQUIRE(test.run_until([&] { return test.entry.usable_agents() == 1; }));
    std::optional<job_answer> answer;
    const std::shared_ptr<active_job> job = test.submit(job_id, 12, answer);
    REQUIRE(test.run_until([&] { return slow.worker.active() > 0; }));
    agent_fixture& other = test.add_agent("b");
    REQUIRE(test.run_until([&] { return other.worker.starts == 2; }));
    CHECK(slow.worker.starts == runs);
    CHECK(job->avoided == std::set<std::string>{"a"});
    CHECK(slow.process.metrics.counter("task_decisions_total{reason=\"waited_too_long\"}") >= 2);
    REQUIRE(test.run_until([&] { return answer.has_value(); }));
    CHECK(answer->outcome == job_outcome::succeeded);
    CHECK(test.counter.max_concurrent_runs() == 1);
}
