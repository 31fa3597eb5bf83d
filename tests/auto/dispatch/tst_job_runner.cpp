#include "fakes.h"

#include "carobfall/entry/rendezvous.h"

#include <doctest/doctest.h>

#include <atomic>
#include <future>

using namespace carobfall;
using namespace carobfall::testing;

namespace {

const submission_key key{"dambi", "s1"};

int count_outcomes(const rpc::submission_answer& answer, rpc::task_outcome outcome)
{
    int count = 0;
    for (const rpc::task_answer& task : answer.tasks()) {
        count += task.outcome() == outcome ? 1 : 0;
    }
    return count;
}

std::future<rpc::submission_answer> submit_async(dispatch_fixture& fixture,
                                                 const rpc::submission_request& request)
{
    fixture.service();
    return std::async(std::launch::async,
                      [&fixture, request] { return fixture.submit(request).value(); });
}

} // namespace

// Guards against answers with missing or reordered results.
TEST_CASE("the answer has all results in order")
{
    dispatch_fixture fixture;
    fixture.add_agent("a1");
    fixture.add_agent("a2");
    const rpc::submission_answer answer = fixture.submit(fixture.request(40)).value();
    REQUIRE(answer.state() == rpc::submission_complete);
    CHECK(answer.error_kind().empty());
    for (int i = 0; i < 40; ++i) {
        CHECK(answer.tasks(i).result().body() == absl::StrCat("r", i));
    }
    CHECK(fixture.agent("a1")->starts() + fixture.agent("a2")->starts() == 40);
}

// Guards against a job that finds a free slot only when it polls the agents next.
TEST_CASE("a job that waits for a slot is woken when one becomes free")
{
    dispatch_fixture fixture;
    fixture.settings.grant_retry_pause = absl::Seconds(5);
    fixture.settings.event_wait_timeout = absl::Seconds(5);
    fixture.settings.queue_per_slot = 0;
    fake_agent& agent = fixture.add_agent("a1", agent_mode::hold, 1);
    auto first = submit_async(fixture, fixture.request(1, absl::Seconds(10)));
    REQUIRE(fixture.wait_for_open(1));
    auto second = submit_async(fixture, fixture.request(1, absl::Seconds(10), "s2"));
    absl::SleepFor(absl::Milliseconds(50));
    CHECK(agent.starts() == 1);
    agent.set_mode(agent_mode::run);
    const absl::Time freed = monotonic_now();
    agent.finish(key, 0);
    CHECK(second.get().state() == rpc::submission_complete);
    CHECK(monotonic_now() - freed < absl::Seconds(2));
    CHECK(first.get().state() == rpc::submission_complete);
}

// Guards against storing or returning results that exceed the template's maximum size.
TEST_CASE("a result longer than the template allows fails the job, and its body is dropped")
{
    dispatch_fixture fixture;
    fixture.source.change_template([](dispatch_template& edited) { edited.max_result_bytes = 2; });
    fixture.add_agent("a1");
    CHECK(fixture.submit(fixture.request(10)).value().state() == rpc::submission_complete);
    const rpc::submission_answer answer =
        fixture.submit(fixture.request(11, absl::Seconds(2), "s2")).value();
    CHECK(answer.state() == rpc::submission_failed);
    CHECK(answer.error_kind() == "payload_too_large");
    CHECK(answer.tasks(10).outcome() == rpc::outcome_ran);
    CHECK(answer.tasks(10).result().body().empty());
    CHECK_FALSE(answer.tasks(10).result().success());
    // The backend server has run the task, so it must get no backoff.
    CHECK(fixture.submit(fixture.request(10, absl::Seconds(2), "s3")).value().state() ==
          rpc::submission_complete);
}

// Guards against a second start of tasks after the reply to the first one was lost.
TEST_CASE("a lost reply to a start is followed by a revoke and not by another start")
{
    dispatch_fixture fixture;
    fake_agent& lossy = fixture.add_agent("a1", agent_mode::lose_reply);
    auto pending = submit_async(fixture, fixture.request(2));
    REQUIRE(fixture.wait_for_open(2));
    fake_agent& other = fixture.add_agent("a2");
    absl::SleepFor(absl::Milliseconds(60));
    lossy.finish(key, 0);
    lossy.finish(key, 1, false);
    const rpc::submission_answer answer = pending.get();
    CHECK(answer.state() == rpc::submission_complete);
    CHECK(other.starts() == 0);
    CHECK(lossy.starts() == 2);
}

