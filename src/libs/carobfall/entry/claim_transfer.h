#pragma once

#include "carobfall/dispatch/agent_channel.h"
#include "carobfall/entry/agent_membership.h"
#include "carobfall/entry/claim_store.h"
#include "carobfall/entry/entry_channel.h"
#include "carobfall/entry/parallel.h"
#include "carobfall/entry/view_state.h"

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/synchronization/mutex.h>

#include <functional>
#include <string>
#include <vector>

namespace carobfall {

struct claim_transfer_settings {
    absl::Duration fetch_limit{absl::Seconds(2)};
    absl::Duration fence_limit{absl::Seconds(2)};
};

/// What the transfer needs from its surroundings; tests replace all of it.
struct claim_transfer_hooks {
    entry_channel_factory entries;
    agent_channel_factory agents;
    parallel_runner run_parallel{[](const auto& calls) { run_in_threads(calls); }};
    /// Runs the calls to agents, of which there may be thousands.
    parallel_runner run_parallel_agents{[](const auto& calls) { run_in_threads(calls, 16); }};
};

/// Makes this entry complete in the view in effect: every claim made in an earlier view for a
/// submission that this entry coordinates or witnesses is known here, or all agents were asked.
///
/// Why that holds. A member of a view v that is complete in v holds every claim of which it is
/// coordinator or witness by rendezvous order in v, the earlier ones by the transfer and those
/// made in v by taking part. So does the witness of a coordinator that is named in a claim and
/// still a member. When all members of v but one deliver, a claim of v or before is delivered by
/// at least one of its two holders. A member that delivers has acknowledged the new view and
/// accepts nothing in v afterwards, so that no claim is made behind the delivery. A view with one
/// member has one holder and tolerates no missing member. Therefore:
/// - The first view of the history is known to have been in effect and follows all earlier ones:
///   its members have to deliver *as complete members of that view*.
/// - Later views of the history may have been in effect: their members have to deliver, which
///   covers the claims made in them. Being complete there isn't asked for, because the claims of
///   before are covered by the first view's members, who drop claims only when they expire.
///
/// A claim whose witness changed with the view gets its new copy by the same transfer: the new
/// witness is not complete before it has fetched the copy, and a coordinator that extends the
/// claim registers all of it with the new witness.
///
/// Where too few members deliver, the agents decide. All incarnations that may hold records are
/// fenced, after which none of them starts a task of an older view, and report their records, which
/// become claims and are delivered like those: an entry that joins later asks no agent. An
/// agent that can't be asked keeps the entry incomplete until the longest deadline has passed.
/// Thread-safe; `tick` is called by one thread.
class claim_transfer {
public:
    claim_transfer(claim_transfer_settings settings, view_state& views, claim_store& claims,
                   agent_membership& agents, claim_transfer_hooks hooks);

    /// Continues the transfer for the view in effect; called every heartbeat interval.
    void tick(absl::Time now);
    /// Answers the same transfer at another entry. Delivers claims only if the requested view or
    /// a later one has been acknowledged here; otherwise `view_number` is lower than the request.
    [[nodiscard]] rpc::fetch_claims_reply serve(const rpc::fetch_claims_request& request);
    /// Every other member of the view has fetched the claims held here, so that this entry may
    /// end after it has left.
    [[nodiscard]] bool has_served_all(const rpc::entry_view& view) const;

private:
    void begin(const rpc::view_proposal& proposal);
    void fetch_missing(const rpc::view_proposal& proposal);
    void accept_delivery(const rpc::view_proposal& proposal, const rpc::entry_member& sender,
                         const rpc::fetch_claims_reply& reply);
    [[nodiscard]] bool is_covered(const rpc::view_proposal& proposal, absl::Time now) const;
    [[nodiscard]] bool may_vouch_for_earlier_view(const rpc::entry_member& missing,
                                                  absl::Time now) const;
    [[nodiscard]] bool has_delivered(const rpc::entry_member& member, bool as_complete,
                                     std::uint64_t base) const;
    bool ask_agents(const rpc::entry_view& view, absl::Time now);
    bool fence(const std::vector<rpc::agent_info>& agents, const rpc::entry_view& view);

    const claim_transfer_settings settings_;
    view_state& views_;
    claim_store& claims_;
    agent_membership& agents_;
    const claim_transfer_hooks hooks_;
    mutable absl::Mutex mutex_;
    std::uint64_t number_ ABSL_GUARDED_BY(mutex_){0}; ///< view that the fields below belong to
    int attempts_ ABSL_GUARDED_BY(mutex_){0};
    absl::flat_hash_map<std::string, bool> delivered_ ABSL_GUARDED_BY(mutex_); ///< as complete
    /// Highest view number for which an entry has fetched the claims, by name and incarnation.
    absl::flat_hash_map<std::string, std::uint64_t> served_ ABSL_GUARDED_BY(mutex_);
    absl::flat_hash_set<std::string> fenced_ ABSL_GUARDED_BY(mutex_);
};

} // namespace carobfall
