#include "carobfall/jobs/run_bounds.h"
#include "carobfall/jobs/worker_ledger.h"

#include <doctest/doctest.h>

#include <string>
#include <utility>
#include <vector>

using namespace carobfall;

namespace {

const absl::Time now = absl::FromUnixSeconds(1000);
const std::string job_id = "00000000000000aa";

absl::Time after(int milliseconds)
{
    return now + absl::Milliseconds(milliseconds);
}

worker_announcement worker(std::int64_t started = 1, std::int64_t sequence = 1)
{
    worker_announcement announcement;
    announcement.id = "i-1";
    announcement.service = "adviser";
    announcement.capacity = {64000, 262144, 0};
    announcement.started_unix_ms = started;
    announcement.sequence = sequence;
    return announcement;
}

fleet::task_order order(std::uint32_t index, std::uint32_t attempt = 1)
{
    fleet::task_order task;
    task.set_job_id(job_id);
    task.set_index(index);
    task.set_attempt(attempt);
    task.set_cpu_millicores(6200);
    task.set_memory_mib(64);
    task.set_expected_run_ms(100);
    task.set_start_by_ms(200);
    task.set_late_start_by_ms(600);
    task.set_give_up_ms(1500);
    task.set_service("adviser");
    return task;
}

bool permitted(session_number)
{
    return true;
}

struct started_ledger {
    worker_ledger ledger;
    worker_ledger::record_number number{0};

    explicit started_ledger(start_outcome outcome = start_outcome::started)
    {
        ledger.announce(worker());
        ledger.add(1, order(0), now);
        number = ledger.begin_next(now, permitted).value();
        ledger.on_start_reply(number, {outcome, std::nullopt}, after(2));
    }

    std::vector<std::pair<fleet::task_event_kind, std::string>> events()
    {
        std::vector<std::pair<fleet::task_event_kind, std::string>> kinds;
        for (const session_event& event : ledger.take_events()) {
            kinds.emplace_back(event.event.kind(), event.event.reason());
        }
        return kinds;
    }
};

using event_list = std::vector<std::pair<fleet::task_event_kind, std::string>>;

worker_report report_with_active(int percent_done)
{
    worker_report report;
    report.active.push_back({{job_id, 0, 1}, percent_done});
    return report;
}

worker_report report_with_end(std::uint64_t number, run_end_kind kind, std::uint32_t run = 1)
{
    worker_report report;
    report.ends.push_back({number, {job_id, 0, run}, kind});
    return report;
}

} // namespace

TEST_CASE("a run that ends is reported once and its room is free again")
{
    started_ledger test;
    CHECK(test.ledger.free_room().cpu_millicores == 57800);
    test.ledger.on_report(report_with_end(1, run_end_kind::done), after(5), after(100));
    CHECK(test.events() == event_list{{fleet::task_done, "done"}});
    CHECK(test.ledger.free_room().cpu_millicores == 64000);
    CHECK(test.ledger.acknowledged_end() == 1);
    test.ledger.on_report(report_with_end(1, run_end_kind::done), after(5), after(110));
    CHECK(test.events().empty());
}

// Load pattern: several entries place tasks at once with old reports. Guards against tasks that
// wait behind tasks of other entries while other workers have room.
TEST_CASE("an order that would wait longer than its entry expected is returned")
{
    worker_ledger ledger;
    ledger.announce(worker());
    for (std::uint32_t index = 0; index < 12; ++index) {
        ledger.add(1, order(index), now);
    }
    fleet::task_order late = order(12);
    late.set_longest_wait_ms(10);
    ledger.add(2, late, now);
    std::vector<session_event> events = ledger.take_events();
    REQUIRE(events.size() == 1);
    CHECK(events[0].session == 2);
    CHECK(events[0].event.kind() == fleet::task_not_run);
    CHECK(events[0].event.reason() == "queue_longer");
    // The task waits if its entry expected the queue, or if the order sets no longest wait.
    late.set_longest_wait_ms(500);
    ledger.add(2, late, now);
    late.set_longest_wait_ms(0);
    ledger.add(2, late, now);
    CHECK_FALSE(ledger.has_events());
    CHECK(ledger.waiting() == 14);
}

