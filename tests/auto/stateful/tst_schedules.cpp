#include "schedules.h"

#include <doctest/doctest.h>

using namespace carobfall::stateful;

namespace {

void check_no_violation(const schedule_outcome& outcome, int starts)
{
    CHECK(outcome.reached);
    CHECK(outcome.violation == "");
    CHECK(outcome.starts == starts);
}

void check_violation_detected(const schedule_outcome& outcome)
{
    CHECK(outcome.reached);
    CHECK(outcome.violation != "");
    MESSAGE(outcome.violation);
}

} // namespace

// Guards against starts that a paused coordinator sends after its successor has taken over.
TEST_CASE("a coordinator that resumes after its successor took over starts nothing")
{
    silence_logs();
    check_no_violation(resumed_coordinator(rule_removed::none), 0);
}

// Guards against a submission that can never run because both holders of its claim were lost.
TEST_CASE("a resubmitted submission runs once after both holders of its claim were lost")
{
    silence_logs();
    check_no_violation(lost_acknowledgement(rule_removed::none), 1);
}

// Guards against a start of a dead coordinator that reaches an agent after the fence.
TEST_CASE("a delayed start of a dead coordinator is refused")
{
    silence_logs();
    check_no_violation(start_of_dead_coordinator(rule_removed::none), 1);
    check_violation_detected(start_of_dead_coordinator(rule_removed::view_check));
}

// Guards against a start that arrives after its revoke was confirmed.
TEST_CASE("an agent refuses a start that arrives after the task was revoked")
{
    silence_logs();
    check_no_violation(start_after_revoke(rule_removed::none), 1);
    check_violation_detected(start_after_revoke(rule_removed::tombstones));
}

// Guards against a restarted entry that treats a submission as new although it has run.
TEST_CASE("restarted entries don't start a submission that agents have already run")
{
    silence_logs();
    check_no_violation(restarted_entries(rule_removed::none), 1);
    check_violation_detected(restarted_entries(rule_removed::completeness));
}

// Guards against a deadline bound that is lowered together with the deadlines: a submission that
// was accepted under the earlier deadlines can still be resubmitted.
TEST_CASE("after lowered deadlines and a restart of all entries a submission doesn't run again")
{
    silence_logs();
    for (const bool in_outage : {false, true}) {
        check_no_violation(lowered_deadline(rule_removed::none, in_outage), 1);
        check_violation_detected(lowered_deadline(rule_removed::bound, in_outage));
    }
}

// Guards against a successor that doesn't hold the claim of a dead coordinator.
TEST_CASE("the successor of a dead coordinator doesn't start its submissions again")
{
    silence_logs();
    check_no_violation(dead_coordinator(rule_removed::none), 1);
    check_violation_detected(dead_coordinator(rule_removed::witness));
}

// Guards against agent records that remain only at the entry that fenced the agents.
TEST_CASE("an entry that joins after the loss of all entries doesn't start a submission again")
{
    silence_logs();
    check_no_violation(lost_region(rule_removed::none), 1);
    check_violation_detected(lost_region(rule_removed::records));
}

// Guards against queued tasks that start when a paused agent resumes in a data centre that is out.
TEST_CASE("an agent that resumes starts nothing before it has renewed its lease")
{
    silence_logs();
    check_no_violation(paused_agent(rule_removed::none), 1);
    check_violation_detected(paused_agent(rule_removed::lease));
}

// Guards against entries that still place tasks on a backend server that is leaving.
TEST_CASE("a backend server that has left gets no tasks")
{
    silence_logs();
    check_no_violation(left_backend_server(rule_removed::none), 0);
    check_violation_detected(left_backend_server(rule_removed::leaving));
}

// Guards against a request that gets the answer of another body under the same id.
TEST_CASE("a second body under the same submission id is refused as a conflict")
{
    silence_logs();
    check_no_violation(other_body(rule_removed::none), 1);
    check_violation_detected(other_body(rule_removed::body_hash));
}

// Guards against a change that is reported as accepted although only one entry holds it.
TEST_CASE("a configuration change isn't accepted before a majority of entries holds it")
{
    silence_logs();
    CHECK(change_at_isolated_entry(rule_removed::none).violation == "");
    check_violation_detected(change_at_isolated_entry(rule_removed::versions));
}

// Guards against two faults: the former owner of the key refuses the submission with not_run, and
// the new owner then runs it; or the claim refers the new owner to an answer that doesn't exist.
TEST_CASE("a submission whose owner changed before its claim was held runs once at the new owner")
{
    silence_logs();
    check_no_violation(moved_ownership(false), 1);
    check_no_violation(moved_ownership(true), 1);
}

// Guards against a start that was in transit while the data centre was taken out.
TEST_CASE("a delayed start is refused in a data centre that is out")
{
    silence_logs();
    check_no_violation(start_in_data_centre_out(rule_removed::none), 1);
    check_violation_detected(start_in_data_centre_out(rule_removed::out_list));
}

// Guards against a second run of a task that may have run, for a template that forbids it.
TEST_CASE("a task whose agent was replaced doesn't run again")
{
    silence_logs();
    check_no_violation(replaced_agent(rule_removed::none), 1);
    check_violation_detected(replaced_agent(rule_removed::rerun));
}

// Guards against an entry that resumes after a pause, does not know yet that it was removed from
// the view, and refuses with not_run a submission that another entry has run.
TEST_CASE("a superseded entry doesn't report not_run for a task that ran")
{
    silence_logs();
    simulated_region region;
    REQUIRE(region.begin());
    region.pause_entry(0, true);
    region.run(40);
    region.pause_entry(0, false);
    const auto request = region.request_for(14, 0);
    region.submit(2, request);
    region.run(3);
    region.submit(0, request);
    CHECK(region.violation() == "");
}
