#include "region_fixture.h"

#include "carobfall/jobs/queue_return.h"
#include "carobfall/jobs/worker_ledger.h"

#include <doctest/doctest.h>

using namespace carobfall;
using namespace carobfall::test;

namespace {

const absl::Time start = absl::FromUnixSeconds(1000);
const std::string job_id = "00000000000000aa";

absl::Time after(int milliseconds)
{
    return start + absl::Milliseconds(milliseconds);
}

struct test_worker {
    test_worker() { ledger.announce(announcement_of("a")); }

    void add(std::uint32_t index, std::uint32_t longest_wait_ms)
    {
        fleet::task_order task;
        task.set_job_id(job_id);
        task.set_index(index);
        task.set_cpu_millicores(6200);
        task.set_expected_run_ms(100);
        task.set_start_by_ms(200);
        task.set_late_start_by_ms(600);
        task.set_give_up_ms(1500);
        task.set_service("adviser");
        task.set_longest_wait_ms(longest_wait_ms);
        ledger.add(1, task, start);
    }
    /// Starts ten runs, which leave no room for another task.
    void fill()
    {
        for (std::uint32_t index = 0; index < 10; ++index) {
            add(index, 0);
            const auto number = ledger.begin_next(start, [](session_number) { return true; });
            ledger.on_start_reply(number.value(), {start_outcome::started, std::nullopt}, start);
        }
    }
    void report(int percent_done, absl::Time now)
    {
        worker_report report;
        for (std::uint32_t index = 0; index < 10; ++index) {
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
// is too late, against returning a task whose entry has not asked for it, and against returning the
// front of the queue, which is about to start.
TEST_CASE("tasks at the end of the queue of a worker that becomes slow are returned")
{
    test_worker test;
    test.fill();
    for (const std::uint32_t longest_wait_ms : {10, 0, 0, 0, 55, 65}) {
        test.add(20 + static_cast<std::uint32_t>(test.ledger.waiting()), longest_wait_ms);
    }
    test.report(90, after(70));
    CHECK(test.returned(after(70)).empty());
    test.report(40, after(95));
    CHECK(test.returned(after(98)) == std::vector<std::uint32_t>{24, 25});
    CHECK(test.returned(after(98)).empty());
    CHECK(test.ledger.waiting() == 4);
    const std::vector<ledger_decision> decisions = test.ledger.take_decisions();
    REQUIRE(decisions.size() == 2);
    CHECK(decisions[0].passed == absl::Milliseconds(98));
    CHECK(decisions[0].age == absl::Milliseconds(3));
}

// Guards against a task that waits for room which the worker, unlike the agent, does not see.
TEST_CASE("a task whose start is refused for lack of room counts as waiting")
{
    test_worker test;
    test.add(0, 10);
    const auto number = test.ledger.begin_next(start, [](session_number) { return true; });
    CHECK(test.returned(after(14)).empty());
    test.ledger.on_start_reply(number.value(), {start_outcome::no_room, std::nullopt}, after(15));
    CHECK(test.returned(after(16)) == std::vector<std::uint32_t>{0});
}

// Guards against tasks that are passed around while all queues are long, and against moves that
// come too late to help.
TEST_CASE("a task is not returned without gain")
{
    const auto returns = [](int remaining, int longest_wait, int late_start_by, int give_up) {
        const waiting_time time{absl::Milliseconds(50),
                                absl::Milliseconds(remaining),
                                absl::Milliseconds(longest_wait),
                                absl::Milliseconds(100),
                                after(late_start_by),
                                after(give_up)};
        return should_return(time, start);
    };
    CHECK(returns(80, 40, 300, 1000));
    CHECK_FALSE(returns(5, 40, 300, 1000));
    CHECK_FALSE(returns(80, 0, 300, 1000));
    // The queues of all workers are about as long as the rest of this one.
    CHECK_FALSE(returns(60, 49, 300, 1000));
    CHECK_FALSE(returns(80, 40, 15, 1000));
    CHECK_FALSE(returns(80, 40, 300, 75));
}

// Guards against an entry that sends a task back to the agent that has returned it.
TEST_CASE("tasks that are returned from a queue run at another agent")
{
    region test;
    agent_fixture& slow = test.add_agent("a");
    slow.worker.run_time = absl::Milliseconds(600);
    REQUIRE(test.run_until([&] { return test.entry.usable_agents() == 1; }));
    std::optional<job_answer> answer;
    const std::shared_ptr<active_job> job = test.submit(job_id, 12, answer);
    REQUIRE(test.run_until([&] { return slow.worker.active() > 0; }));
    agent_fixture& other = test.add_agent("b");
    REQUIRE(test.run_until([&] { return answer.has_value(); }));
    CHECK(answer->outcome == job_outcome::succeeded);
    CHECK(job->avoided == std::set<std::string>{"a"});
    CHECK(other.worker.starts == 2);
    CHECK(test.counter.max_concurrent_runs() == 1);
    CHECK(slow.process.metrics.counter("task_decisions_total{reason=\"waited_too_long\"}") >= 2);
}