TEST_CASE("an order that fits into the free room is not returned")
{
    worker_ledger ledger;
    ledger.announce(worker());
    for (std::uint32_t index = 0; index < 10; ++index) {
        fleet::task_order next = order(index);
        next.set_longest_wait_ms(10);
        ledger.add(1, next, now);
    }
    CHECK_FALSE(ledger.has_events());
    // A waiting task does not delay an order that precedes it in the queue.
    for (std::uint32_t index = 0; index < 10; ++index) {
        REQUIRE(ledger.begin_next(now, permitted));
    }
    fleet::task_order patient = order(10);
    patient.set_priority(2);
    patient.set_start_by_ms(1000);
    ledger.add(1, patient, now);
    fleet::task_order urgent = order(11);
    urgent.set_longest_wait_ms(30);
    ledger.add(1, urgent, now);
    CHECK_FALSE(ledger.has_events());
}

// Guards against concurrent runs: an unanswered start order may be carried out seconds later.
TEST_CASE("an unanswered start order is returned only after an answered stop order")
{
    started_ledger test(start_outcome::no_answer);
    test.ledger.on_report({}, after(10), after(20));
    CHECK(test.events().empty());
    REQUIRE(test.ledger.begin_stop() == test.number);
    CHECK(test.ledger.begin_stop() == std::nullopt);
    test.ledger.on_stop_reply(test.number, false, after(30));
    REQUIRE(test.ledger.begin_stop() == test.number);
    test.ledger.on_stop_reply(test.number, true, after(40));
    test.ledger.on_report({}, after(35), after(45));
    CHECK(test.events().empty());
    test.ledger.on_report({}, after(41), after(46));
    CHECK(test.events() == event_list{{fleet::task_ended, "order_unanswered"}});
}

// Guards against treating a run as ended because a report does not list it. A report that was
// requested before the start can't list the run.
// Load pattern: a worker carries orders out and their answers are lost. Guards against a run that
// is stopped, and started again elsewhere, though it goes on undisturbed.
TEST_CASE("a run that a report lists goes on when the answer to its start is lost")
{
    worker_ledger ledger;
    ledger.announce(worker());
    ledger.add(1, order(0), now);
    const worker_ledger::record_number number = ledger.begin_next(now, permitted).value();
    ledger.on_report(report_with_active(20), after(20), after(25));
    ledger.on_start_reply(number, {start_outcome::no_answer, std::nullopt}, after(130));
    CHECK_FALSE(ledger.begin_stop());
    CHECK(ledger.on_worker() == 1);
    ledger.on_report(report_with_end(1, run_end_kind::done), after(140), after(180));
    const std::vector<session_event> events = ledger.take_events();
    REQUIRE(events.size() == 1);
    CHECK(events[0].event.kind() == fleet::task_done);
}

// Load pattern: as above, where the worker closes the connection in place of an answer.
TEST_CASE("a run whose start got no answer goes on when the next report lists it")
{
    started_ledger test(start_outcome::no_answer);
    CHECK_FALSE(test.ledger.begin_stop());
    test.ledger.on_report(report_with_active(20), now, after(10));
    test.ledger.on_report(report_with_active(50), after(12), after(50));
    test.ledger.expire(after(400));
    CHECK_FALSE(test.ledger.begin_stop());
    test.ledger.on_report(report_with_end(1, run_end_kind::done), after(52), after(120));
    CHECK(test.events() == event_list{{fleet::task_done, "done"}});
}

TEST_CASE("a run whose start got no answer is stopped when no report confirms it in time")
{
    started_ledger test(start_outcome::no_answer);
    test.ledger.expire(after(100));
    CHECK_FALSE(test.ledger.begin_stop());
    test.ledger.expire(after(150));
    CHECK(test.ledger.begin_stop() == test.number);
}

