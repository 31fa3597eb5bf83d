#include "carobfall/entry/claim_store.h"

#include "carobfall/base/clock.h"
#include "carobfall/entry/rendezvous.h"

#include <algorithm>
#include <utility>

namespace carobfall {
namespace {

bool contains_agent(const rpc::claim& claim, const rpc::agent_ref& agent)
{
    return std::any_of(claim.planned_agents().begin(), claim.planned_agents().end(),
                       [&](const rpc::agent_ref& planned) {
                           return planned.name() == agent.name() &&
                                  planned.incarnation() == agent.incarnation();
                       });
}

// Adds the record. If the attempt is already recorded, the later of both states is kept.
void merge_record(rpc::claim& claim, const rpc::record_summary& record)
{
    for (rpc::record_summary& held : *claim.mutable_records()) {
        if (held.index() == record.index() && held.attempt() == record.attempt()) {
            held.set_state(std::max(held.state(), record.state()));
            return;
        }
    }
    rpc::record_summary* added = claim.add_records();
    *added = record;
    added->clear_submission();
}

void set_answered(rpc::claim& held, bool complete)
{
    held.set_answered_complete(complete && (!held.answered() || held.answered_complete()));
    held.set_answered(true);
}

// Replaces the claim but keeps the held agent records, which already include those of `claim`.
void replace(rpc::claim& held, const rpc::claim& claim)
{
    rpc::claim next = claim;
    *next.mutable_records() = held.records();
    held = std::move(next);
}

// Merges two claims with the same body.
void merge_claims(rpc::claim& held, const rpc::claim& claim, const rpc::entry_view* view)
{
    for (const rpc::agent_ref& agent : claim.planned_agents()) {
        if (!contains_agent(held, agent)) {
            *held.add_planned_agents() = agent;
        }
    }
    const bool is_same_view = held.view_number() == claim.view_number();
    const bool may_succeed = view == nullptr || find_member(*view, held.coordinator()) == nullptr;
    if (held.view_number() < claim.view_number() || (is_same_view && may_succeed)) {
        *held.mutable_coordinator() = claim.coordinator();
        held.set_view_number(claim.view_number());
    }
    if (claim.answered()) {
        set_answered(held, claim.answered_complete());
    }
}

} // namespace

bool is_from_records(const rpc::claim& claim)
{
    return !claim.has_coordinator();
}

bool claim_store::put(const rpc::claim& claim)
{
    const absl::MutexLock lock(&mutex_);
    return put_locked(claim, nullptr);
}

void claim_store::merge(const rpc::claim& copy, const rpc::entry_view& view)
{
    const absl::MutexLock lock(&mutex_);
    put_locked(copy, &view);
}

bool claim_store::put_locked(const rpc::claim& claim, const rpc::entry_view* view)
{
    const auto [position, inserted] = claims_.try_emplace(from_message(claim.submission()), claim);
    if (inserted) {
        return true;
    }
    rpc::claim& held = position->second;
    for (const rpc::record_summary& record : claim.records()) {
        merge_record(held, record);
    }
    if (is_from_records(claim)) {
        return is_from_records(held);
    }
    if (is_from_records(held) ||
        (held.body_hash() != claim.body_hash() && held.view_number() < claim.view_number())) {
        replace(held, claim);
        return true;
    }
    if (held.body_hash() != claim.body_hash()) {
        return false;
    }
    merge_claims(held, claim, view);
    return true;
}

bool claim_store::withdraw(const rpc::claim& claim)
{
    const absl::MutexLock lock(&mutex_);
    const auto held = claims_.find(from_message(claim.submission()));
    if (held == claims_.end() || held->second.view_number() != claim.view_number() ||
        held->second.body_hash() != claim.body_hash() ||
        !same_incarnation(held->second.coordinator(), claim.coordinator())) {
        return false;
    }
    if (held->second.records().empty()) {
        claims_.erase(held);
        return true;
    }
    rpc::claim records;
    *records.mutable_submission() = held->second.submission();
    records.set_deadline_unix_ms(held->second.deadline_unix_ms());
    *records.mutable_records() = held->second.records();
    held->second = std::move(records);
    return true;
}

void claim_store::note_answered(const rpc::answered_note& note)
{
    const absl::MutexLock lock(&mutex_);
    const auto found = claims_.find(from_message(note.submission()));
    if (found != claims_.end()) {
        set_answered(found->second, note.complete());
    }
}

void claim_store::add_record(const rpc::record_summary& record)
{
    const absl::MutexLock lock(&mutex_);
    const auto [held, inserted] = claims_.try_emplace(from_message(record.submission()));
    if (inserted) {
        *held->second.mutable_submission() = record.submission();
        held->second.set_deadline_unix_ms(record.deadline_unix_ms());
    }
    merge_record(held->second, record);
}

std::optional<rpc::claim> claim_store::find(const submission_key& key) const
{
    const absl::MutexLock lock(&mutex_);
    const auto found = claims_.find(key);
    return found == claims_.end() ? std::nullopt : std::optional(found->second);
}

std::vector<rpc::claim> claim_store::all() const
{
    const absl::MutexLock lock(&mutex_);
    std::vector<rpc::claim> claims;
    claims.reserve(claims_.size());
    for (const auto& [key, claim] : claims_) {
        claims.push_back(claim);
    }
    return claims;
}

std::size_t claim_store::size() const
{
    const absl::MutexLock lock(&mutex_);
    return claims_.size();
}

void claim_store::expire(absl::Time now)
{
    const absl::MutexLock lock(&mutex_);
    absl::erase_if(claims_, [&](const auto& item) {
        return from_unix_ms(item.second.deadline_unix_ms()) + record_retention < now;
    });
}

} // namespace carobfall
