#include "carobfall/dispatch/coordinator.h"

#include "carobfall/base/log_fields.h"
#include "carobfall/dispatch/admission.h"
#include "carobfall/dispatch/answer_builder.h"
#include "carobfall/dispatch/attempt_accounting.h"
#include "carobfall/dispatch/job_runner.h"
#include "carobfall/dispatch/takeover.h"
#include "carobfall/entry/configuration_replica.h"
#include "carobfall/entry/rendezvous.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace carobfall {
namespace {

// View number in a request forwarded to the coordinator that a claim names, even if rendezvous
// hashing selects another entry. The receiver answers from its records and starts no tasks.
constexpr std::uint64_t claim_directed_view = 0;

// Minimum timeout of a call to another entry, for requests whose deadline is near or past.
constexpr absl::Duration min_forward_timeout = absl::Milliseconds(300);

// Clock skew between entries that `is_new_in_view` allows for.
constexpr absl::Duration clock_tolerance = absl::Seconds(1);

result<rpc::submission_answer> deadline_passed()
{
    return failure(
        error_kind::deadline_exceeded, "the deadline has passed",
        "this entry has no record of an earlier submission with this id; submit under a new "
        "id with a later deadline if the tasks may run again");
}

absl::Duration remaining_time(absl::Time deadline, absl::Time now)
{
    return std::max(deadline - now, min_forward_timeout);
}

// Converts the reply to a forward. Sets `may_retry` if the call had no effect and may be repeated.
result<rpc::submission_answer> read_reply(const rpc::entry_member& target,
                                          result<rpc::forward_reply> reply, bool& may_retry)
{
    if (!reply && reply.error().kind == error_kind::unavailable) {
        may_retry = true;
        return failure(error_kind::unavailable,
                       absl::StrCat("entry ", target.name(), " can't be reached"),
                       "submit again in a moment with the same id");
    }
    if (!reply) {
        return failure(error_kind::outcome_unknown,
                       absl::StrCat("the answer of entry ", target.name(), " was lost"),
                       "submit again with the same id; nothing runs twice");
    }
    if (reply.value().wrong_view()) {
        may_retry = true;
        return recovering(absl::StrCat("entry ", target.name(), " is in another view"));
    }
    return decode_error(std::move(*reply.value().mutable_answer()));
}

} // namespace

coordinator::coordinator(dispatch_dependencies dependencies, const dispatch_settings& settings)
    : context_(std::move(dependencies), settings),
      queries_(context_),
      started_at_(context_.now()),
      run_pool_(std::make_unique<work_pool>(settings.run_threads, settings.run_queue)),
      takeover_(std::make_unique<takeover>(context_, *run_pool_))
{}

coordinator::~coordinator()
{
    // Joins the worker threads, which use the other members.
    run_pool_.reset();
}

coordinator::submission_result coordinator::submit(const rpc::submission_request& request,
                                                   absl::Time now)
{
    if (const auto known = context_.table.find(from_message(request.key()))) {
        return answer_known(*known, request);
    }
    const absl::Time deadline = from_unix_ms(request.deadline_unix_ms());
    if (deadline + record_retention < now) {
        return deadline_passed();
    }
    return route(request, now);
}

coordinator::submission_result coordinator::route(const rpc::submission_request& request,
                                                  absl::Time now)
{
    const absl::Time last_try =
        from_unix_ms(request.deadline_unix_ms()) - context_.settings.answer_reserve;
    for (;;) {
        const ownership_snapshot snapshot = context_.dependencies.owner->snapshot();
        const rpc::entry_member* owner = coordinator_of(snapshot.view, from_message(request.key()));
        submission_result answer = recovering("the entry has not received a view yet");
        bool may_retry = owner == nullptr || snapshot.in_transition;
        if (!may_retry && same_incarnation(*owner, context_.dependencies.owner->self())) {
            return submit_here(request, now);
        }
        if (!may_retry) {
            answer = forward(*owner, request, snapshot.view.number(), may_retry);
        } else if (owner != nullptr) {
            answer = recovering("the view of entries is changing");
        }
        now = context_.now();
        if (!may_retry || now >= last_try) {
            return answer;
        }
        context_.dependencies.owner->wait_for_change(snapshot.view.number(),
                                                     context_.settings.call_retry_pause);
    }
}

