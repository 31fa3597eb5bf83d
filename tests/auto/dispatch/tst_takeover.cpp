#include "carobfall/entry/claim_acceptance.h"
#include "fakes.h"

#include <doctest/doctest.h>

using namespace carobfall;
using namespace carobfall::testing;

namespace {

const submission_key key{"dambi", "s1"};

// Entry "e1", which has become the owner of a claim whose coordinator, "e9", has left the view.
struct takeover_fixture : dispatch_fixture {
    rpc::submission_request submission;

    void claim(std::uint32_t tasks, absl::Duration ahead, const std::vector<std::string>& planned)
    {
        submission = request(static_cast<int>(tasks), ahead);
        rpc::claim held;
        *held.mutable_submission() = submission.key();
        held.set_body_hash("h1");
        held.set_deadline_unix_ms(submission.deadline_unix_ms());
        held.set_task_count(tasks);
        *held.mutable_coordinator() = entry_named("e9");
        for (const std::string& name : planned) {
            *held.add_planned_agents() = ref_of(agent_named(name));
        }
        claims.put(held);
    }

    // Applies the notification by which the former coordinator marked the claim as answered.
    void note_answered(bool complete)
    {
        rpc::claim_request note;
        *note.add_answered()->mutable_submission() = submission.key();
        note.mutable_answered(0)->set_complete(complete);
        CHECK(accept_claim(note, view_state(entry_named("e1")), claims).accepted());
    }

    result<rpc::submission_answer> try_take_over()
    {
        owner.set_view(2, {entry_named("e1")});
        service().on_view_in_effect(monotonic_now());
        auto answer = submit(submission);
        while (!answer && answer.error().kind == error_kind::outcome_unknown) {
            answer = submit(submission);
        }
        return answer;
    }
    rpc::submission_answer take_over() { return try_take_over().value(); }
};

} // namespace

TEST_CASE("a job whose tasks have all finished is complete after the takeover")
{
    takeover_fixture fixture;
    fixture.add_agent("a1", agent_mode::hold).finish(key, 0, false);
    fixture.add_agent("a2", agent_mode::hold).finish(key, 1, false);
    fixture.claim(2, absl::Seconds(2), {"a1", "a2"});
    const rpc::submission_answer answer = fixture.take_over();
    CHECK(answer.state() == rpc::submission_complete);
    CHECK(answer.tasks(1).result().body() == "r1");
    CHECK(fixture.claims.find(key)->coordinator().name() == "e1");
}

// Guards against a run of tasks that the former coordinator had not started.
TEST_CASE("a takeover stores tombstones for unstarted tasks and reports them as not_run")
{
    takeover_fixture fixture;
    fake_agent& agent = fixture.add_agent("a1");
    agent.finish(key, 0, false);
    fixture.claim(2, absl::Seconds(2), {"a1"});
    const rpc::submission_answer answer = fixture.take_over();
    CHECK(answer.error_kind() == "task_lost");
    CHECK(answer.tasks(0).outcome() == rpc::outcome_ran);
    CHECK(answer.tasks(1).outcome() == rpc::outcome_not_run);
    CHECK(agent.record(key, 1).state() == rpc::task_state_revoked);
    CHECK(agent.starts() == 0);
}

// Guards against `not_run` for tasks of an agent that was never queried.
TEST_CASE("tasks are reported as may_have_run if a planned agent is unreachable")
{
    takeover_fixture fixture;
    fixture.add_agent("a1").finish(key, 0, false);
    fixture.add_agent("a2", agent_mode::unreachable);
    fixture.claim(2, absl::Milliseconds(200), {"a1", "a2"});
    const rpc::submission_answer answer = fixture.take_over();
    CHECK(answer.tasks(0).outcome() == rpc::outcome_ran);
    CHECK(answer.tasks(1).outcome() == rpc::outcome_may_have_run);
}

// Guards against waiting until the deadline for an agent process that has ended.
TEST_CASE("a takeover doesn't wait for an incarnation that is recorded as lost")
{
    takeover_fixture fixture;
    fixture.membership.recorded.push_back({agent_named("a1"), true, monotonic_now()});
    fixture.claim(1, absl::Seconds(20), {"a1"});
    const absl::Time begin = monotonic_now();
    CHECK(fixture.take_over().tasks(0).outcome() == rpc::outcome_may_have_run);
    CHECK(monotonic_now() - begin < absl::Seconds(5));
}

