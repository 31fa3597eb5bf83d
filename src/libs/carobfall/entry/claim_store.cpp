#include "carobfall/entry/claim_store.h"

#include "carobfall/base/clock.h"
#include "carobfall/entry/rendezvous.h"

#include <algorithm>

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

// A later state of the same attempt replaces the earlier one.
void add_record(rpc::claim& claim, const rpc::record_summary& record)
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

} // namespace

bool is_from_records(const rpc::claim& claim)
{
    return !claim.records().empty();
}

void claim_store::put(const rpc::claim& claim)
{
    const absl::MutexLock lock(&mutex_);
    put_locked(claim, nullptr);
}

void claim_store::merge(const rpc::claim& copy, const rpc::entry_view& view)
{
    const absl::MutexLock lock(&mutex_);
    put_locked(copy, &view);
}

void claim_store::put_locked(const rpc::claim& claim, const rpc::entry_view* view)
{
    const auto [held, inserted] = claims_.try_emplace(from_message(claim.submission()), claim);
    if (inserted) {
        return;
    }
    if (is_from_records(claim)) {
        if (is_from_records(held->second)) {
            for (const rpc::record_summary& record : claim.records()) {
                add_record(held->second, record);
            }
        }
        return;
    }
    if (is_from_records(held->second)) {
        held->second = claim;
        return;
    }
    for (const rpc::agent_ref& agent : claim.planned_agents()) {
        if (!contains_agent(held->second, agent)) {
            *held->second.add_planned_agents() = agent;
        }
    }
    if (view == nullptr || find_member(*view, held->second.coordinator()) == nullptr) {
        *held->second.mutable_coordinator() = claim.coordinator();
    }
    held->second.set_answered(held->second.answered() || claim.answered());
}

void claim_store::learn(const rpc::record_summary& record)
{
    const absl::MutexLock lock(&mutex_);
    const auto [held, inserted] = claims_.try_emplace(from_message(record.submission()));
    if (inserted) {
        *held->second.mutable_submission() = record.submission();
        held->second.set_deadline_unix_ms(record.deadline_unix_ms());
    }
    if (inserted || is_from_records(held->second)) {
        add_record(held->second, record);
    }
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
    absl::erase_if(claims_, [&](const auto& entry) {
        return from_unix_ms(entry.second.deadline_unix_ms()) + record_retention < now;
    });
}

} // namespace carobfall
