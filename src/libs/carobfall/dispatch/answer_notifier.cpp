#include "carobfall/dispatch/answer_notifier.h"

#include "carobfall/base/clock.h"
#include "carobfall/entry/claim_store.h"
#include "carobfall/entry/rendezvous.h"
#include "carobfall/entry/view_rules.h"

#include <iterator>
#include <map>

namespace carobfall {

void answer_notifier::enqueue(const rpc::claim& answered)
{
    rpc::claim queued = answered;
    queued.clear_planned_agents();
    const std::lock_guard lock(mutex_);
    queued_.push_back(std::move(queued));
}

void answer_notifier::notify_now(const rpc::claim& answered, absl::Duration timeout)
{
    const ownership_snapshot snapshot = owner_.snapshot();
    const rpc::entry_member* witness =
        witness_of(snapshot.view, from_message(answered.submission()), answered.coordinator());
    if (witness != nullptr && !send(*witness, {answered}, timeout)) {
        enqueue(answered);
    }
}

void answer_notifier::deliver(absl::Time now)
{
    std::vector<rpc::claim> queued;
    {
        const std::lock_guard lock(mutex_);
        queued.swap(queued_);
    }
    if (queued.empty()) {
        return;
    }
    const ownership_snapshot snapshot = owner_.snapshot();
    std::map<std::string, std::pair<const rpc::entry_member*, std::vector<rpc::claim>>> batches;
    for (rpc::claim& answered : queued) {
        const rpc::entry_member* witness =
            witness_of(snapshot.view, from_message(answered.submission()), answered.coordinator());
        const bool expired = from_unix_ms(answered.deadline_unix_ms()) + record_retention < now;
        if (witness != nullptr && !expired) {
            auto& batch = batches[member_id(*witness)];
            batch.first = witness;
            batch.second.push_back(std::move(answered));
        }
    }
    for (auto& [id, batch] : batches) {
        if (!send(*batch.first, batch.second, timeout_)) {
            const std::lock_guard lock(mutex_);
            std::move(batch.second.begin(), batch.second.end(), std::back_inserter(queued_));
        }
    }
}

bool answer_notifier::send(const rpc::entry_member& witness,
                           const std::vector<rpc::claim>& answered, absl::Duration timeout) const
{
    rpc::claim_request request;
    for (const rpc::claim& claim : answered) {
        rpc::answered_note* note = request.add_answered();
        *note->mutable_submission() = claim.submission();
        note->set_complete(claim.answered_complete());
    }
    const auto reply = entries_(witness)->claim_submission(request, timeout);
    return reply && reply.value().accepted();
}

} // namespace carobfall
