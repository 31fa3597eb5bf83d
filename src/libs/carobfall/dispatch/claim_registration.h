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

    /// Notes in this entry that the answer has been recorded.
    void set_answered();
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
