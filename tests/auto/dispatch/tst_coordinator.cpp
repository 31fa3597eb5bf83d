#include "fakes.h"

#include "carobfall/entry/configuration_replica.h"

#include <doctest/doctest.h>

#include <thread>

#include <future>

using namespace carobfall;
using namespace carobfall::testing;

namespace {

error_kind error_of(const result<rpc::submission_answer>& answer)
{
    REQUIRE(!answer);
    CHECK(!answer.error().remedy.empty());
    return answer.error().kind;
}

rpc::forward_reply complete_reply()
{
    rpc::forward_reply reply;
    reply.mutable_answer()->set_state(rpc::submission_complete);
    return reply;
}

// Stores a claim that names the entry "e2" as coordinator.
void claim_for_other(dispatch_fixture& fixture, const rpc::submission_request& request)
{
    rpc::claim claim;
    *claim.mutable_submission() = request.key();
    claim.set_body_hash("h1");
    claim.set_deadline_unix_ms(request.deadline_unix_ms());
    *claim.mutable_coordinator() = entry_named("e2", "guro");
    fixture.claims.put(claim);
}

// Checks that the answer is a refusal with this error kind and that no task has run.
void check_refused(const result<rpc::submission_answer>& answer, std::string_view kind)
{
    REQUIRE(answer.has_value());
    CHECK(answer.value().state() == rpc::submission_failed);
    CHECK(answer.value().error_kind() == kind);
    for (const rpc::task_answer& task : answer.value().tasks()) {
        CHECK(task.outcome() == rpc::outcome_not_run);
    }
    CHECK(answer.value().tasks_size() > 0);
}

} // namespace

// Guards against a second run of a submission that a client resubmits.
TEST_CASE("a resubmission joins the running job and gets the recorded answer afterwards")
{
    dispatch_fixture fixture;
    fake_agent& agent = fixture.add_agent("a1", agent_mode::hold);
    fixture.service();
    rpc::submission_request request = fixture.request(1);
    auto first = std::async(std::launch::async, [&] { return fixture.submit(request).value(); });
    REQUIRE(fixture.wait_for_open(1));
    auto second = std::async(std::launch::async, [&] { return fixture.submit(request).value(); });
    rpc::submission_request polling = request;
    polling.set_wait(false);
    CHECK(fixture.submit(polling).value().state() == rpc::submission_running);
    agent.finish({"dambi", "s1"}, 0);
    CHECK(first.get().SerializeAsString() == second.get().SerializeAsString());
    CHECK(fixture.submit(request).value().state() == rpc::submission_complete);
    CHECK(fixture.service().status({"dambi", "s1"}, monotonic_now()).value().state() ==
          rpc::submission_complete);
    CHECK(agent.starts() == 1);
}

// Guards against the answer of one submission being returned for another.
TEST_CASE("a known id with another body is a conflict")
{
    dispatch_fixture fixture;
    fixture.add_agent("a1");
    rpc::submission_request request = fixture.request(1);
    REQUIRE(fixture.submit(request).has_value());
    request.set_body_hash("h2");
    CHECK(error_of(fixture.submit(request)) == error_kind::conflict);
}

// Guards against a second run of a submission whose answer has been dropped.
TEST_CASE("an answer that was dropped for its size is reported as expired")
{
    dispatch_fixture fixture;
    fixture.settings.max_recorded_answer_bytes = 10;
    fake_agent& agent = fixture.add_agent("a1");
    REQUIRE(fixture.submit(fixture.request(1)).has_value());
    CHECK(error_of(fixture.submit(fixture.request(1))) == error_kind::answer_expired);
    CHECK(agent.starts() == 1);
}