// Sets `may_retry` if the call had no effect and may be repeated.
coordinator::submission_result coordinator::forward(const rpc::entry_member& target,
                                                    const rpc::submission_request& request,
                                                    std::uint64_t view, bool& may_retry)
{
    rpc::forward_request message;
    message.set_view_number(view);
    *message.mutable_submission() = request;
    const absl::Duration timeout =
        remaining_time(from_unix_ms(request.deadline_unix_ms()), context_.now());
    return read_reply(target, context_.dependencies.entries(target)->forward(message, timeout),
                      may_retry);
}

// Forwards the request to the coordinator that the claim names. Returns no answer if that
// incarnation never held the claim.
std::optional<coordinator::submission_result>
coordinator::forward_to_claimant(const rpc::entry_member& claimant,
                                 const rpc::submission_request& request)
{
    rpc::forward_request message;
    message.set_view_number(claim_directed_view);
    message.set_coordinator_incarnation(claimant.incarnation());
    *message.mutable_submission() = request;
    const absl::Duration timeout =
        remaining_time(from_unix_ms(request.deadline_unix_ms()), context_.now());
    auto reply = context_.dependencies.entries(claimant)->forward(message, timeout);
    if (reply && reply.value().never_held()) {
        return std::nullopt;
    }
    bool may_retry = false;
    return read_reply(claimant, std::move(reply), may_retry);
}

rpc::forward_reply coordinator::submit_forwarded(const rpc::forward_request& request,
                                                 absl::Time now)
{
    const rpc::submission_request& submission = request.submission();
    const submission_key key = from_message(submission.key());
    const ownership_snapshot snapshot = context_.dependencies.owner->snapshot();
    rpc::forward_reply reply;
    reply.set_view_number(snapshot.view.number());
    const auto reply_with = [&](submission_result answer) {
        *reply.mutable_answer() =
            answer ? std::move(answer.value()) : encode_error(key, answer.error());
        return reply;
    };
    if (const auto known = context_.table.find(key)) {
        return reply_with(answer_known(*known, submission));
    }
    if (request.view_number() == claim_directed_view) {
        // For its retention period, the table keeps every job whose claim was held. It holds no
        // jobs of an earlier incarnation at this address.
        const bool is_addressee =
            request.coordinator_incarnation() == context_.dependencies.owner->self().incarnation();
        if (!is_addressee || from_unix_ms(submission.deadline_unix_ms()) + record_retention < now) {
            return reply_with(expired_answer_error());
        }
        reply.set_never_held(true);
        return reply;
    }
    const rpc::entry_member* owner = coordinator_of(snapshot.view, key);
    if (!snapshot.usable() || request.view_number() != snapshot.view.number() ||
        !same_incarnation(*owner, context_.dependencies.owner->self())) {
        reply.set_wrong_view(true);
        return reply;
    }
    return reply_with(submit_here(submission, now));
}

coordinator::submission_result coordinator::submit_here(const rpc::submission_request& request,
                                                        absl::Time now)
{
    const submission_key key = from_message(request.key());
    const absl::Time deadline = from_unix_ms(request.deadline_unix_ms());
    const ownership_snapshot snapshot = wait_for_completeness(request, now);
    now = context_.now();
    if (const auto claim = context_.dependencies.claims->find(key)) {
        if (auto answer = submit_claimed(*claim, request, now)) {
            return *answer;
        }
        LOG(INFO) << log_fields("claim_withdrawn").add("submission", to_string(key));
        context_.dependencies.claims->withdraw(*claim);
        // The view or the claim may have changed during the call to the claimant.
        return route(request, context_.now());
    }
    if (deadline <= now) {
        return deadline_passed();
    }
    if (!snapshot.complete && !is_new_in_view(snapshot, request, now)) {
        return recovering("the records of the last view are still being collected");
    }
    return start_new(request, now);
}

// Waits for the claims of the previous view, which usually arrive within a few round trips. Thus a
// submission that arrives during a view change is delayed rather than refused.
ownership_snapshot coordinator::wait_for_completeness(const rpc::submission_request& request,
                                                      absl::Time now) const
{
    const absl::Time deadline = from_unix_ms(request.deadline_unix_ms());
    const absl::Time last_time = std::min(deadline - context_.settings.answer_reserve,
                                          now + context_.settings.completeness_wait);
    ownership_snapshot snapshot = context_.dependencies.owner->snapshot();
    const std::uint64_t view = snapshot.view.number();
    while (!snapshot.complete && !is_new_in_view(snapshot, request, context_.now()) &&
           snapshot.view.number() == view && context_.now() < last_time) {
        context_.dependencies.owner->wait_for_change(view, context_.settings.call_retry_pause);
        snapshot = context_.dependencies.owner->snapshot();
    }
    return snapshot;
}