// Guards against `may_have_run` for tasks whose results arrive before the deadline.
TEST_CASE("a takeover waits for the results of started tasks")
{
    takeover_fixture fixture;
    fake_agent& agent = fixture.add_agent("a1", agent_mode::hold);
    rpc::start_request start;
    *start.mutable_submission() = to_message(key);
    start.add_tasks()->set_attempt(1);
    REQUIRE(agent.start(start, absl::Seconds(1)).has_value());
    fixture.claim(1, absl::Seconds(2), {"a1"});
    fixture.owner.set_view(2, {entry_named("e1")});
    fixture.service().on_view_in_effect(monotonic_now());
    absl::SleepFor(absl::Milliseconds(30));
    CHECK(fixture.service().status(key, monotonic_now()).value().state() ==
          rpc::submission_running);
    agent.finish(key, 0, false);
    CHECK(fixture.submit(fixture.submission).value().state() == rpc::submission_complete);
}

// Guards against two entries that answer the same submission.
TEST_CASE("a claim whose coordinator is in the view is not taken over")
{
    takeover_fixture fixture;
    fixture.add_agent("a1");
    fixture.claim(1, absl::Seconds(2), {"a1"});
    fixture.owner.set_view(2, {entry_named("e1"), entry_named("e9")});
    fixture.service().on_view_in_effect(monotonic_now());
    CHECK(fixture.service().running_jobs() == 0);
}

// Guards against a second run of a submission that only agents have records of.
TEST_CASE("a submission that only agents have records of gets its answer from these records")
{
    takeover_fixture fixture;
    fake_agent& agent = fixture.add_agent("a1");
    const rpc::submission_request request = fixture.request(3);
    rpc::record_summary record;
    *record.mutable_submission() = request.key();
    record.set_index(1);
    record.set_state(rpc::task_state_finished);
    record.set_deadline_unix_ms(request.deadline_unix_ms());
    fixture.claims.add_record(record);
    fixture.service().on_view_in_effect(monotonic_now());
    CHECK(fixture.service().running_jobs() == 0);
    const rpc::submission_answer answer = fixture.submit(request).value();
    CHECK(answer.error_kind() == "task_lost");
    CHECK(answer.tasks(0).outcome() == rpc::outcome_may_have_run);
    CHECK(answer.tasks(1).outcome() == rpc::outcome_ran);
    CHECK(agent.starts() == 0);
}

// Guards against a second, different answer: the first may have had `cancelled` or `may_have_run`
// where the records now show another outcome.
TEST_CASE("a submission that was answered as failed gets answer_expired after the takeover")
{
    takeover_fixture fixture;
    fake_agent& agent = fixture.add_agent("a1");
    agent.finish(key, 0, false);
    fixture.claim(2, absl::Seconds(2), {"a1"});
    fixture.note_answered(false);
    for (const auto& answer :
         {fixture.try_take_over(), fixture.service().status(key, monotonic_now())}) {
        REQUIRE_FALSE(answer.has_value());
        CHECK(answer.error().kind == error_kind::answer_expired);
    }
    CHECK(agent.record(key, 1).state() == rpc::task_state_unknown);
    CHECK(agent.starts() == 0);
}

// Guards against a complete answer that is replaced by a failed or a different complete one.
TEST_CASE("a submission that was answered as complete gets the same answer or answer_expired")
{
    takeover_fixture fixture;
    fixture.add_agent("a1").finish(key, 0, false);
    fake_agent& second = fixture.add_agent("a2");
    bool same = false;
    SUBCASE("the records determine the answer")
    {
        same = true;
    }
    SUBCASE("a planned agent is unreachable")
    {
        second.set_mode(agent_mode::unreachable);
    }
    SUBCASE("a task ran twice")
    {
        second.finish(key, 0, false);
    }
    fixture.claim(1, absl::Milliseconds(400), {"a1", "a2"});
    fixture.note_answered(true);
    const auto answer = fixture.try_take_over();
    REQUIRE(answer.has_value() == same);
    if (same) {
        CHECK(answer.value().state() == rpc::submission_complete);
    } else {
        CHECK(answer.error().kind == error_kind::answer_expired);
    }
}
