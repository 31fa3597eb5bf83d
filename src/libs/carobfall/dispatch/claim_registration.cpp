#include "carobfall/dispatch/claim_registration.h"

#include "carobfall/entry/rendezvous.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace carobfall {
namespace {

error ownership_moved()
{
    return {error_kind::stale_view, "another entry owns the submission in the current view",
            "nothing was started; submit again with the same id"};
}

} // namespace

claim_registration::claim_registration(dispatch_context& context, rpc::claim claim)
    : context_(context), claim_(std::move(claim))
{
    *claim_.mutable_coordinator() = context_.dependencies.owner->self();
}

result<std::uint64_t> claim_registration::hold(const std::vector<rpc::agent_ref>& planned,
                                               absl::Duration timeout)
{
    const ownership_snapshot snapshot = context_.dependencies.owner->snapshot();
    const std::uint64_t view = snapshot.view.number();
    if (!snapshot.usable()) {
        return failure(error_kind::unavailable, "the view of entries is changing",
                       "submit again in a moment");
    }
    const rpc::entry_member* owner =
        coordinator_of(snapshot.view, from_message(claim_.submission()));
    if (!held_once_ && !same_incarnation(*owner, claim_.coordinator())) {
        return boost::outcome_v2::failure(ownership_moved());
    }
    if (!extend_plan(planned) && view_held_ == view) {
        return view;
    }
    view_held_ = 0;
    claim_.set_view_number(view);
    if (!context_.dependencies.claims->put(claim_)) {
        return failure(error_kind::unavailable, "another claim of the submission is held",
                       "submit again in a moment");
    }
    BOOST_OUTCOME_TRYV(register_at_witness(snapshot, timeout));
    // The claim is held only if it was stored before this entry transferred its claims to a later
    // view.
    const ownership_snapshot after = context_.dependencies.owner->snapshot();
    if (!after.usable() || after.view.number() != view) {
        return failure(error_kind::unavailable, "the view of entries changed during the claim",
                       "submit again in a moment");
    }
    held_once_ = true;
    view_held_ = view;
    return view;
}

void claim_registration::set_answered(const rpc::submission_answer& answer)
{
    claim_.set_answered(true);
    claim_.set_answered_complete(answer.state() == rpc::submission_complete);
    if (!context_.dependencies.claims->find(from_message(claim_.submission()))) {
        return;
    }
    context_.dependencies.claims->put(claim_);
    if (claim_.answered_complete() || !held_once_) {
        context_.notifier.enqueue(claim_);
        return;
    }
    const absl::Duration remaining = from_unix_ms(claim_.deadline_unix_ms()) - context_.now();
    context_.notifier.notify_now(claim_, std::clamp(remaining / 2, absl::Milliseconds(1),
                                                    context_.settings.claim_call_timeout));
}

void claim_registration::withdraw()
{
    context_.dependencies.claims->withdraw(claim_);
}

bool claim_registration::owns_key() const
{
    const rpc::entry_view view = context_.dependencies.owner->snapshot().view;
    const rpc::entry_member* owner = coordinator_of(view, from_message(claim_.submission()));
    return owner != nullptr && same_incarnation(*owner, claim_.coordinator());
}

bool claim_registration::extend_plan(const std::vector<rpc::agent_ref>& planned)
{
    bool extended = false;
    for (const rpc::agent_ref& agent : planned) {
        const bool known = std::any_of(
            claim_.planned_agents().begin(), claim_.planned_agents().end(),
            [&](const rpc::agent_ref& held) {
                return held.name() == agent.name() && held.incarnation() == agent.incarnation();
            });
        if (!known) {
            *claim_.add_planned_agents() = agent;
            extended = true;
        }
    }
    return extended;
}

result<void> claim_registration::register_at_witness(const ownership_snapshot& snapshot,
                                                     absl::Duration timeout)
{
    const rpc::entry_member* witness =
        witness_of(snapshot.view, from_message(claim_.submission()), claim_.coordinator());
    if (witness == nullptr) {
        return success();
    }
    rpc::claim_request request;
    request.set_view_number(snapshot.view.number());
    *request.mutable_claim() = claim_;
    const auto reply = context_.dependencies.entries(*witness)->claim_submission(request, timeout);
    if (!reply) {
        return failure(error_kind::unavailable,
                       absl::StrCat("entry ", witness->name(),
                                    " did not acknowledge the claim: ", reply.error().message),
                       "submit again in a moment; operators check that entry");
    }
    if (!reply.value().accepted()) {
        return failure(error_kind::unavailable,
                       absl::StrCat("entry ", witness->name(), " is in another view"),
                       "submit again in a moment");
    }
    return success();
}

} // namespace carobfall