// Guards against tasks that are not retried although they were certainly never started.
TEST_CASE("a task whose start did not arrive is placed again once its tombstone is stored")
{
    dispatch_fixture fixture;
    fake_agent& lossy = fixture.add_agent("a1", agent_mode::lose_start);
    auto pending = submit_async(fixture, fixture.request(1));
    absl::SleepFor(absl::Milliseconds(30));
    lossy.set_mode(agent_mode::run);
    const rpc::submission_answer answer = pending.get();
    CHECK(answer.state() == rpc::submission_complete);
    CHECK(lossy.starts() == 1);
    CHECK(lossy.record(key, 0).attempt() > 1);
}

// Guards against `not_run` for a task whose agent does not reply.
TEST_CASE("a task has the outcome may_have_run if its agent replies to neither start nor revoke")
{
    dispatch_fixture fixture;
    fake_agent& lossy = fixture.add_agent("a1", agent_mode::lose_start);
    lossy.refuse_revokes = true;
    const rpc::submission_request request = fixture.request(2, absl::Milliseconds(300));
    const rpc::submission_answer answer = fixture.submit(request).value();
    CHECK(monotonic_now() <= from_unix_ms(request.deadline_unix_ms()));
    CHECK(answer.state() == rpc::submission_failed);
    CHECK(answer.error_kind() == "deadline_exceeded");
    CHECK(count_outcomes(answer, rpc::outcome_may_have_run) == 2);
}

// Guards against a retry at the agent that has just refused the task.
TEST_CASE("refused tasks are placed on another agent with a higher attempt number")
{
    dispatch_fixture fixture;
    fixture.add_agent("a1", agent_mode::refuse);
    fake_agent& other = fixture.add_agent("a2");
    const rpc::submission_answer answer = fixture.submit(fixture.request(12)).value();
    CHECK(answer.state() == rpc::submission_complete);
    CHECK(other.starts() == 12);
}

// Guards against placement based on the last heartbeat after other entries have filled the agent.
TEST_CASE("the load in the reply to a start replaces the load of the last heartbeat")
{
    dispatch_fixture fixture;
    fixture.add_agent("a1").queued_in_reply = 5;
    REQUIRE(fixture.submit(fixture.request(1)));
    CHECK(fixture.registry.agents().front().load.queued() == 5);
}

// Guards against tasks that no agent runs after a leaving agent has returned them.
TEST_CASE("a task that an agent returns from its queue is placed again")
{
    dispatch_fixture fixture;
    fake_agent& leaving = fixture.add_agent("a1", agent_mode::queue);
    auto pending = submit_async(fixture, fixture.request(1));
    REQUIRE(fixture.wait_for_open(1));
    fake_agent& other = fixture.add_agent("a2");
    rpc::beat_request beat;
    *beat.mutable_agent() = ref_of(leaving.registered());
    beat.set_leaving(true);
    fixture.registry.on_beat(beat, monotonic_now());
    rpc::task_status refused;
    refused.set_attempt(1);
    refused.set_state(rpc::task_state_refused);
    refused.set_reason(rpc::refusal_leaving);
    leaving.report(key, refused);
    CHECK(pending.get().state() == rpc::submission_complete);
    CHECK(other.starts() == 1);
}

// Guards against results that are counted for another task, attempt or submission.
TEST_CASE("duplicate reports and those of other attempts, tasks or submissions have no effect")
{
    dispatch_fixture fixture;
    fake_agent& agent = fixture.add_agent("a1", agent_mode::hold);
    auto pending = submit_async(fixture, fixture.request(2));
    REQUIRE(fixture.wait_for_open(2));
    rpc::task_status forged;
    forged.set_state(rpc::task_state_finished);
    forged.mutable_result()->set_success(true);
    forged.mutable_result()->set_body("forged");
    forged.set_attempt(2);
    agent.report(key, forged);
    forged.set_attempt(1);
    forged.set_index(77);
    agent.report(key, forged);
    forged.set_index(0);
    agent.report({"dambi", "other"}, forged);
    agent.finish(key, 0);
    agent.report(key, forged);
    CHECK(fixture.wait_for_open(1));
    agent.finish(key, 1);
    const rpc::submission_answer answer = pending.get();
    CHECK(answer.state() == rpc::submission_complete);
    CHECK(answer.tasks(0).result().body() == "r0");
}