// Returns true if no earlier view can have accepted the request: even when the current view took
// effect, the request's time to deadline exceeded the allowed maximum. The maximum is the account's
// deadline bound if the configuration was confirmed after the current view took effect, because the
// bound then covers all templates used in earlier views. Otherwise it is `max_deadline`.
bool coordinator::is_new_in_view(const ownership_snapshot& snapshot,
                                 const rpc::submission_request& request, absl::Time now) const
{
    const configuration_source& source = *context_.dependencies.configuration;
    // Must be read before `current`, which is then at least as new as the confirmed version.
    const absl::Duration fresh = source.fresh_for(now);
    const bool confirmed = fresh > absl::ZeroDuration() &&
                           now + fresh - configuration_freshness >= snapshot.effective_since;
    const absl::Duration bound =
        confirmed ? source.current()->longest_time_to_deadline(request.key().client_account(),
                                                               context_.settings.region, now)
                  : max_deadline;
    return from_unix_ms(request.deadline_unix_ms()) - bound >
           snapshot.effective_since + clock_tolerance;
}

// Answers a submission for which a claim is stored here. Returns no answer if the coordinator named
// in the claim never held the claim and has lost the ownership since then. In this case, no task
// was started under the claim.
std::optional<coordinator::submission_result>
coordinator::submit_claimed(const rpc::claim& claim, const rpc::submission_request& request,
                            absl::Time now)
{
    const submission_key key = from_message(request.key());
    if (is_from_records(claim)) {
        return answer_from_records(claim, static_cast<std::uint32_t>(request.tasks_size()));
    }
    if (claim.body_hash() != request.body_hash()) {
        return failure(error_kind::conflict, "the id was used with another body",
                       "submit the changed body under a new id");
    }
    const ownership_snapshot snapshot = context_.dependencies.owner->snapshot();
    if (!same_incarnation(claim.coordinator(), context_.dependencies.owner->self())) {
        if (const auto* claimant = find_member(snapshot.view, claim.coordinator())) {
            return forward_to_claimant(*claimant, request);
        }
        if (!takeover_->adopt(claim)) {
            return recovering("too many submissions are being taken over");
        }
    }
    const auto known = context_.table.find(key);
    if (known) {
        return answer_known(*known, request);
    }
    const bool is_own = same_incarnation(claim.coordinator(), context_.dependencies.owner->self());
    if (is_own && claim.view_number() < snapshot.view.number()) {
        return std::nullopt;
    }
    return from_unix_ms(claim.deadline_unix_ms()) <= now
               ? deadline_passed()
               : recovering("the submission is being recorded");
}

// Repeats the admission while its result may change. Agents need up to a heartbeat interval to
// register with an entry that has just joined. Until then, the entry can't distinguish a missing
// backend server from one that has not registered yet.
result<job_plan> coordinator::admit(const std::shared_ptr<job>& opened,
                                    const rpc::submission_request& request, absl::Time now)
{
    const absl::Time last_time = std::min(opened->deadline() - context_.settings.answer_reserve,
                                          now + context_.settings.agent_wait);
    for (;;) {
        result<job_plan> plan = admission(context_).admit(opened, request, now);
        const bool may_change = !plan && (plan.error().kind == error_kind::unavailable ||
                                          (plan.error().kind == error_kind::infeasible &&
                                           now < started_at_ + context_.settings.agent_wait));
        if (!may_change || now >= last_time || shutting_down_) {
            return plan;
        }
        absl::SleepFor(context_.settings.call_retry_pause);
        now = context_.now();
    }
}