// Guards against `not_run` for tasks that an earlier submission may have run.
TEST_CASE("a late resubmission gets the recorded answer or an error without outcomes")
{
    dispatch_fixture fixture;
    fixture.add_agent("a1");
    rpc::submission_request request = fixture.request(1, absl::Milliseconds(100));
    REQUIRE(fixture.submit(request).value().state() == rpc::submission_complete);
    absl::SleepFor(absl::Milliseconds(110));
    CHECK(fixture.submit(request).value().state() == rpc::submission_complete);
    request.mutable_key()->set_submission_id("unknown");
    CHECK(error_of(fixture.submit(request)) == error_kind::deadline_exceeded);
}

// Guards against a second run by an entry that lacks the claims of an earlier view.
TEST_CASE("an unknown submission waits for earlier claims unless its deadline proves it new")
{
    dispatch_fixture fixture;
    fixture.add_agent("a1");
    fixture.source.change_template(
        [](dispatch_template& declaration) { declaration.max_deadline = max_deadline; });
    fixture.owner.change([](ownership_snapshot& snapshot) { snapshot.complete = false; });
    CHECK(error_of(fixture.submit(fixture.request(1))) == error_kind::recovering);
    CHECK(error_of(fixture.service().status({"dambi", "s1"}, monotonic_now())) ==
          error_kind::recovering);
    fixture.owner.change([](ownership_snapshot& snapshot) {
        snapshot.effective_since = monotonic_now() - absl::Seconds(30);
    });
    CHECK(error_of(fixture.submit(fixture.request(1))) == error_kind::recovering);
    const auto answer = fixture.submit(fixture.request(1, max_deadline - absl::Seconds(10)));
    CHECK(answer.value().state() == rpc::submission_complete);
}

// Guards against refusals for `max_deadline` after a view change although the account's templates
// have shorter deadlines. Also guards against a bound that may not have applied in an earlier view.
TEST_CASE("the deadline bound of the account determines which submissions are new")
{
    dispatch_fixture fixture;
    fixture.add_agent("a1");
    fixture.settings.region = "seoul";
    const auto set = [&](const char* account, absl::Duration bound, absl::Duration since_view) {
        fixture.source.change([&](configuration& next) {
            next.deadline_bounds = {{account, {bound, {}}}};
        });
        fixture.owner.change([&](ownership_snapshot& snapshot) {
            snapshot.complete = false;
            snapshot.effective_since = monotonic_now() - since_view;
        });
        return fixture.request(1, absl::Seconds(2),
                               absl::StrCat(account, absl::FormatDuration(since_view)));
    };
    const absl::Duration minute = absl::Seconds(60);
    CHECK(error_of(fixture.submit(set("ombili", minute, minute))) == error_kind::recovering);
    CHECK(error_of(fixture.submit(set("dambi", minute, minute - absl::Seconds(2)))) ==
          error_kind::recovering);
    CHECK(fixture.submit(set("dambi", minute, minute)).value().state() == rpc::submission_complete);

    // The configuration was confirmed before the view took effect, so other entries may have
    // accepted submissions under a longer bound.
    fixture.source.set_fresh_for(absl::Seconds(1));
    const auto request = set("dambi", absl::Milliseconds(1), absl::Milliseconds(500));
    CHECK(error_of(fixture.submit(request)) == error_kind::recovering);
    fixture.source.set_fresh_for(configuration_freshness);
    CHECK(fixture.submit(request).value().state() == rpc::submission_complete);
}

// Guards against refusals of valid requests during the transfer of claims after a view change.
TEST_CASE("an unknown submission waits until the records are complete, then runs")
{
    dispatch_fixture fixture;
    fixture.add_agent("a1");
    fixture.settings.completeness_wait = absl::Seconds(2);
    fixture.owner.change([](ownership_snapshot& snapshot) { snapshot.complete = false; });
    std::thread transfer([&fixture] {
        absl::SleepFor(absl::Milliseconds(100));
        fixture.owner.change([](ownership_snapshot& snapshot) { snapshot.complete = true; });
    });
    const auto answer = fixture.submit(fixture.request(1));
    transfer.join();
    CHECK(answer.value().state() == rpc::submission_complete);
}

