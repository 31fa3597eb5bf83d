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
    absl::Duration fetch_timeout{absl::Seconds(2)};
    absl::Duration fence_timeout{absl::Seconds(2)};
};

/// Dependencies of the transfer, replaceable in tests.
struct claim_transfer_hooks {
    entry_channel_factory entries;
    agent_channel_factory agents;
    parallel_runner run_parallel{[](const auto& calls) { run_in_threads(calls); }};
    /// Runs the calls to agents, with bounded concurrency because there may be thousands of agents.
    parallel_runner run_parallel_agents{[](const auto& calls) { run_in_threads(calls, 16); }};
};

/// State transfer for a new view, which makes this entry complete in the view in effect. A complete
/// entry holds every claim of an earlier view for which it is now coordinator or witness, or it has
/// recovered the records of all agents.
/// Correctness: a member that is complete in view v holds every claim of which it is
/// coordinator or witness by rendezvous order in v. It received earlier claims by
/// transfer and took part in making those of v. If a claim names another coordinator
/// that is still a member, the witness of that coordinator holds the claim as well.
/// Each claim made in v or before thus has two holders, and the transfer may miss one
/// member of v. A member that transfers its claims has acknowledged the new view and
/// accepts no further claim in v, so no claim is added after the transfer. In a view
/// with one member each claim has a single holder, and no member may be missing.
/// Therefore:
/// - The first view of the history is known to have been in effect. Its members have to transfer
///   their claims as *complete* members, which covers the claims of that and all earlier views.
/// - Later views of the history may have been in effect. Their members have to transfer their
///   claims, which covers the claims made in these views. The members need not be complete:
///   the members of the first view cover the earlier claims, and remove claims only on
///   expiry.
/// If the view change gives a claim another witness, the same transfer copies the
/// claim: the new witness is complete only after it has fetched the copy. A
/// coordinator that extends the claim registers the whole claim with the new
/// witness.
/// If too few members transfer their claims, the entry recovers the claims from the agents.
/// It fences all agent incarnations that may hold records; a fenced agent starts no task of
/// an older view. The entry reconstructs claims from the records in the replies.
/// Reconstructed claims are transferred like others, so an entry that joins later need not
/// query the agents. An unreachable agent keeps the entry incomplete until the longest
/// deadline has passed.
///
/// Thread-safe; `tick` is called by one thread.
class claim_transfer {
public:
    claim_transfer(claim_transfer_settings settings, view_state& views, claim_store& claims,
                   agent_membership& agents, claim_transfer_hooks hooks);

    /// Continues the transfer for the view in effect. Called periodically.
    void tick(absl::Time now);
    /// Handles the request of another entry's transfer. The reply contains claims only if the
    /// requested view or a later one has been acknowledged here; otherwise its `view_number` is
    /// lower than the requested one.
    [[nodiscard]] rpc::fetch_claims_reply serve(const rpc::fetch_claims_request& request);
    /// True if every other member of the view has fetched the claims held here, so that this entry
    /// may exit after it has left.
    [[nodiscard]] bool has_served_all(const rpc::entry_view& view) const;

private:
    void begin(const rpc::view_proposal& proposal);
    void fetch_missing(const rpc::view_proposal& proposal);
    void accept_claims(const rpc::view_proposal& proposal, const rpc::entry_member& sender,
                       const rpc::fetch_claims_reply& reply);
    [[nodiscard]] bool is_covered(const rpc::view_proposal& proposal, absl::Time now) const;
    [[nodiscard]] bool may_act_in_earlier_view(const rpc::entry_member& missing,
                                               absl::Time now) const;
    [[nodiscard]] bool has_transferred(const rpc::entry_member& member, bool as_complete,
                                       std::uint64_t first_view_number) const;
    bool recover_from_agents(const rpc::entry_view& view, absl::Time now);
    bool fence(const std::vector<rpc::agent_info>& agents, const rpc::entry_view& view);

    const claim_transfer_settings settings_;
    view_state& views_;
    claim_store& claims_;
    agent_membership& agents_;
    const claim_transfer_hooks hooks_;
    mutable absl::Mutex mutex_;
    std::uint64_t transfer_view_number_ ABSL_GUARDED_BY(mutex_){0}; ///< view of the fields below
    int attempts_ ABSL_GUARDED_BY(mutex_){0};
    absl::flat_hash_map<std::string, bool>
        transferred_ ABSL_GUARDED_BY(mutex_); ///< value: the member was complete
    /// Highest view number for which each entry has fetched the claims, by name and incarnation.
    absl::flat_hash_map<std::string, std::uint64_t> served_views_ ABSL_GUARDED_BY(mutex_);
    absl::flat_hash_set<std::string> fenced_agents_ ABSL_GUARDED_BY(mutex_);
};

} // namespace carobfall
