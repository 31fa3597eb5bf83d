#include "ledger_fixture.h"

#include "carobfall/entry/claim_store.h"

#include <doctest/doctest.h>

using namespace carobfall;

// Guards against a second start of a task after a resubmission or a repeated message.
TEST_CASE("the reply to a request for a known task is its recorded state")
{
    ledger_fixture f;
    CHECK(f.start(0, 2).state() == rpc::task_state_queued);
    CHECK(f.start(0, 2).state() == rpc::task_state_queued);
    CHECK(f.start(0, 1).attempt() == 2);
    CHECK(f.ledger.load().queued() == 1);

    REQUIRE(f.ledger.take_startable(f.now));
    CHECK(f.start(0, 2).state() == rpc::task_state_started);
    CHECK(f.start(0, 3).state() == rpc::task_state_started);
    REQUIRE(f.ledger.finish(f.key(0), 2, f.result_of(3), f.now));
    const rpc::task_status finished = f.start(0, 3);
    CHECK(finished.state() == rpc::task_state_finished);
    CHECK(finished.result().body() == "xxx");
    CHECK_FALSE(f.ledger.take_startable(f.now));
}

// Guards against a delayed duplicate of a refused start that runs after `not_run` was reported.
TEST_CASE("a refused attempt stays refused when the reason no longer applies")
{
    ledger_fixture f;
    f.set_data_centre_out(true);
    CHECK(f.start(0, 1).reason() == rpc::refusal_data_centre_out);
    f.set_data_centre_out(false);
    const rpc::task_status duplicate = f.start(0, 1);
    CHECK(duplicate.state() == rpc::task_state_refused);
    CHECK(duplicate.reason() == rpc::refusal_data_centre_out);
    CHECK(f.start(0, 2).state() == rpc::task_state_queued);
}

// Guards against a start that is overtaken by its revoke on the network and runs afterwards.
TEST_CASE("a revoke without a record prevents a start that arrives later")
{
    ledger_fixture f;
    CHECK(f.revoke(0, 3).state() == rpc::task_state_revoked);
    CHECK(f.start(0, 3).state() == rpc::task_state_revoked);
    CHECK(f.start(0, 2).state() == rpc::task_state_revoked);
    CHECK(f.start(0, 4).state() == rpc::task_state_queued);
}

// Guards against `not_run` for a task that runs, and against a late revoke that affects a newer
// attempt.
TEST_CASE("a revoke changes neither started tasks nor higher attempts")
{
    ledger_fixture f;
    f.start(0, 2);
    CHECK(f.revoke(0, 1).state() == rpc::task_state_queued);
    REQUIRE(f.ledger.take_startable(f.now));
    CHECK(f.revoke(0, 2).state() == rpc::task_state_started);
    f.start(1, 1);
    CHECK(f.revoke(1, 1).state() == rpc::task_state_revoked);
    CHECK(f.ledger.load().queued() == 0);
    CHECK_FALSE(f.ledger.take_startable(f.now));
}

// Guards against the start of a lower attempt that was delayed on the network while a higher one
// was revoked.
TEST_CASE("a revoke also applies to all lower attempts")
{
    ledger_fixture f;
    f.set_data_centre_out(true);
    f.start(0, 1);
    f.set_data_centre_out(false);
    f.revoke(0, 5);
    CHECK(f.start(0, 3).state() == rpc::task_state_revoked);
}

// Guards against starts by a coordinator whose view has been superseded.
TEST_CASE("requests of an older view are refused after a fence")
{
    ledger_fixture f;
    f.start(0, 1);
    const rpc::fence_reply fenced = f.fence(5);
    CHECK(fenced.view_number() == 5);
    REQUIRE(fenced.records_size() == 1);
    CHECK(fenced.records(0).state() == rpc::task_state_queued);

    CHECK(f.start(1, 1).reason() == rpc::refusal_stale_view);
    CHECK(f.revoke(0, 1).state() == rpc::task_state_queued);
    CHECK(f.fence(4).view_number() == 5);
    f.view = 5;
    CHECK(f.revoke(0, 1).state() == rpc::task_state_revoked);
}

