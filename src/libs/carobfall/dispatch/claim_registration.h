#pragma once

#include "carobfall/dispatch/dispatch_context.h"

namespace carobfall {

/// Registers the claim of one submission at this entry and at its witness.
class claim_registration {
public:
    claim_registration(dispatch_context& context, rpc::claim claim);

    /// Ensures that the claim with these planned agents is registered in the view in effect, and
    /// returns the number of that view. Calls the witness only if the view or the planned agents
    /// have changed.
    ///
    /// The first registration succeeds only in a view in which rendezvous hashing selects this
    /// entry as the coordinator. Otherwise, the owner in a later view would miss the claim if it
    /// had already fetched the claims of its predecessors.
    ///
    /// Errors: `unavailable` if a later call may succeed, `stale_view` if no later call can
    /// succeed, because another entry owns the key.
    result<std::uint64_t> hold(const std::vector<rpc::agent_ref>& planned, absl::Duration timeout);

    /// Marks the claim as answered at this entry and at the witness; call it before the answer is
    /// returned to callers. The witness is notified of a complete answer later, in a batch, because
    /// a successor can build the same answer from the agents' records. Any other answer depends on
    /// the information available now, so the call waits for the witness, for at most half of the
    /// time to the deadline.
    void set_answered(const rpc::submission_answer& answer);
    /// Removes the local copy of a claim that was never held.
    void withdraw();
    /// True if rendezvous hashing selects this entry as the coordinator in the current view.
    [[nodiscard]] bool owns_key() const;
    /// True once the claim has been held; from then on only this entry may start the submission.
    [[nodiscard]] bool held_once() const { return held_once_; }

private:
    bool extend_plan(const std::vector<rpc::agent_ref>& planned);
    result<void> register_at_witness(const ownership_snapshot& snapshot, absl::Duration timeout);

    dispatch_context& context_;
    rpc::claim claim_;
    bool held_once_{false};
    std::uint64_t view_held_{0}; ///< view in which the claim is held with all planned agents, or 0
};

} // namespace carobfall