// Guards against an answer that changes after it was returned.
TEST_CASE("a report after the deadline has no effect")
{
    dispatch_fixture fixture;
    fake_agent& agent = fixture.add_agent("a1", agent_mode::hold);
    const rpc::submission_request request = fixture.request(1, absl::Milliseconds(200));
    const rpc::submission_answer first = fixture.submit(request).value();
    CHECK(first.state() == rpc::submission_failed);
    CHECK(count_outcomes(first, rpc::outcome_may_have_run) == 1);
    agent.finish(key, 0);
    CHECK(fixture.submit(request).value().SerializeAsString() == first.SerializeAsString());
}

// Guards against a finished job that fails because a report was lost.
TEST_CASE("a result whose report was lost is fetched before the deadline")
{
    dispatch_fixture fixture;
    fake_agent& agent = fixture.add_agent("a1", agent_mode::hold);
    auto pending = submit_async(fixture, fixture.request(1, absl::Milliseconds(400)));
    REQUIRE(fixture.wait_for_open(1));
    agent.finish(key, 0, false);
    CHECK(pending.get().state() == rpc::submission_complete);
}

TEST_CASE("queued tasks are revoked at the deadline and reported as not run")
{
    dispatch_fixture fixture;
    fake_agent& agent = fixture.add_agent("a1", agent_mode::queue);
    const rpc::submission_answer answer =
        fixture.submit(fixture.request(3, absl::Milliseconds(200))).value();
    CHECK(answer.error_kind() == "deadline_exceeded");
    CHECK(count_outcomes(answer, rpc::outcome_not_run) == 3);
    CHECK(agent.record(key, 2).state() == rpc::task_state_revoked);
}

TEST_CASE("a failed task fails the job, and the queued tasks don't run")
{
    dispatch_fixture fixture;
    fake_agent& agent = fixture.add_agent("a1", agent_mode::queue);
    auto pending = submit_async(fixture, fixture.request(3));
    REQUIRE(fixture.wait_for_open(3));
    agent.finish(key, 1, true, false);
    const rpc::submission_answer answer = pending.get();
    CHECK(answer.error_kind() == "task_failed");
    CHECK(answer.tasks(1).outcome() == rpc::outcome_ran);
    CHECK(count_outcomes(answer, rpc::outcome_not_run) == 2);
}

// Guards against a start without a second copy of the claim.
TEST_CASE("no task starts while the witness does not acknowledge the claim")
{
    dispatch_fixture fixture;
    fake_agent& agent = fixture.add_agent("a1");
    fake_entry& witness = fixture.add_witness();
    const std::string id = fixture.id_owned_by("e1");
    SUBCASE("the witness is in another view")
    {
        witness.on_claim = [](const auto&) { return rpc::claim_reply{}; };
    }
    SUBCASE("the witness can't be reached")
    {
        witness.on_claim = nullptr;
    }
    const rpc::submission_answer answer =
        fixture.submit(fixture.request(2, absl::Milliseconds(200), id)).value();
    CHECK(answer.error_kind() == "unavailable");
    CHECK(count_outcomes(answer, rpc::outcome_not_run) == 2);
    CHECK(agent.starts() == 0);
    // Without a claim the refusal must not be recorded: another entry may run the submission
    // meanwhile.
    CHECK_FALSE(fixture.claims.find({"dambi", id}));
}

// Guards against a refusal with not_run that is recorded only here. A later owner would have no
// record of the refusal and could run the submission.
TEST_CASE("a refusal is recorded together with a claim")
{
    dispatch_fixture fixture;
    fixture.add_agent("a1", agent_mode::hold, 1);
    auto running = submit_async(fixture, fixture.request(2, absl::Seconds(1)));
    REQUIRE(fixture.wait_for_open(2));
    auto waiting = submit_async(fixture, fixture.request(1, absl::Seconds(10), "waits"));
    const submission_key other{"dambi", "waits"};
    while (!fixture.service().cancel(other, monotonic_now())) {
        absl::SleepFor(absl::Milliseconds(1));
    }
    CHECK(waiting.get().error_kind() == "cancelled");
    const std::optional<rpc::claim> claim = fixture.claims.find(other);
    REQUIRE(claim);
    CHECK(claim->answered());
    CHECK(claim->planned_agents().empty());
    fixture.agent("a1")->finish(key, 0);
    fixture.agent("a1")->finish(key, 1);
    CHECK(running.get().state() == rpc::submission_complete);
}

