#pragma once

#include "carobfall/dispatch/dispatch_context.h"

namespace carobfall {

/// Registers the claim of one submission in this entry and at its witness.
class claim_registration {
public:
    claim_registration(dispatch_context& context, rpc::claim claim);

    /// Makes sure that the claim with these planned agents is held in the view in effect, and
    /// returns the number of that view. Calls the witness only if something is new.
    ///
    /// The first registration succeeds only in a view in which this entry is the coordinator by
    /// rendezvous order: an owner of a later view can't know a claim that was made after it had
    /// fetched the claims of its predecessors.
    ///
    /// Errors: `unavailable` if it can't be had now, `stale_view` if it can't be had any more
    /// because the ownership has gone to another entry.
    result<std::uint64_t> hold(const std::vector<rpc::agent_ref>& planned, absl::Duration limit);

    /// Notes in this entry and at the witness that the submission is being answered; call it before
    /// the answer is handed out. The witness is told of a complete answer later, together with
    /// others, because a successor can form the same answer from the agents' records. Any other
    /// answer depends on what could be learnt until now, so that the call waits for the witness,
    /// for at most half of the time to the deadline.
    void set_answered(const rpc::submission_answer& answer);
    /// Removes this entry's own copy of a claim that was never held.
    void withdraw();
    /// This entry is the coordinator by rendezvous order in the present view.
    [[nodiscard]] bool owns_key() const;
    /// The claim has been held, so that only this entry may start the submission.
    [[nodiscard]] bool held_once() const { return held_once_; }

private:
    bool plan(const std::vector<rpc::agent_ref>& planned);
    result<void> ask_witness(const ownership_snapshot& snapshot, absl::Duration limit);

    dispatch_context& context_;
    rpc::claim claim_;
    bool held_once_{false};
    std::uint64_t view_held_{0}; ///< view in which the claim is held with all planned agents, or 0
};

} // namespace carobfall