// Guards against a wait for a report that has come already: the order has been lost.
TEST_CASE("a run that a later report does not list is stopped when its start times out")
{
    worker_ledger ledger;
    ledger.announce(worker());
    ledger.add(1, order(0), now);
    const worker_ledger::record_number number = ledger.begin_next(now, permitted).value();
    ledger.on_report({}, after(20), after(25));
    ledger.on_start_reply(number, {start_outcome::no_answer, std::nullopt}, after(130));
    CHECK(ledger.begin_stop() == number);
}

// A stop that was requested meanwhile is not forgotten.
TEST_CASE("a listed run is stopped after its unanswered start if its entry has asked for it")
{
    worker_ledger ledger;
    ledger.announce(worker());
    ledger.add(1, order(0), now);
    const worker_ledger::record_number number = ledger.begin_next(now, permitted).value();
    ledger.on_report(report_with_active(20), after(20), after(25));
    fleet::task_stop stop;
    stop.set_job_id(job_id);
    stop.set_attempt(1);
    ledger.request_stop(1, stop, after(30));
    ledger.on_start_reply(number, {start_outcome::no_answer, std::nullopt}, after(130));
    CHECK(ledger.begin_stop() == number);
}

TEST_CASE("a report that was requested before the start of a run does not end it")
{
    started_ledger test;
    test.ledger.on_report({}, after(1), after(10));
    CHECK(test.events().empty());
    test.ledger.on_report({}, after(3), after(12));
    CHECK(test.events() == event_list{{fleet::task_ended, "run_gone"}});
}

TEST_CASE("a short run whose end arrives before the answer to its start is reported once")
{
    worker_ledger ledger;
    ledger.announce(worker());
    ledger.add(1, order(0), now);
    const auto number = ledger.begin_next(now, permitted);
    REQUIRE(number);
    ledger.on_report(report_with_end(1, run_end_kind::done), after(1), after(5));
    CHECK(ledger.take_events().size() == 1);
    ledger.on_start_reply(*number, {start_outcome::started, std::nullopt}, after(6));
    CHECK(ledger.take_events().empty());
    CHECK(ledger.on_worker() == 0);
}

// Guards against concurrent runs of a task: the caller of a failed entry resubmits its job to
// another entry.
TEST_CASE("the runs of a lost entry are stopped and its waiting tasks are removed")
{
    started_ledger test;
    test.ledger.add(1, order(1), now);
    test.ledger.drop_session(1, after(3));
    CHECK(test.ledger.waiting() == 0);
    CHECK(test.ledger.begin_stop() == test.number);
}

// Guards against concurrent runs on one worker after the caller has resubmitted the job.
TEST_CASE("a task waits until its earlier run has ended")
{
    started_ledger test;
    test.ledger.drop_session(1, after(3));
    test.ledger.add(2, order(0), after(3));
    CHECK(test.ledger.begin_next(after(3), permitted) == std::nullopt);
    test.ledger.begin_stop();
    test.ledger.on_stop_reply(test.number, true, after(5));
    test.ledger.on_report({}, after(6), after(8));
    const auto next = test.ledger.begin_next(after(8), permitted);
    REQUIRE(next);
    CHECK(test.ledger.find(*next)->run == 2);
}

// Guards against retries with the same run number, which the worker refuses each time.
TEST_CASE("a task whose run number was refused starts with a higher one")
{
    started_ledger test(start_outcome::superseded);
    const auto next = test.ledger.begin_next(after(4), permitted);
    REQUIRE(next);
    CHECK(test.ledger.find(*next)->run == 2);
}

TEST_CASE("an order that was not carried out is returned as not run")
{
    for (const start_outcome outcome : {start_outcome::unhealthy, start_outcome::not_sent,
                                        start_outcome::other_incarnation, start_outcome::invalid}) {
        started_ledger test(outcome);
        const event_list events = test.events();
        REQUIRE(events.size() == 1);
        CHECK(events[0].first == fleet::task_not_run);
    }
}