// Guards against a job that is blocked by a witness which has left the view.
TEST_CASE("a job with an unreachable witness runs once a new view requires no witness")
{
    dispatch_fixture fixture;
    fake_agent& agent = fixture.add_agent("a1");
    fixture.add_witness().on_claim = nullptr;
    const std::string id = fixture.id_owned_by("e1");
    auto pending = submit_async(fixture, fixture.request(2, absl::Seconds(2), id));
    absl::SleepFor(absl::Milliseconds(30));
    CHECK(agent.starts() == 0);
    fixture.owner.set_view(3, {entry_named("e1")});
    CHECK(pending.get().state() == rpc::submission_complete);
    CHECK(agent.last_view() == 3);
}

// Guards against three faults: the owner in the next view can't find the claim, a refusal with
// not_run is recorded here while that owner runs the submission, or the claim is not removed.
TEST_CASE("a job without a held claim is forwarded to the new owner of its key")
{
    dispatch_fixture fixture;
    fake_agent& agent = fixture.add_agent("a1");
    fixture.owner.set_view(1, {entry_named("e1"), entry_named("e3")});
    fixture.entries["e3"] = std::make_shared<fake_entry>();
    const std::string id = [&] {
        rpc::entry_view next;
        *next.add_members() = entry_named("e2");
        *next.add_members() = entry_named("e1");
        for (int i = 0;; ++i) {
            const submission_key candidate{"dambi", absl::StrCat("s", i)};
            if (coordinator_of(fixture.owner.snapshot().view, candidate)->name() == "e1" &&
                coordinator_of(next, candidate)->name() == "e2") {
                return candidate.submission_id;
            }
        }
    }();
    auto pending = submit_async(fixture, fixture.request(2, absl::Seconds(2), id));
    while (!fixture.claims.find({"dambi", id})) {
        absl::SleepFor(absl::Milliseconds(1));
    }
    rpc::submission_request polling = fixture.request(2, absl::Seconds(2), id);
    polling.set_wait(false);
    CHECK(fixture.submit(polling).value().state() == rpc::submission_running);
    std::atomic<int> forwarded{0};
    auto owner = std::make_shared<fake_entry>();
    owner->on_forward = [&](const rpc::forward_request& request) {
        ++forwarded;
        CHECK(request.submission().wait());
        CHECK_FALSE(fixture.claims.find({"dambi", id}));
        rpc::forward_reply reply;
        reply.mutable_answer()->set_state(rpc::submission_complete);
        return reply;
    };
    fixture.entries["e2"] = owner;
    fixture.owner.set_view(2, {entry_named("e1"), entry_named("e2", "guro")});
    CHECK(pending.get().state() == rpc::submission_complete);
    CHECK(forwarded == 1);
    CHECK(fixture.submit(fixture.request(2, absl::Seconds(2), id)).value().state() ==
          rpc::submission_complete);
    CHECK(forwarded == 2);
    CHECK(agent.starts() == 0);
}

// Guards against starts in a view that a majority may already have left.
TEST_CASE("no task starts while ownership is in transition")
{
    dispatch_fixture fixture;
    fake_agent& agent = fixture.add_agent("a1", agent_mode::refuse);
    auto pending = submit_async(fixture, fixture.request(1));
    while (agent.record(key, 0).state() != rpc::task_state_refused) {
        absl::SleepFor(absl::Milliseconds(1));
    }
    fixture.owner.change([](ownership_snapshot& snapshot) { snapshot.in_transition = true; });
    absl::SleepFor(absl::Milliseconds(20));
    agent.set_mode(agent_mode::run);
    absl::SleepFor(absl::Milliseconds(100));
    CHECK(agent.starts() == 0);
    fixture.owner.set_view(2, {entry_named("e1")});
    CHECK(pending.get().state() == rpc::submission_complete);
    CHECK(agent.last_view() == 2);
}

// Guards against starts by an entry that has been removed from the view.
TEST_CASE("an entry outside the view starts no more tasks and reports the outcomes that it knows")
{
    dispatch_fixture fixture;
    fake_agent& agent = fixture.add_agent("a1", agent_mode::hold, 1);
    auto pending = submit_async(fixture, fixture.request(3, absl::Milliseconds(600)));
    REQUIRE(fixture.wait_for_open(2));
    fixture.owner.set_view(2, {entry_named("e2")});
    agent.finish(key, 0);
    agent.finish(key, 1);
    const rpc::submission_answer answer = pending.get();
    CHECK(count_outcomes(answer, rpc::outcome_ran) == 2);
    CHECK(count_outcomes(answer, rpc::outcome_not_run) == 1);
    CHECK(agent.starts() == 2);
}