TEST_CASE("a refusal before the claim is held reports not_run, and the id can be used again")
{
    dispatch_fixture fixture;
    fake_agent& agent = fixture.add_agent("a1");
    rpc::submission_request request = fixture.request(9);
    fake_configuration& source = fixture.source;
    using declaration = dispatch_template;
    const std::vector<std::pair<const char*, std::function<void()>>> cases{
        {"not_found", [&] { request.set_template_name("none"); }},
        {"invalid_request", [&] { request = fixture.request(9, absl::Minutes(2)); }},
        {"infeasible",
         [&] { source.change_template([](declaration& d) { d.requirements.accelerators = 1; }); }},
        {"infeasible",
         [&] { source.change_template([](declaration& d) { d.data_centres = {"guro"}; }); }},
        {"unavailable",
         [&] { source.change([](configuration& c) { c.data_centres_out.insert("mapo"); }); }},
        {"limit_exceeded",
         [&] {
             source.change([](configuration& c) { c.accounts["dambi"].limits.queued_tasks = 8; });
         }},
        // The estimate exceeds the deadline.
        {"overloaded",
         [&] {
             source.change_template(
                 [](declaration& d) { d.expected_run = absl::Milliseconds(1500); });
         }},
        {"stale_configuration", [&] { source.set_fresh_for(absl::ZeroDuration()); }},
        {"shutting_down", [&] { fixture.service().begin_shutdown(); }},
    };
    for (std::size_t i = 0; i < cases.size(); ++i) {
        SUBCASE(std::to_string(i).c_str())
        {
            cases[i].second();
            check_refused(fixture.submit(request), cases[i].first);
        }
    }
    CHECK(agent.starts() == 0);
    CHECK(fixture.service().running_jobs() == 0);
    CHECK(error_of(fixture.service().status({"dambi", "s1"}, monotonic_now())) ==
          error_kind::not_found);
}

// Guards against wrong refusals and missed deadlines due to an inaccurate declared run time.
TEST_CASE("admission uses the measured run time of 50 ms, whatever the template declares")
{
    dispatch_fixture fixture;
    fixture.add_agent("a1");
    const auto state_of = [&](int tasks, const char* id) {
        return fixture.submit(fixture.request(tasks, absl::Seconds(2), id)).value().state();
    };
    const auto declare = [&](absl::Duration run) {
        fixture.source.change_template([&](dispatch_template& d) { d.expected_run = run; });
    };
    declare(absl::Seconds(3));
    CHECK(state_of(9, "refused") == rpc::submission_failed);
    CHECK(state_of(8, "s1") == rpc::submission_complete);
    CHECK(state_of(8, "s2") == rpc::submission_complete);
    CHECK(state_of(9, "s3") == rpc::submission_complete);
    declare(absl::Milliseconds(1));
    CHECK(state_of(40, "s4") == rpc::submission_complete);
    check_refused(fixture.submit(fixture.request(400, absl::Seconds(2), "s5")), "overloaded");
}

TEST_CASE("a submission without wait gets its answer on resubmission")
{
    dispatch_fixture fixture;
    fixture.add_agent("a1");
    rpc::submission_request request = fixture.request(3);
    request.set_wait(false);
    CHECK(fixture.submit(request).value().state() == rpc::submission_running);
    request.set_wait(true);
    CHECK(fixture.submit(request).value().state() == rpc::submission_complete);
}