coordinator::submission_result coordinator::start_new(const rpc::submission_request& request,
                                                      absl::Time now)
{
    const auto opened = std::make_shared<job>(from_message(request.key()), request.body_hash(),
                                              from_unix_ms(request.deadline_unix_ms()),
                                              static_cast<std::uint32_t>(request.tasks_size()));
    if (const auto known = context_.table.open(opened)) {
        return answer_known(*known, request);
    }
    const auto refuse = [&](const error& reason) {
        submission_result answer = unconfirmed_view();
        if (is_confirmed(*context_.dependencies.owner, opened->key(), context_.now())) {
            answer = answer_not_run(opened->key(), opened->task_count(), reason);
        }
        context_.table.discard(opened, answer);
        return answer;
    };
    if (shutting_down_) {
        return refuse({error_kind::shutting_down, "the entry is leaving",
                       "submit again; another entry takes it"});
    }
    result<job_plan> plan = admit(opened, request, now);
    if (!plan) {
        return refuse(plan.error());
    }
    if (request.wait()) {
        run_job(plan.value());
        return wait_for(*opened, request);
    }
    const bool posted = run_pool_->post([this, plan = plan.value()] { run_job(plan); });
    if (!posted) {
        context_.limits.drop_queued(opened->key().client_account, opened->task_count());
        return refuse({error_kind::overloaded, "too many submissions are running",
                       "submit again in a moment"});
    }
    return answer_running(*opened);
}

// Runs the job, or forwards it to its new owner. Sets `wait` in the forwarded request, because
// callers that joined the job may wait for its answer even if the first caller doesn't.
void coordinator::run_job(const job_plan& plan)
{
    if (job_runner(context_, plan).run()) {
        return;
    }
    // A cancelled job isn't forwarded, because the forwarded request can't carry the cancellation.
    if (plan.running->cancel_requested()) {
        return context_.table.finish_removed(plan.running, unconfirmed_view());
    }
    rpc::submission_request moved = plan.request;
    moved.set_wait(true);
    LOG(INFO) << log_fields("submission_moved").add("submission", to_string(plan.running->key()));
    context_.table.finish_removed(plan.running, route(moved, context_.now()));
}

coordinator::submission_result coordinator::answer_known(const submission_table::entry& known,
                                                         const rpc::submission_request& request)
{
    if (known.body_hash != request.body_hash()) {
        return failure(error_kind::conflict, "the id was used with another body",
                       "submit the changed body under a new id");
    }
    if (const auto* running = std::get_if<std::shared_ptr<job>>(&known.state)) {
        return request.wait() ? wait_for(**running, request) : answer_running(**running);
    }
    if (const auto* answer = std::get_if<submission_table::answer_ptr>(&known.state)) {
        return **answer;
    }
    return expired_answer_error();
}

coordinator::submission_result coordinator::wait_for(job& running,
                                                     const rpc::submission_request& request)
{
    absl::Time now = context_.now();
    const absl::Time end = now + remaining_time(running.deadline(), now);
    for (; now < end; now = context_.now()) {
        if (auto answer = running.wait_for_answer(
                std::min(context_.settings.answer_wait_timeout, end - now))) {
            return *answer;
        }
    }
    return failure(error_kind::outcome_unknown,
                   absl::StrCat("submission ", request.key().submission_id(),
                                " was not answered by its deadline"),
                   "query its status");
}

coordinator::submission_result coordinator::status(const submission_key& key, absl::Time now)
{
    return queries_.status(key, now);
}

coordinator::submission_result coordinator::cancel(const submission_key& key, absl::Time now)
{
    return queries_.cancel(key, now);
}

coordinator::submission_result coordinator::status_forwarded(const rpc::status_request& request,
                                                             absl::Time now)
{
    return queries_.status_forwarded(request, now);
}

coordinator::submission_result coordinator::cancel_forwarded(const rpc::cancel_request& request,
                                                             absl::Time now)
{
    return queries_.cancel_forwarded(request, now);
}

std::uint32_t coordinator::retry_now(const std::string& agent, absl::Time /*now*/)
{
    return context_.health.retry_now(agent);
}

void coordinator::on_report(const rpc::report_request& request, absl::Time now)
{
    attempt_accounting accounting(context_);
    for (const rpc::task_report& report : request.reports()) {
        const submission_key key = from_message(report.submission());
        if (const auto running = context_.table.find_job(key)) {
            accounting.closed(key, running->apply(report.status()), now);
        }
    }
}

void coordinator::on_view_in_effect(absl::Time now)
{
    takeover_->adopt_all(now);
}

void coordinator::expire(absl::Time now)
{
    context_.table.expire(now);
    context_.dependencies.claims->expire(now);
}

} // namespace carobfall
