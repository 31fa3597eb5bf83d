#include "submission_model.h"

#include "carobfall/base/clock.h"
#include "carobfall/entry/rendezvous.h"

#include <absl/strings/str_cat.h>

namespace carobfall::test {
namespace {

// A start lease of 2 s, granted by an entry whose freshness of 2 s was about to end.
constexpr absl::Duration longest_delay_of_start = absl::Seconds(4);

} // namespace

void submission_model::submit(int index, int slot, absl::Duration deadline)
{
    slot_state& state = slots_[slot];
    if (state.deadline <= region_.now) {
        state = {state.generation + 1, region_.now + deadline};
    }
    const submission_key key{"dambi", absl::StrCat(slot, ".", state.generation)};
    const rpc::entry_view view = region_.view_at(index).view;
    const rpc::entry_member* coordinator = coordinator_of(view, key);
    simulated_entry* receiver =
        coordinator == nullptr ? nullptr : region_.reach(index, *coordinator);
    if (receiver != nullptr) {
        submit_at(*receiver, key, state.deadline);
    }
}

void submission_model::submit_at(simulated_entry& entry, const submission_key& key,
                                 absl::Time deadline)
{
    const int index = region_simulation::index_of(entry.self.address());
    const ownership_snapshot snapshot = entry.members->snapshot();
    if (!snapshot.usable() || entry.keeper->fresh_for(region_.now) == absl::ZeroDuration() ||
        !same_incarnation(*coordinator_of(snapshot.view, key), entry.self)) {
        return;
    }
    if (const auto held = entry.claims.find(key)) {
        if (find_member(snapshot.view, held->coordinator()) == nullptr) {
            take_over(entry, index, *held);
        }
        return;
    }
    const bool surely_new = deadline - max_deadline > snapshot.effective_since;
    if (entry.claims.find(key) || (!snapshot.complete && !surely_new)) {
        return;
    }
    rpc::claim made;
    *made.mutable_submission() = to_message(key);
    made.set_deadline_unix_ms(to_unix_ms(deadline));
    *made.mutable_coordinator() = entry.self;
    entry.claims.put(made);
    if (claim(entry, index, made)) {
        messages_.push_back({key, entry.self, snapshot.view.number(), region_.now, deadline});
    }
}

bool submission_model::claim(simulated_entry& entry, int index, const rpc::claim& claim)
{
    const rpc::entry_view view = entry.members->snapshot().view;
    const auto* witness = witness_of(view, from_message(claim.submission()));
    if (witness == nullptr) {
        return view.members_size() == 1;
    }
    simulated_entry* receiver = region_.reach(index, *witness);
    rpc::claim_request request;
    request.set_view_number(view.number());
    *request.mutable_claim() = claim;
    const bool accepted =
        receiver != nullptr &&
        accept_claim(request, receiver->members->state(), receiver->claims).accepted();
    if (region_.lost_replies > 0) {
        --region_.lost_replies;
        return false;
    }
    return accepted;
}

void submission_model::take_over(simulated_entry& entry, int index, rpc::claim taken)
{
    *taken.mutable_coordinator() = entry.self;
    if (claim(entry, index, taken)) {
        entry.claims.put(taken);
    }
}

void submission_model::deliver_start(int which, int agent_index)
{
    if (messages_.empty()) {
        return;
    }
    const auto chosen = messages_.begin() + which % static_cast<int>(messages_.size());
    const start_message message = *chosen;
    simulated_agent& agent = region_.agents[static_cast<std::size_t>(agent_index)];
    if (!known_agents_[message.sender.incarnation()].contains(agent.info.incarnation()) ||
        !agent.reachable) {
        return;
    }
    messages_.erase(chosen);
    if (message.view_number < agent.highest_view || region_.now >= message.deadline ||
        region_.now - message.sent > longest_delay_of_start) {
        return;
    }
    agent.started[message.key] = to_unix_ms(message.deadline);
    started_submission& started = started_[message.key];
    ++started.starts;
    started.view_number = message.view_number;
    started.deadline = message.deadline;
}

void submission_model::register_agent(int agent_index, int index)
{
    simulated_agent& agent = region_.agents[static_cast<std::size_t>(agent_index)];
    simulated_entry& entry = region_.at(index);
    if (!agent.reachable || !entry.agents->record_join(agent.info, region_.now)) {
        return;
    }
    known_agents_[entry.self.incarnation()].insert(agent.info.incarnation());
    agent.highest_view = std::max(agent.highest_view, entry.members->snapshot().view.number());
}

std::string submission_model::check_known(simulated_entry& entry) const
{
    const ownership_snapshot snapshot = entry.members->snapshot();
    for (const auto& [key, started] : started_) {
        if (started.deadline > region_.now && started.view_number <= snapshot.view.number() &&
            same_incarnation(*coordinator_of(snapshot.view, key), entry.self) &&
            !entry.claims.find(key)) {
            return absl::StrCat(to_string(key), " of view ", started.view_number, " is unknown to ",
                                entry.self.name(), ", complete in view ", snapshot.view.number());
        }
    }
    return {};
}

// Another usable entry of the same view that takes itself for the coordinator must be the one
// that this complete entry would name.
std::string submission_model::check_coordinators(simulated_entry& entry) const
{
    const ownership_snapshot snapshot = entry.members->snapshot();
    for (const auto& other : region_.entries) {
        if (other == nullptr || other.get() == &entry) {
            continue;
        }
        const ownership_snapshot others = other->members->snapshot();
        if (!others.usable() || others.view.number() != snapshot.view.number()) {
            continue;
        }
        for (const rpc::claim& claim : other->claims.all()) {
            const submission_key key = from_message(claim.submission());
            const auto held = entry.claims.find(key);
            if (from_unix_ms(claim.deadline_unix_ms()) > region_.now && held &&
                same_incarnation(claim.coordinator(), other->self) &&
                same_incarnation(*coordinator_of(snapshot.view, key), entry.self) &&
                !same_incarnation(held->coordinator(), other->self)) {
                return absl::StrCat(to_string(key), " has two coordinators in view ",
                                    snapshot.view.number());
            }
        }
    }
    return {};
}

std::string submission_model::violation() const
{
    for (const auto& [key, started] : started_) {
        if (started.starts > 1) {
            return absl::StrCat(to_string(key), " started ", started.starts, " times");
        }
    }
    for (const auto& entry : region_.entries) {
        if (entry == nullptr) {
            continue;
        }
        const ownership_snapshot snapshot = entry->members->snapshot();
        if (!snapshot.usable() || !snapshot.complete) {
            continue;
        }
        std::string found = check_known(*entry);
        found = found.empty() ? check_coordinators(*entry) : found;
        if (!found.empty()) {
            return found;
        }
    }
    return {};
}

} // namespace carobfall::test