// Guards against the loss of the coordinator's answer or error on its way back to the caller.
TEST_CASE("a request goes in one hop to the coordinator of its key")
{
    dispatch_fixture fixture;
    fake_agent& agent = fixture.add_agent("a1");
    fake_entry& other = fixture.add_witness();
    const std::string id = fixture.id_owned_by("e2");
    rpc::submission_request request = fixture.request(1, absl::Milliseconds(300), id);
    int calls = 0;
    SUBCASE("answered")
    {
        other.on_forward = [&](const rpc::forward_request& forwarded) {
            ++calls;
            CHECK(forwarded.view_number() == 2);
            return complete_reply();
        };
        CHECK(fixture.submit(request).value().state() == rpc::submission_complete);
        CHECK(calls == 1);
    }
    SUBCASE("typed error")
    {
        other.on_forward = [&](const rpc::forward_request&) {
            rpc::forward_reply reply;
            reply.mutable_answer()->set_error_kind("conflict");
            reply.mutable_answer()->set_error_remedy("use another id");
            return reply;
        };
        CHECK(error_of(fixture.submit(request)) == error_kind::conflict);
    }
    SUBCASE("answer lost")
    {
        other.on_forward = [&](const rpc::forward_request&) -> result<rpc::forward_reply> {
            ++calls;
            return failure(error_kind::outcome_unknown, "lost", "ask");
        };
        CHECK(error_of(fixture.submit(request)) == error_kind::outcome_unknown);
        CHECK(calls == 1);
    }
    SUBCASE("unreachable until the deadline: the error has no task outcomes")
    {
        CHECK(error_of(fixture.submit(request)) == error_kind::unavailable);
    }
    SUBCASE("another view, then this entry becomes the owner")
    {
        other.on_forward = [&](const rpc::forward_request&) {
            fixture.owner.set_view(3, {entry_named("e1")});
            rpc::forward_reply reply;
            reply.set_wrong_view(true);
            return reply;
        };
        CHECK(fixture.submit(request).value().state() == rpc::submission_complete);
        CHECK(agent.starts() == 1);
    }
}

// Guards against a second run by an entry that doesn't own the key, and against loops of forwards.
TEST_CASE("forwarded requests are run by their coordinator only, and are not forwarded again")
{
    dispatch_fixture fixture;
    fake_agent& agent = fixture.add_agent("a1");
    fixture.add_witness();
    rpc::forward_request request;
    request.set_view_number(2);
    *request.mutable_submission() = fixture.request(1, absl::Seconds(2), fixture.id_owned_by("e2"));
    CHECK(fixture.service().submit_forwarded(request, monotonic_now()).wrong_view());
    *request.mutable_submission() = fixture.request(1, absl::Seconds(2), fixture.id_owned_by("e1"));
    request.set_view_number(1);
    CHECK(fixture.service().submit_forwarded(request, monotonic_now()).wrong_view());
    CHECK(agent.starts() == 0);
    request.set_view_number(2);
    CHECK(fixture.service().submit_forwarded(request, monotonic_now()).answer().state() ==
          rpc::submission_complete);
}

// Guards against a second run after a view change that moved the key away from a running job.
TEST_CASE("a submission claimed by another member is forwarded to that member")
{
    dispatch_fixture fixture;
    fake_agent& agent = fixture.add_agent("a1");
    fake_entry& other = fixture.add_witness();
    const std::string id = fixture.id_owned_by("e1");
    const rpc::submission_request request = fixture.request(1, absl::Seconds(2), id);
    claim_for_other(fixture, request);
    rpc::forward_reply reply = complete_reply();
    int starts = 0;
    SUBCASE("the member answers") {}
    // Guards against a submission that no entry runs: the member named in the claim never held it.
    SUBCASE("the member never held the claim")
    {
        reply.set_never_held(true);
        starts = 1;
    }
    other.on_forward = [&](const rpc::forward_request& directed) {
        CHECK(directed.coordinator_incarnation() == "e2-1");
        return reply;
    };
    CHECK(fixture.submit(request).value().state() == rpc::submission_complete);
    CHECK(agent.starts() == starts);
}