// Guards against a wrong free room after a restart of the agent, which does not know the demand of
// earlier runs.
TEST_CASE("runs of an earlier agent are stopped before any task starts")
{
    worker_ledger ledger;
    ledger.announce(worker());
    worker_report report;
    report.active.push_back({{"00000000000000bb", 3, 4}, 50});
    ledger.on_report(report, now, after(2));
    ledger.add(1, order(0), after(2));
    CHECK(ledger.begin_next(after(2), permitted) == std::nullopt);
    const auto stop = ledger.begin_stop();
    REQUIRE(stop);
    CHECK(run_of(*ledger.find(*stop)) == task_run{"00000000000000bb", 3, 4});
    ledger.on_stop_reply(*stop, true, after(4));
    ledger.on_report({}, after(5), after(6));
    CHECK(ledger.take_events().empty());
    CHECK(ledger.begin_next(after(6), permitted));
}

// Guards against a delayed heartbeat that arrives after the restart of the worker.
TEST_CASE("outdated announcements and announcements of workers that have left are ignored")
{
    worker_ledger ledger;
    CHECK(ledger.announce(worker(5, 3)));
    CHECK_FALSE(ledger.announce(worker(5, 2)));
    CHECK_FALSE(ledger.announce(worker(4, 9)));
    ledger.remove_worker("i-1");
    CHECK_FALSE(ledger.announce(worker(5, 4)));
    CHECK(ledger.announce(worker(6, 1)));
}

// Guards against a restart that is taken from an announcement alone. Starts are addressed to the id
// of the worker, so the new incarnation may run the latest ones.
TEST_CASE("an announcement under the same id ends no run of the earlier incarnation")
{
    started_ledger test;
    CHECK_FALSE(test.ledger.announce(worker(2, 1)));
    CHECK(test.events().empty());
    CHECK(test.ledger.on_worker() == 1);
}

TEST_CASE("a worker with another id ends the runs of the earlier one")
{
    started_ledger test;
    worker_announcement other = worker(2, 1);
    other.id = "i-2";
    REQUIRE(test.ledger.announce(other));
    CHECK(test.events() == event_list{{fleet::task_ended, "worker_restarted"}});
    CHECK(test.ledger.acknowledged_end() == 0);
}

// Guards against tasks that start on a worker without the label that they require.
TEST_CASE("tasks that wait for a worker are returned when another one replaces it")
{
    started_ledger test;
    test.ledger.add(1, order(1), after(3));
    worker_announcement other = worker(2, 1);
    other.id = "i-2";
    REQUIRE(test.ledger.announce(other));
    CHECK(test.events() == event_list{{fleet::task_ended, "worker_restarted"},
                                      {fleet::task_not_run, "worker_restarted"}});
    CHECK(test.ledger.waiting() == 0);
}

// Guards against orders that were placed on the earlier worker and arrive after the change.
TEST_CASE("an order whose label the worker lacks is returned")
{
    worker_ledger ledger;
    worker_announcement labelled = worker();
    labelled.labels = {"b", "r1-1"};
    ledger.announce(labelled);
    fleet::task_order foreign = order(0);
    foreign.set_required_label("a");
    ledger.add(1, foreign, now);
    REQUIRE(ledger.has_events());
    const session_event event = ledger.take_events().front();
    CHECK(event.event.kind() == fleet::task_not_run);
    CHECK(event.event.reason() == "label_missing");
    fleet::task_order fitting = order(1);
    fitting.set_required_label("b");
    ledger.add(1, fitting, now);
    CHECK(ledger.begin_next(now, permitted));
}

