#include "carobfall/entry/claim_transfer.h"

#include "carobfall/base/log_fields.h"
#include "carobfall/entry/agent_record.h"
#include "carobfall/entry/rendezvous.h"
#include "carobfall/entry/view_rules.h"

#include <absl/strings/str_cat.h>
#include <glog/logging.h>

#include <algorithm>
#include <atomic>

namespace carobfall {
namespace {

// A region can have 2,100 agents, so querying all of them is expensive. Calls to members are
// attempted this often first.
constexpr int fetch_attempts_before_recovery = 3;

// `served_views_` is cleared beyond this size, to drop replaced entries; only leaving uses it.
constexpr std::size_t max_served_entries = 1000;

std::string agent_id(const rpc::agent_info& agent)
{
    return absl::StrCat(agent.name(), "/", agent.incarnation());
}

// True if the entry is coordinator or witness of the claim, either by rendezvous order in the view,
// or because the claim names a coordinator that is a member.
bool is_holder(const rpc::entry_member& entry, const rpc::entry_view& view, const rpc::claim& claim)
{
    const submission_key key = from_message(claim.submission());
    const auto is_entry = [&](const rpc::entry_member* member) {
        return member != nullptr && same_incarnation(*member, entry);
    };
    if (is_entry(coordinator_of(view, key)) || is_entry(witness_of(view, key))) {
        return true;
    }
    return find_member(view, claim.coordinator()) != nullptr &&
           (is_entry(&claim.coordinator()) || is_entry(witness_of(view, key, claim.coordinator())));
}

} // namespace

claim_transfer::claim_transfer(claim_transfer_settings settings, view_state& views,
                               claim_store& claims, agent_membership& agents,
                               claim_transfer_hooks hooks)
    : settings_(settings), views_(views), claims_(claims), agents_(agents), hooks_(std::move(hooks))
{}

void claim_transfer::tick(absl::Time now)
{
    const ownership_snapshot snapshot = views_.snapshot();
    if (!snapshot.is_member || snapshot.complete) {
        return;
    }
    const rpc::view_proposal proposal = views_.effective();
    const std::uint64_t number = proposal.view().number();
    begin(proposal);
    fetch_missing(proposal);
    bool complete = is_covered(proposal, now) ||
                    now > snapshot.effective_since + max_deadline + record_retention;
    if (!complete) {
        int attempts = 0;
        {
            const absl::MutexLock lock(&mutex_);
            attempts = ++attempts_;
        }
        complete =
            attempts >= fetch_attempts_before_recovery && recover_from_agents(proposal.view(), now);
    }
    if (complete) {
        views_.set_complete(number);
        LOG(INFO) << log_fields("view_complete").add("number", number);
    }
}

void claim_transfer::begin(const rpc::view_proposal& proposal)
{
    const absl::MutexLock lock(&mutex_);
    if (transfer_view_number_ != proposal.view().number()) {
        transfer_view_number_ = proposal.view().number();
        attempts_ = 0;
        transferred_.clear();
        fenced_agents_.clear();
    }
}

void claim_transfer::fetch_missing(const rpc::view_proposal& proposal)
{
    rpc::fetch_claims_request request;
    request.set_view_number(proposal.view().number());
    *request.mutable_requester() = views_.self();
    rpc::view_proposal previous;
    *previous.mutable_history() = proposal.history();
    std::vector<std::function<void()>> calls;
    for (const rpc::entry_member& member : all_members(previous)) {
        if (has_transferred(member, false, 0)) {
            continue;
        }
        calls.emplace_back([this, member, &request, &proposal] {
            const auto reply =
                hooks_.entries(member)->fetch_claims(request, settings_.fetch_timeout);
            if (reply && reply.value().view_number() >= request.view_number()) {
                accept_claims(proposal, member, reply.value());
            }
        });
    }
    hooks_.run_parallel(calls);
}

void claim_transfer::accept_claims(const rpc::view_proposal& proposal,
                                   const rpc::entry_member& sender,
                                   const rpc::fetch_claims_reply& reply)
{
    for (const rpc::claim& claim : reply.claims()) {
        if (is_holder(views_.self(), proposal.view(), claim)) {
            claims_.merge(claim, proposal.view());
        }
    }
    const absl::MutexLock lock(&mutex_);
    if (transfer_view_number_ == proposal.view().number()) {
        transferred_[member_id(sender)] = reply.complete();
    }
}

bool claim_transfer::has_transferred(const rpc::entry_member& member, bool as_complete,
                                     std::uint64_t first_view_number) const
{
    if (same_incarnation(member, views_.self())) {
        return !as_complete || views_.was_complete_in(first_view_number);
    }
    const absl::MutexLock lock(&mutex_);
    const auto transferred = transferred_.find(member_id(member));
    return transferred != transferred_.end() && (transferred->second || !as_complete);
}

// A missing member that is still in the view may not have received the new view yet. It may report
// its submissions as not run until its confirmation of the earlier view expires.
bool claim_transfer::may_act_in_earlier_view(const rpc::entry_member& missing, absl::Time now) const
{
    const ownership_snapshot snapshot = views_.snapshot();
    const absl::Time in_effect = snapshot.effective_since - superseded_view_grace;
    return find_member(snapshot.view, missing) != nullptr && now < in_effect + view_confirmation;
}

bool claim_transfer::is_covered(const rpc::view_proposal& proposal, absl::Time now) const
{
    const std::uint64_t first_view_number = proposal.history(0).number();
    return std::all_of(proposal.history().begin(), proposal.history().end(),
                       [&](const rpc::entry_view& view) {
                           int missing = 0;
                           for (const rpc::entry_member& member : view.members()) {
                               if (has_transferred(member, view.number() == first_view_number,
                                                   first_view_number)) {
                                   continue;
                               }
                               if (may_act_in_earlier_view(member, now)) {
                                   return false;
                               }
                               ++missing;
                           }
                           return missing <= tolerated_missing(view);
                       });
}

bool claim_transfer::recover_from_agents(const rpc::entry_view& view, absl::Time now)
{
    const auto members = agents_.members(now);
    if (!members) {
        return false;
    }
    std::vector<rpc::agent_info> unfenced;
    bool lost_records = false;
    {
        const absl::MutexLock lock(&mutex_);
        for (const agent_member& member : members.value()) {
            if (fenced_agents_.contains(agent_id(member.info))) {
                continue;
            }
            if (!member.lost) {
                unfenced.push_back(member.info);
            } else if (!is_expired_loss(member.lost_at, now)) {
                lost_records = true;
            }
        }
    }
    return fence(unfenced, view) && !lost_records;
}

bool claim_transfer::fence(const std::vector<rpc::agent_info>& agents, const rpc::entry_view& view)
{
    rpc::fence_request request;
    *request.mutable_view() = view;
    request.set_with_records(true);
    std::atomic<bool> all_replied{true};
    std::vector<std::function<void()>> calls;
    calls.reserve(agents.size());
    for (const rpc::agent_info& agent : agents) {
        calls.emplace_back([&, this] {
            const auto reply = hooks_.agents(agent)->fence(request, settings_.fence_timeout);
            // Another incarnation at the same address does not hold the records of `agent`.
            if (!reply || reply.value().incarnation() != agent.incarnation() ||
                reply.value().view_number() < view.number()) {
                all_replied = false;
                return;
            }
            for (const rpc::record_summary& record : reply.value().records()) {
                claims_.add_record(record);
            }
            const absl::MutexLock lock(&mutex_);
            fenced_agents_.insert(agent_id(agent));
        });
    }
    hooks_.run_parallel_agents(calls);
    return all_replied;
}

rpc::fetch_claims_reply claim_transfer::serve(const rpc::fetch_claims_request& request)
{
    rpc::fetch_claims_reply reply;
    // The view is read before the claims: once a later view is acknowledged, no claim is accepted
    // in an older view, so the claims read afterwards are complete.
    const rpc::view_proposal acknowledged = views_.acknowledged_proposal();
    reply.set_view_number(acknowledged.view().number());
    if (acknowledged.view().number() < request.view_number()) {
        return reply;
    }
    const bool is_same_view = acknowledged.view().number() == request.view_number();
    reply.set_complete(is_same_view && !acknowledged.history().empty() &&
                       views_.was_complete_in(acknowledged.history(0).number()));
    for (rpc::claim& claim : claims_.all()) {
        if (!is_same_view || is_holder(request.requester(), acknowledged.view(), claim)) {
            *reply.add_claims() = std::move(claim);
        }
    }
    const absl::MutexLock lock(&mutex_);
    if (served_views_.size() > max_served_entries) {
        served_views_.clear();
    }
    served_views_[member_id(request.requester())] = request.view_number();
    return reply;
}

bool claim_transfer::has_served_all(const rpc::entry_view& view) const
{
    const absl::MutexLock lock(&mutex_);
    return std::all_of(view.members().begin(), view.members().end(), [&](const auto& member) {
        const auto served = served_views_.find(member_id(member));
        return same_incarnation(member, views_.self()) ||
               (served != served_views_.end() && served->second >= view.number());
    });
}

} // namespace carobfall