// Guards against a second run of a submission: an earlier process at this address may have run it,
// or its recorded answer may have been dropped here.
TEST_CASE("an entry reports never_held for its own incarnation only, within the retention period")
{
    dispatch_fixture fixture;
    rpc::forward_request directed;
    *directed.mutable_submission() = fixture.request(1);
    const auto never_held = [&](absl::Time now) {
        return fixture.service().submit_forwarded(directed, now).never_held();
    };
    const absl::Time now = monotonic_now();
    directed.set_coordinator_incarnation("e1-0");
    CHECK_FALSE(never_held(now));
    directed.set_coordinator_incarnation("e1-1");
    CHECK(never_held(now));
    CHECK_FALSE(never_held(now + absl::Seconds(5) + record_retention));
}

// Guards against status and cancel requests that are refused although the entry that runs the
// submission could answer, and against requests that entries forward in a loop.
TEST_CASE("the owner forwards status and cancel requests once, to the entry named in the claim")
{
    dispatch_fixture fixture;
    fake_entry& other = fixture.add_witness();
    const std::string id = fixture.id_owned_by("e1");
    const rpc::submission_request request = fixture.request(1, absl::Seconds(2), id);
    claim_for_other(fixture, request);
    int forwarded_requests = 0;
    const auto answer = [&](const auto& forwarded) -> result<rpc::submission_answer> {
        ++forwarded_requests;
        CHECK(forwarded.passed_on());
        CHECK(forwarded.key().submission_id() == id);
        return failure(error_kind::answer_expired, "expired", "ask sooner");
    };
    other.on_status = answer;
    other.on_cancel = answer;
    rpc::status_request status;
    *status.mutable_key() = request.key();
    rpc::cancel_request cancel;
    *cancel.mutable_key() = request.key();
    const submission_key key{"dambi", id};
    coordinator& service = fixture.service();
    const absl::Time now = monotonic_now();
    CHECK(error_of(service.status_forwarded(status, now)) == error_kind::answer_expired);
    CHECK(error_of(service.cancel_forwarded(cancel, now)) == error_kind::answer_expired);
    CHECK(error_of(service.status(key, now)) == error_kind::answer_expired);
    CHECK(error_of(service.cancel(key, now)) == error_kind::answer_expired);
    CHECK(forwarded_requests == 4);
    status.set_passed_on(true);
    cancel.set_passed_on(true);
    CHECK(error_of(service.status_forwarded(status, now)) == error_kind::recovering);
    CHECK(error_of(service.cancel_forwarded(cancel, now)) == error_kind::recovering);
    CHECK(forwarded_requests == 4);
}

// Guards against a successor that treats an answered submission as unanswered.
TEST_CASE("the witness is notified of a failed answer before the caller, of others in one batch")
{
    dispatch_fixture fixture;
    fake_agent& agent = fixture.add_agent("a1");
    std::vector<rpc::answered_note> notes;
    int messages = 0;
    fixture.add_witness().on_claim = [&](const rpc::claim_request& request) {
        messages += request.has_claim() ? 0 : 1;
        notes.insert(notes.end(), request.answered().begin(), request.answered().end());
        rpc::claim_reply reply;
        reply.set_accepted(true);
        return reply;
    };
    const auto submit = [&](int first) {
        std::string id = fixture.id_owned_by("e1", first);
        REQUIRE(fixture.submit(fixture.request(1, absl::Seconds(2), id)).has_value());
        return id;
    };
    submit(0);
    submit(100);
    CHECK(notes.empty());
    fixture.service().deliver_notifications(monotonic_now());
    fixture.service().deliver_notifications(monotonic_now());
    CHECK(messages == 1);
    REQUIRE(notes.size() == 2);
    CHECK(notes[0].complete());
    agent.task_succeeds = false;
    const std::string failed = submit(200);
    CHECK(messages == 2);
    REQUIRE(notes.size() == 3);
    CHECK(notes[2].submission().submission_id() == failed);
    CHECK_FALSE(notes[2].complete());
}