// Guards against tasks that start on a worker that has lost the label, its service or the room for
// them with a later announcement of the same incarnation.
TEST_CASE("waiting tasks are returned when the worker announces that it no longer suits them")
{
    worker_announcement labelled = worker(1, 1);
    labelled.labels = {"a", "r1-1"};
    worker_announcement other_kind = worker(1, 2);
    other_kind.labels = {"b", "r1-1"};
    worker_announcement other_service = other_kind;
    other_service.labels = labelled.labels;
    other_service.service = "night-batch";
    worker_announcement small = other_kind;
    small.labels = labelled.labels;
    small.capacity = {6000, 262144, 0};
    const std::vector<std::pair<worker_announcement, std::string>> cases{
        {other_kind, "label_missing"},
        {other_service, "other_service"},
        {small, "worker_too_small"}};
    for (const auto& [announcement, reason] : cases) {
        worker_ledger ledger;
        ledger.announce(labelled);
        fleet::task_order labelled_order = order(0);
        labelled_order.set_required_label("a");
        ledger.add(1, labelled_order, now);
        REQUIRE(ledger.announce(announcement));
        const std::vector<session_event> events = ledger.take_events();
        REQUIRE(events.size() == 1);
        CHECK(events[0].event.kind() == fleet::task_not_run);
        CHECK(events[0].event.reason() == reason);
        CHECK_FALSE(ledger.begin_next(after(1), permitted));
    }
}

// Guards against a task whose refused start is under way while the worker changes its kind, and
// that would wait and start there again.
TEST_CASE("a refused start is returned if the worker no longer suits the task or drains")
{
    worker_announcement labelled = worker(1, 1);
    labelled.labels = {"a"};
    worker_announcement other_kind = worker(2, 1);
    other_kind.labels = {"b"};
    worker_announcement draining = labelled;
    draining.state = worker_state::draining;
    draining.sequence = 2;
    for (const bool restarts : {true, false}) {
        worker_ledger ledger;
        ledger.announce(labelled);
        fleet::task_order labelled_order = order(0);
        labelled_order.set_required_label("a");
        ledger.add(1, labelled_order, now);
        const worker_ledger::record_number number = ledger.begin_next(now, permitted).value();
        if (restarts) {
            worker_report report;
            report.started_unix_ms = 2;
            ledger.begin_incarnation(report, after(1), after(2));
        }
        REQUIRE(ledger.announce(restarts ? other_kind : draining));
        ledger.on_start_reply(number, {start_outcome::no_room, std::nullopt}, after(3));
        const std::vector<session_event> events = ledger.take_events();
        REQUIRE(events.size() == 1);
        CHECK(events[0].event.kind() == fleet::task_not_run);
        CHECK(ledger.waiting() == 0);
    }
}

TEST_CASE("a restart of the worker ends the runs that its first report does not list")
{
    started_ledger test;
    test.ledger.on_report(report_with_end(7, run_end_kind::done, 9), after(3), after(3));
    worker_report report;
    report.started_unix_ms = 2;
    test.ledger.begin_incarnation(report, after(5), after(6));
    CHECK(test.events() == event_list{{fleet::task_ended, "run_gone"}});
    CHECK(test.ledger.acknowledged_end() == 0);
    CHECK(test.ledger.announce(worker(2, 1)));
}

// Guards against a second run of a task that the new incarnation runs.
TEST_CASE("a run that the restarted worker lists goes on until its end is reported")
{
    started_ledger test;
    worker_report report = report_with_active(10);
    report.started_unix_ms = 2;
    test.ledger.begin_incarnation(report, after(5), after(6));
    CHECK(test.events().empty());
    REQUIRE(test.ledger.announce(worker(2, 1)));
    CHECK(test.events().empty());
    CHECK(test.ledger.on_worker() == 1);
    test.ledger.on_report(report_with_end(1, run_end_kind::done), after(8), after(100));
    CHECK(test.events() == event_list{{fleet::task_done, "done"}});
}

// Guards against a second run of a task whose start reaches the new incarnation.
TEST_CASE("a start that is answered after the first report of a restarted worker goes on")
{
    for (const start_outcome outcome : {start_outcome::started, start_outcome::no_answer}) {
        worker_ledger ledger;
        ledger.announce(worker());
        ledger.add(1, order(0), now);
        const worker_ledger::record_number number = ledger.begin_next(now, permitted).value();
        worker_report report;
        report.started_unix_ms = 2;
        ledger.begin_incarnation(report, after(5), after(6));
        ledger.on_start_reply(number, {outcome, std::nullopt}, after(7));
        CHECK_FALSE(ledger.has_events());
        CHECK(ledger.on_worker() == 1);
    }
}