// Guards against starts at an agent that a successor would not query.
TEST_CASE("the claim is extended at the witness before another agent is used")
{
    dispatch_fixture fixture;
    fake_agent& first = fixture.add_agent("a1", agent_mode::refuse);
    fake_entry& witness = fixture.add_witness();
    std::mutex mutex;
    int starts_before_extension = -1;
    witness.on_claim = [&](const rpc::claim_request& request) {
        const std::lock_guard lock(mutex);
        for (const rpc::agent_ref& agent : request.claim().planned_agents()) {
            if (agent.name() == "a2" && starts_before_extension < 0) {
                starts_before_extension = fixture.agent("a2")->starts();
            }
        }
        rpc::claim_reply reply;
        reply.set_accepted(true);
        return reply;
    };
    const std::string id = fixture.id_owned_by("e1");
    auto pending = submit_async(fixture, fixture.request(2, absl::Seconds(2), id));
    while (first.record({"dambi", id}, 0).state() != rpc::task_state_refused) {
        absl::SleepFor(absl::Milliseconds(1));
    }
    fixture.add_agent("a2");
    CHECK(pending.get().state() == rpc::submission_complete);
    CHECK(starts_before_extension == 0);
    CHECK(fixture.claims.find({"dambi", id})->planned_agents_size() == 2);
}

TEST_CASE("a cancellation revokes the queued tasks and reports the results of the others")
{
    dispatch_fixture fixture;
    fake_agent& holding = fixture.add_agent("a1", agent_mode::hold, 1);
    auto pending = submit_async(fixture, fixture.request(3));
    REQUIRE(fixture.wait_for_open(2));
    CHECK(fixture.service().cancel(key, monotonic_now()).value().state() ==
          rpc::submission_running);
    absl::SleepFor(absl::Milliseconds(20));
    holding.finish(key, 0);
    holding.finish(key, 1);
    const rpc::submission_answer answer = pending.get();
    CHECK(answer.error_kind() == "cancelled");
    CHECK(count_outcomes(answer, rpc::outcome_ran) == 2);
    CHECK(count_outcomes(answer, rpc::outcome_not_run) == 1);
}

// Guards against waiting until the deadline for the results of a process that has ended.
TEST_CASE("tasks of a replaced agent may have run, and run again only if the template allows it")
{
    dispatch_fixture fixture;
    fixture.add_agent("a1", agent_mode::hold);
    bool rerun = false;
    SUBCASE("not declared") {}
    SUBCASE("declared")
    {
        rerun = true;
        fixture.source.change_template([](dispatch_template& declaration) {
            declaration.idempotent = true;
            declaration.rerun_lost = true;
        });
    }
    auto pending = submit_async(fixture, fixture.request(2, absl::Seconds(5)));
    REQUIRE(fixture.wait_for_open(2));
    fake_agent& other = fixture.add_agent("a2");
    rpc::register_request request;
    *request.mutable_agent() = agent_named("a1", "2", 8);
    fixture.agent("a1")->set_mode(agent_mode::unreachable);
    fixture.registry.on_register(request, monotonic_now());
    const rpc::submission_answer answer = pending.get();
    CHECK(answer.error_kind() == (rerun ? "" : "task_lost"));
    CHECK(count_outcomes(answer, rerun ? rpc::outcome_ran : rpc::outcome_may_have_run) == 2);
    CHECK(other.starts() == (rerun ? 2 : 0));
}

// Guards against starts in a data centre that operators have taken out.
TEST_CASE("no task is placed in a data centre out of service or without a fresh configuration")
{
    dispatch_fixture fixture;
    fake_agent& agent = fixture.add_agent("a1", agent_mode::refuse);
    auto pending = submit_async(fixture, fixture.request(1, absl::Milliseconds(400)));
    absl::SleepFor(absl::Milliseconds(20));
    SUBCASE("out")
    {
        fixture.source.change([](configuration& next) { next.data_centres_out.insert("mapo"); });
    }
    SUBCASE("not fresh")
    {
        fixture.source.set_fresh_for(absl::ZeroDuration());
    }
    absl::SleepFor(absl::Milliseconds(20));
    agent.set_mode(agent_mode::run);
    CHECK(count_outcomes(pending.get(), rpc::outcome_not_run) == 1);
    CHECK(agent.starts() == 0);
}
