#include "carobfall/dispatch/takeover.h"

#include "carobfall/base/log_fields.h"
#include "carobfall/dispatch/answer_builder.h"
#include "carobfall/entry/rendezvous.h"

#include <absl/time/clock.h>
#include <glog/logging.h>

#include <algorithm>
#include <limits>

namespace carobfall {
namespace {

// A revoke with this attempt covers every attempt that the former coordinator may have made.
constexpr std::uint32_t any_attempt = std::numeric_limits<std::uint32_t>::max();

// Minimum time between reads of the agent list from the table service, which sustains about
// 2,000 reads a second.
constexpr absl::Duration min_lookup_interval = absl::Seconds(1);

bool may_still_finish(const rpc::task_status& status)
{
    return status.state() == rpc::task_state_started || status.state() == rpc::task_state_queued;
}

bool has_tombstone(const rpc::task_status& status)
{
    return status.state() == rpc::task_state_refused || status.state() == rpc::task_state_revoked;
}

} // namespace

void takeover::adopt_all(absl::Time now)
{
    const ownership_snapshot snapshot = context_.dependencies.owner->snapshot();
    if (!snapshot.usable()) {
        return;
    }
    for (const rpc::claim& claim : context_.dependencies.claims->all()) {
        const rpc::entry_member* owner =
            coordinator_of(snapshot.view, from_message(claim.submission()));
        const bool orphaned = find_member(snapshot.view, claim.coordinator()) == nullptr;
        // A claim built from records names no agents and no task count: nothing can be collected.
        if (is_from_records(claim)) {
            continue;
        }
        const bool past = from_unix_ms(claim.deadline_unix_ms()) + record_retention < now;
        if (orphaned && !past && same_incarnation(*owner, context_.dependencies.owner->self()) &&
            !adopt(claim)) {
            LOG(WARNING) << log_fields("takeover_deferred")
                                .add("submission", to_string(from_message(claim.submission())));
        }
    }
}

bool takeover::adopt(const rpc::claim& claim)
{
    const auto adopted =
        std::make_shared<job>(from_message(claim.submission()), claim.body_hash(),
                              from_unix_ms(claim.deadline_unix_ms()), claim.task_count());
    if (context_.table.open(adopted)) {
        return true;
    }
    if (claim.answered() && !claim.answered_complete()) {
        context_.table.record_expired(adopted);
        return true;
    }
    if (!run_pool_.post([this, claim, adopted] { run(claim, adopted); })) {
        context_.table.discard(adopted, failure(error_kind::recovering,
                                                "too many submissions are being taken over",
                                                "submit again in a moment with the same id"));
        return false;
    }
    return true;
}

void takeover::run(const rpc::claim& claim, const std::shared_ptr<job>& adopted)
{
    claim_registration registration(context_, claim);
    const auto held = registration.hold({}, context_.settings.claim_call_timeout);
    if (!held) {
        // Not fatal: a successor of this entry still finds the claim of the former coordinator.
        LOG(WARNING) << log_fields("takeover_claim_not_held")
                            .add("submission", to_string(adopted->key()))
                            .add("error", to_string(held.error()));
    }
    outcome_collector collector(context_, claim);
    rpc::submission_answer answer = collector.run();
    // The owner of the key takes the submission over instead, because two entries that query the
    // agents at different times could build different answers.
    if (!registration.held_once() && !registration.owns_key()) {
        context_.table.discard(adopted, recovering("another entry takes the submission over"));
        return;
    }
    // An `answered_note` may have arrived after the claim was copied.
    const bool answered =
        context_.dependencies.claims->find(adopted->key()).value_or(claim).answered();
    if (answered && (answer.state() != rpc::submission_complete || !collector.is_conclusive())) {
        LOG(INFO)
            << log_fields("submission_answer_expired").add("submission", to_string(adopted->key()));
        context_.table.record_expired(adopted);
        return;
    }
    registration.set_answered(answer);
    LOG(INFO) << log_fields("submission_taken_over")
                     .add("submission", to_string(adopted->key()))
                     .add("state", rpc::submission_state_Name(answer.state()));
    context_.table.record(adopted, std::move(answer));
}

outcome_collector::outcome_collector(dispatch_context& context, const rpc::claim& claim)
    : context_(context),
      claim_(claim),
      key_(from_message(claim.submission())),
      end_time_(std::max(from_unix_ms(claim.deadline_unix_ms()) - context.settings.answer_reserve,
                         // Allows one round of queries even after the deadline.
                         context.now() + context.settings.revoke_call_timeout))
{
    for (const rpc::agent_ref& planned : claim.planned_agents()) {
        agents_.push_back({planned, nullptr, false, false, {}});
    }
}

rpc::submission_answer outcome_collector::run()
{
    for (;;) {
        find_addresses();
        context_.call_pool.for_each(agents_.size(), [&](std::size_t i) {
            if (needs_query(agents_[i])) {
                query(agents_[i]);
            }
        });
        if (is_settled() || context_.now() >= end_time_) {
            return answer();
        }
        absl::SleepFor(std::clamp(end_time_ - context_.now(), absl::ZeroDuration(),
                                  context_.settings.event_wait_timeout));
    }
}

void outcome_collector::find_addresses()
{
    const bool missing =
        std::any_of(agents_.begin(), agents_.end(), [](const planned_agent& agent) {
            return agent.info == nullptr && !agent.is_lost;
        });
    std::vector<agent_member> recorded;
    if (missing && context_.now() >= next_lookup_) {
        next_lookup_ = context_.now() + min_lookup_interval;
        const auto members = context_.dependencies.members->members(context_.now());
        recorded = members ? members.value() : recorded;
    }
    for (planned_agent& agent : agents_) {
        agent.is_lost = agent.is_lost || context_.dependencies.registry->is_lost(agent.ref);
        if (const auto state = context_.dependencies.registry->find(agent.ref)) {
            agent.info = state->info;
        }
        for (const agent_member& member : recorded) {
            if (member.info.name() == agent.ref.name() &&
                member.info.incarnation() == agent.ref.incarnation()) {
                agent.is_lost = agent.is_lost || member.lost;
                agent.info = std::make_shared<const rpc::agent_info>(member.info);
            }
        }
    }
}

bool outcome_collector::needs_query(const planned_agent& agent) const
{
    return !agent.is_lost && agent.info != nullptr &&
           (!agent.has_replied ||
            std::any_of(agent.tasks.begin(), agent.tasks.end(), may_still_finish));
}

void outcome_collector::query(planned_agent& agent)
{
    const auto channel = context_.dependencies.agents(*agent.info);
    const rpc::entry_view view = context_.dependencies.owner->snapshot().view;
    const absl::Duration timeout = std::clamp(end_time_ - context_.now(), absl::Milliseconds(1),
                                              context_.settings.revoke_call_timeout);
    if (!agent.has_replied) {
        rpc::fence_request fence;
        *fence.mutable_view() = view;
        // Without the fence, the agent could still accept a delayed start of the former
        // coordinator.
        const auto fenced = channel->fence(fence, timeout);
        if (!fenced || fenced.value().incarnation() != agent.ref.incarnation()) {
            return;
        }
    }
    rpc::revoke_request request;
    request.set_view_number(view.number());
    *request.mutable_submission() = claim_.submission();
    request.set_deadline_unix_ms(claim_.deadline_unix_ms());
    request.set_agent_incarnation(agent.ref.incarnation());
    for (std::uint32_t index = 0; index < claim_.task_count(); ++index) {
        rpc::task_attempt* task = request.add_tasks();
        task->set_index(index);
        task->set_attempt(any_attempt);
    }
    const auto reply = channel->revoke(request, timeout);
    if (reply) {
        agent.has_replied = true;
        agent.tasks.assign(reply.value().tasks().begin(), reply.value().tasks().end());
    }
}

bool outcome_collector::is_settled() const
{
    return std::none_of(agents_.begin(), agents_.end(), [&](const planned_agent& agent) {
        return !agent.is_lost && (agent.info == nullptr || needs_query(agent));
    });
}

bool outcome_collector::is_conclusive() const
{
    std::vector<char> finished(claim_.task_count(), 0);
    for (const planned_agent& agent : agents_) {
        if (!agent.has_replied) {
            return false;
        }
        for (const rpc::task_status& status : agent.tasks) {
            if (status.index() < finished.size() && status.state() == rpc::task_state_finished &&
                finished[status.index()]++ != 0) {
                return false;
            }
        }
    }
    return true;
}

rpc::submission_answer outcome_collector::answer() const
{
    const std::uint32_t count = claim_.task_count();
    std::vector<std::uint32_t> tombstones(count, 0);
    std::vector<char> finished(count, 0);
    answer_builder builder(key_, count);
    for (const planned_agent& agent : agents_) {
        for (const rpc::task_status& status : agent.tasks) {
            if (status.index() >= count) {
                continue;
            }
            tombstones[status.index()] += has_tombstone(status) ? 1 : 0;
            if (status.state() == rpc::task_state_finished && finished[status.index()] == 0) {
                finished[status.index()] = 1;
                builder.ran(status.index(), status.result(), agent.ref.name());
            }
        }
    }
    // These records come from agents that the claim doesn't name, because the extension of the
    // claim that named them was lost.
    for (const rpc::record_summary& record : claim_.records()) {
        const bool may_run =
            record.state() != rpc::task_state_refused && record.state() != rpc::task_state_revoked;
        if (may_run && record.index() < count) {
            tombstones[record.index()] = 0;
        }
    }
    for (std::uint32_t index = 0; index < count; ++index) {
        if (finished[index] == 0 && tombstones[index] < agents_.size()) {
            builder.outcome(index, rpc::outcome_may_have_run);
        }
    }
    return builder.build();
}

} // namespace carobfall