// Guards against a reply on behalf of an earlier incarnation, whose records are lost.
TEST_CASE("requests for another incarnation leave no record")
{
    ledger_fixture f;
    rpc::start_request request = f.request(0, 1);
    request.set_agent_incarnation("agent-0");
    request.set_view_number(9);
    const rpc::start_reply reply = f.ledger.start(request, f.now);
    CHECK(reply.tasks(0).reason() == rpc::refusal_stale_view);
    CHECK(reply.view_number() == 0);
    CHECK(f.ledger.statistics().records == 0);
}

// Guards against starts after the lease has expired during a pause of the process.
TEST_CASE("no task starts if the lease expires before or after the task is taken from the queue")
{
    ledger_fixture f;
    f.start(0);
    const absl::Time sent = f.now;
    f.now += absl::Seconds(3);
    CHECK_FALSE(f.ledger.take_startable(f.now));
    CHECK(f.start(1).reason() == rpc::refusal_no_lease);
    CHECK_FALSE(f.renew_sent_at(sent));
    CHECK_FALSE(f.ledger.take_startable(f.now));

    f.renew();
    const std::optional<startable_task> task = f.ledger.take_startable(f.now);
    REQUIRE(task);
    f.now += absl::Seconds(3);
    CHECK_FALSE(f.ledger.confirm_start(*task, f.now));
    CHECK(f.ledger.load().queued() == 1);
    f.renew();
    const std::optional<startable_task> again = f.ledger.take_startable(f.now);
    REQUIRE(again);
    CHECK(again->payload == "{}");
    CHECK(f.ledger.confirm_start(*again, f.now));
}

// Guards against tasks that remain queued at an agent where they can no longer start.
TEST_CASE("queued tasks that can't start any more are refused")
{
    ledger_fixture f;
    f.start(0);
    rpc::refusal_reason expected = rpc::refusal_none;
    SUBCASE("deadline passed")
    {
        f.now = from_unix_ms(f.deadline_ms());
        expected = rpc::refusal_deadline;
    }
    SUBCASE("agent leaving")
    {
        f.ledger.begin_leaving();
        expected = rpc::refusal_leaving;
    }
    SUBCASE("data centre out")
    {
        f.set_data_centre_out(true);
        expected = rpc::refusal_data_centre_out;
    }
    SUBCASE("backend server gone")
    {
        f.ledger.remove_backend();
        expected = rpc::refusal_backend_unavailable;
    }
    SUBCASE("announcement expired")
    {
        f.ledger.announce_backend(2, f.now);
        expected = rpc::refusal_backend_unavailable;
    }
    CHECK_FALSE(f.ledger.take_startable(f.now));
    const std::vector<pending_report> reports = f.ledger.sweep(f.now);
    REQUIRE(reports.size() == 1);
    CHECK(reports[0].coordinator.address() == "127.0.0.1:1");
    const auto report = f.ledger.report_of(reports[0].key, reports[0].attempt);
    REQUIRE(report);
    CHECK(report->status().state() == rpc::task_state_refused);
    CHECK(report->status().reason() == expected);
    CHECK(f.start(1).reason() == expected);
    CHECK(f.ledger.sweep(f.now).empty());
}

// Guards against a queue with more tasks than can run before their deadlines.
TEST_CASE("a task is refused if the queue is full or its deadline can't be met")
{
    ledger_fixture f(2);
    for (std::uint32_t i = 0; i < 6; ++i) {
        CHECK(f.start(i).state() == rpc::task_state_queued);
    }
    CHECK(f.start(6).reason() == rpc::refusal_queue_full);

    // A task that finishes after 30 s sets the expected run time to 30 s. With five tasks queued on
    // two slots, a new task would finish after 90 s, but its deadline is in 30 s.
    const std::optional<startable_task> task = f.ledger.take_startable(f.now);
    REQUIRE(task);
    f.now += absl::Seconds(30);
    f.renew();
    f.ledger.finish(task->key, 1, f.result_of(1), f.now);
    CHECK(f.start(7).reason() == rpc::refusal_deadline);
}

// Guards against more concurrent tasks than the backend server has slots.
TEST_CASE("the number of running tasks is limited to the slots")
{
    ledger_fixture f(2);
    f.start(0);
    f.start(1);
    f.start(2);
    REQUIRE(f.ledger.take_startable(f.now));
    REQUIRE(f.ledger.take_startable(f.now));
    CHECK_FALSE(f.ledger.take_startable(f.now));
    f.ledger.finish(f.key(0), 1, f.result_of(1), f.now);
    CHECK(f.ledger.take_startable(f.now));
}

