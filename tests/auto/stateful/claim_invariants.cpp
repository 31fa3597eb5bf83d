#include "claim_invariants.h"

#include "entry_process.h"

#include "carobfall/base/clock.h"
#include "carobfall/entry/rendezvous.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace carobfall::stateful {
namespace {

bool coordinates(const entry_process& entry, const rpc::entry_view& view, const submission_key& key)
{
    return same_incarnation(*coordinator_of(view, key), entry.self);
}

/// Checks the submissions that the complete entry `entry` coordinates by rendezvous order. If a
/// claim at `other` names `other` as coordinator, the claim at `entry` must name it too. Applies
/// only if `other` is usable in the same view.
std::string check_coordinators(const entry_process& entry, const entry_process& other,
                               const ownership_snapshot& snapshot, absl::Time now)
{
    const ownership_snapshot others = other.members->snapshot();
    if (&other == &entry || !others.usable() || others.view.number() != snapshot.view.number()) {
        return {};
    }
    for (const rpc::claim& claim : other.claims.all()) {
        const submission_key key = from_message(claim.submission());
        const auto held = entry.claims.find(key);
        if (from_unix_ms(claim.deadline_unix_ms()) > now && held &&
            same_incarnation(claim.coordinator(), other.self) &&
            coordinates(entry, snapshot.view, key) &&
            !same_incarnation(held->coordinator(), other.self)) {
            return absl::StrCat(to_string(key), " has two coordinators in view ",
                                snapshot.view.number());
        }
    }
    return {};
}

} // namespace

void claim_invariants::on_start_request(const rpc::start_request& request,
                                        std::uint64_t view_number)
{
    for (const rpc::start_task& task : request.tasks()) {
        const task_key key{from_message(request.submission()), task.index()};
        sent_.try_emplace({key, task.attempt()}, view_number);
    }
}

void claim_invariants::on_start(const startable_task& task)
{
    const auto sent = sent_.find({task.key, task.attempt});
    if (sent != sent_.end()) {
        started_.try_emplace(
            task.key.submission,
            started_submission{sent->second, from_unix_ms(task.context->deadline_unix_ms)});
    }
}

std::string claim_invariants::check_claims_held(const entry_process& entry,
                                                const ownership_snapshot& snapshot,
                                                absl::Time now) const
{
    for (const auto& [key, started] : started_) {
        if (started.deadline > now && started.view_number <= snapshot.view.number() &&
            coordinates(entry, snapshot.view, key) && !entry.claims.find(key)) {
            return absl::StrCat(to_string(key), " (started in view ", started.view_number,
                                ") has no claim at entry ", entry.self.name(),
                                ", whose records are complete in view ", snapshot.view.number());
        }
    }
    return {};
}

std::string claim_invariants::violation(const std::vector<std::shared_ptr<entry_process>>& entries,
                                        absl::Time now) const
{
    for (const auto& entry : entries) {
        const ownership_snapshot snapshot =
            entry == nullptr ? ownership_snapshot{} : entry->members->snapshot();
        if (!snapshot.usable() || !snapshot.complete) {
            continue;
        }
        std::string found = check_claims_held(*entry, snapshot, now);
        for (const auto& other : entries) {
            if (found.empty() && other != nullptr) {
                found = check_coordinators(*entry, *other, snapshot, now);
            }
        }
        if (!found.empty()) {
            return found;
        }
    }
    return {};
}

} // namespace carobfall::stateful
