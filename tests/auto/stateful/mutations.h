#pragma once

#include "carobfall/entry/ownership.h"

namespace carobfall::stateful {

/// Mutation of the product: the rule that a run disables, to show that the oracle detects the
/// violation.
enum class rule_removed {
    none,
    witness,      ///< claims are acknowledged without being stored
    view_check,   ///< agents accept starts of every view as current
    completeness, ///< every entry considers itself complete
    records,      ///< replies to fence requests contain no records
    tombstones,   ///< a revoke is confirmed without a tombstone
    lease,        ///< the leases of agents don't expire
    body_hash,    ///< all bodies have the same hash
    out_list,     ///< agents don't receive the list of data centres that are out
    matching,     ///< reports contain the index of another task
    partial,      ///< complete answers lack their last result
    rerun,        ///< the template that forbids a second run allows it
    leaving,      ///< agents ignore that they or their backend servers are leaving
    drain,        ///< a graceful shutdown doesn't wait for work in progress
    bound,        ///< deadline bounds ignore the earlier, longer deadlines of an account
    versions,     ///< a change counts as accepted before a majority of the entries holds it
};

/// Ownership as seen by the coordinator; optionally reports every entry as complete.
class ownership_override final : public ownership {
public:
    ownership_override(const ownership& source, bool always_complete)
        : source_(source), always_complete_(always_complete)
    {}

    [[nodiscard]] const rpc::entry_member& self() const override { return source_.self(); }
    [[nodiscard]] ownership_snapshot snapshot() const override
    {
        ownership_snapshot changed = source_.snapshot();
        changed.complete = changed.complete || always_complete_;
        return changed;
    }
    bool wait_for_change(std::uint64_t view_number, absl::Duration timeout) const override
    {
        return source_.wait_for_change(view_number, timeout);
    }

private:
    const ownership& source_;
    const bool always_complete_;
};

} // namespace carobfall::stateful