TEST_CASE("a restarted worker gets no task before it announces itself")
{
    started_ledger test;
    test.ledger.add(1, order(1), after(3));
    worker_report report = report_with_active(10);
    report.started_unix_ms = 2;
    test.ledger.begin_incarnation(report, after(5), after(6));
    CHECK(test.events() == event_list{{fleet::task_not_run, "worker_restarted"}});
    test.ledger.add(1, order(2), after(7));
    CHECK(test.events() == event_list{{fleet::task_not_run, "worker_unannounced"}});
    REQUIRE(test.ledger.announce(worker(2, 1)));
    test.ledger.add(1, order(3), after(8));
    CHECK(test.ledger.begin_next(after(8), permitted));
}

// Guards against starts on a worker that is leaving.
TEST_CASE("a draining worker gets no new tasks and its waiting tasks are returned")
{
    started_ledger test;
    test.ledger.add(1, order(1), after(3));
    worker_announcement draining = worker(1, 2);
    draining.state = worker_state::draining;
    REQUIRE(test.ledger.announce(draining));
    CHECK(test.events() == event_list{{fleet::task_not_run, "worker_draining"}});
    test.ledger.add(1, order(2), after(5));
    CHECK(test.events() == event_list{{fleet::task_not_run, "worker_draining"}});
    CHECK(test.ledger.on_worker() == 1);
}

// Guards against a heartbeat of another writer with a huge sequence, after which the worker's own
// statement that it drains would count as outdated.
TEST_CASE("a worker that drains is believed whatever the sequence of earlier announcements")
{
    worker_ledger ledger;
    REQUIRE(ledger.announce(worker(1, 1)));
    REQUIRE(ledger.announce(worker(1, std::int64_t{1} << 62U)));
    worker_announcement draining = worker(1, 2);
    draining.state = worker_state::draining;
    CHECK(ledger.announce(draining));
    CHECK(ledger.worker()->state == worker_state::draining);
    CHECK_FALSE(ledger.announce(draining));
}

// Guards against a late or foreign heartbeat that takes back that the worker drains.
TEST_CASE("a worker that drains does so until its end")
{
    worker_ledger ledger;
    worker_announcement draining = worker(1, 2);
    draining.state = worker_state::draining;
    REQUIRE(ledger.announce(draining));
    REQUIRE(ledger.announce(worker(1, 3)));
    CHECK(ledger.worker()->state == worker_state::draining);
    worker_announcement next = worker(2, 1);
    next.id = "i-2";
    REQUIRE(ledger.announce(next));
    CHECK(ledger.worker()->state == worker_state::ready);
}

// Guards against callers that wait for a task whose answer would be too late to be useful.
TEST_CASE("a waiting task is returned when its answer would be too late")
{
    worker_ledger ledger;
    ledger.announce(worker());
    ledger.add(1, order(0), now);
    ledger.expire(after(599));
    CHECK_FALSE(ledger.has_events());
    ledger.expire(after(601));
    REQUIRE(ledger.has_events());
    CHECK(ledger.take_events()[0].event.kind() == fleet::task_not_run);
}

// Load pattern: a worker has become ten times slower.
TEST_CASE("a run that would end too late is stopped and reported with its predicted run time")
{
    started_ledger test;
    test.ledger.on_report(report_with_active(5), after(3), after(100));
    REQUIRE(test.ledger.begin_stop() == test.number);
    test.ledger.on_stop_reply(test.number, true, after(102));
    test.ledger.on_report(report_with_end(1, run_end_kind::stopped), after(103), after(110));
    const auto events = test.ledger.take_events();
    REQUIRE(events.size() == 1);
    CHECK(events[0].event.kind() == fleet::task_ended);
    CHECK(events[0].event.run_ms() == 2000);
}

// Guards against concurrent runs after a report that does not list all runs.
TEST_CASE("an incomplete report does not end a run that it does not list")
{
    started_ledger test;
    test.ledger.on_start_reply(test.number, {start_outcome::started, std::nullopt}, after(2));
    worker_report report;
    report.complete = false;
    test.ledger.on_report(report, after(3), after(5));
    CHECK(test.ledger.on_worker() == 1);
    CHECK_FALSE(test.ledger.has_events());
}