// Guards against a task that is lost, or run again by a duplicate, when the backend server is
// unreachable.
TEST_CASE("a task that could not be sent is refused, and a higher attempt is accepted")
{
    ledger_fixture f;
    f.start(0, 1);
    REQUIRE(f.ledger.take_startable(f.now));
    REQUIRE(f.ledger.refuse_unsent(f.key(0), 1, rpc::refusal_backend_unavailable, f.now));
    CHECK(f.ledger.load().running() == 0);
    CHECK(f.start(0, 1).state() == rpc::task_state_refused);
    CHECK(f.start(0, 2).state() == rpc::task_state_queued);
}

// Guards against a report to the former coordinator after another entry has taken over.
TEST_CASE("a repeated start in the current view redirects the report to its sender")
{
    ledger_fixture f;
    f.start(0, 1);
    REQUIRE(f.ledger.take_startable(f.now));
    f.view = 2;
    rpc::start_request request = f.request(0, 1);
    request.mutable_coordinator()->set_address("127.0.0.1:2");
    f.ledger.start(request, f.now);
    f.view = 1;
    f.start(0, 1);
    const auto report = f.ledger.finish(f.key(0), 1, f.result_of(1), f.now);
    REQUIRE(report);
    CHECK(report->coordinator.address() == "127.0.0.1:2");
}

// Guards against unlimited growth of memory, and against starts without a record.
TEST_CASE("the number of records and the bytes of results are limited")
{
    ledger_options options = ledger_fixture::default_options();
    options.max_records = 2;
    options.max_result_bytes = 3000;
    ledger_fixture f(8, options);
    for (std::uint32_t i = 0; i < 2; ++i) {
        f.start(i);
        REQUIRE(f.ledger.take_startable(f.now));
        f.ledger.finish(f.key(i), 1, f.result_of(2000), f.now);
    }
    CHECK(f.ledger.statistics().result_bytes <= 3000);
    CHECK(f.start(0).state() == rpc::task_state_finished);
    CHECK_FALSE(f.start(0).result().success());
    CHECK(f.start(1).result().body().size() == 2000);

    CHECK(f.start(2).reason() == rpc::refusal_ledger_full);
    CHECK(f.start(3).state() == rpc::task_state_refused);
    CHECK(f.start(4).state() == rpc::task_state_unknown);
    CHECK(f.revoke(4, 1).state() == rpc::task_state_unknown);
    CHECK(f.ledger.statistics().records == 4);
}

// Guards against records that are dropped while a resubmission may still arrive, and against
// records that are never dropped.
TEST_CASE("records are kept until their deadline and retention have passed")
{
    ledger_fixture f;
    f.start(0);
    REQUIRE(f.ledger.take_startable(f.now));
    f.start(1);
    const absl::Time expiry = from_unix_ms(f.deadline_ms()) + record_retention;
    CHECK(f.ledger.expire(expiry - absl::Milliseconds(1)) == 0);
    CHECK(f.ledger.sweep(expiry).size() == 1);
    // A task that is still running keeps its record.
    CHECK(f.ledger.expire(expiry) == 0);
    f.ledger.finish(f.key(0), 1, f.result_of(1), expiry);
    CHECK(f.ledger.expire(expiry) == 2);
    CHECK(f.ledger.statistics().result_bytes == 0);
    // A coordinator that was paused must not conclude from the missing record that the task did not
    // run.
    CHECK(f.revoke(0, 1).state() == rpc::task_state_unknown);
    CHECK(f.start(0).reason() == rpc::refusal_deadline);
}

// Guards against a queue length that includes tasks whose records have expired.
TEST_CASE("a queued task is removed from the queue before its record expires")
{
    ledger_fixture f;
    f.start(0);
    f.now = from_unix_ms(f.deadline_ms()) + record_retention;
    CHECK(f.ledger.expire(f.now) == 1);
    CHECK(f.ledger.load().queued() == 0);
    CHECK(f.ledger.sweep(f.now).size() == 1);
}