// Guards against lease renewals that prolong a run after its stop order stayed unanswered.
TEST_CASE("a run is overdue when its stop has been due for longer than the grace period")
{
    started_ledger test;
    const absl::Time since = after(10);
    test.ledger.drop_session(1, since);
    CHECK(test.ledger.overdue_stop(since + stop_grace) == nullptr);
    const run_record* overdue =
        test.ledger.overdue_stop(since + stop_grace + absl::Milliseconds(1));
    REQUIRE(overdue != nullptr);
    CHECK(run_of(*overdue).job_id == job_id);
    test.ledger.begin_stop();
    test.ledger.on_stop_reply(test.number, true, after(200));
    test.ledger.on_report({}, after(201), after(203));
    CHECK(test.ledger.overdue_stop(after(500)) == nullptr);
}

// A run can't be started twice while its entry waits for the agent's report. It must not block the
// lease renewal of the worker's other runs.
TEST_CASE("a run is not overdue while its entry waits for the agent's report")
{
    started_ledger test(start_outcome::no_answer);
    CHECK(test.ledger.overdue_stop(after(5000)) == nullptr);
    fleet::task_stop stop;
    stop.set_job_id(job_id);
    stop.set_attempt(1);
    test.ledger.request_stop(1, stop, after(6000));
    CHECK(test.ledger.overdue_stop(after(6050)) == nullptr);
    CHECK(test.ledger.overdue_stop(after(6150)) != nullptr);
}

TEST_CASE("a stop request for a waiting task returns it as not run")
{
    worker_ledger ledger;
    ledger.announce(worker());
    ledger.add(1, order(0), now);
    fleet::task_stop stop;
    stop.set_job_id(job_id);
    stop.set_index(0);
    stop.set_attempt(1);
    ledger.request_stop(2, stop, now);
    CHECK_FALSE(ledger.has_events());
    ledger.request_stop(1, stop, now);
    CHECK(ledger.take_events()[0].event.kind() == fleet::task_not_run);
}

TEST_CASE("a stop request while the start is unanswered stops the run after the answer")
{
    worker_ledger ledger;
    ledger.announce(worker());
    ledger.add(1, order(0), now);
    const auto number = ledger.begin_next(now, permitted);
    REQUIRE(number);
    fleet::task_stop stop;
    stop.set_job_id(job_id);
    stop.set_attempt(1);
    ledger.request_stop(1, stop, now);
    CHECK(ledger.begin_stop() == std::nullopt);
    ledger.on_start_reply(*number, {start_outcome::started, std::nullopt}, after(3));
    CHECK(ledger.begin_stop() == number);
}

// Load pattern: a worker leaves orders and requests for reports unanswered. Guards against
// overestimating the slowness of a worker. If a report is lost, the end of a run is listed late,
// and its run time was measured up to the late report: four workers got no work for 3 s while jobs
// were refused.
TEST_CASE("the run time is not measured when the end of a run is reported late")
{
    started_ledger test;
    test.ledger.on_report(report_with_active(10), after(3), after(4));
    // The report that was requested at 5 ms was lost.
    test.ledger.on_report(report_with_end(1, run_end_kind::done), after(400), after(402));
    const std::vector<session_event> events = test.ledger.take_events();
    REQUIRE(events.size() == 1);
    CHECK(events[0].event.kind() == fleet::task_done);
    CHECK(events[0].event.run_ms() == 0);
    CHECK(test.ledger.slowness(after(402)) == 1);
}

TEST_CASE("run time and slowness are measured when the end of a run is reported without delay")
{
    started_ledger test;
    test.ledger.on_report(report_with_active(10), after(3), after(100));
    test.ledger.on_report(report_with_end(1, run_end_kind::done), after(101), after(200));
    const std::vector<session_event> events = test.ledger.take_events();
    REQUIRE(events.size() == 1);
    CHECK(events[0].event.run_ms() == 200);
    CHECK(test.ledger.slowness(after(200)) > 1);
}
