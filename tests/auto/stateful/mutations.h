#pragma once

#include "carobfall/entry/ownership.h"

namespace carobfall::stateful {

/// A rule of the product that a run removes, to show that the oracle notices.
enum class rule_removed {
    none,
    witness,      ///< claims are acknowledged without being stored
    view_check,   ///< agents take starts of every view for current
    completeness, ///< every entry takes itself for complete
    records,      ///< fenced agents deliver no records
    tombstones,   ///< a revoke is answered without a record
    lease,        ///< agents hold an endless lease
    body_hash,    ///< all bodies have the same hash
    out_list,     ///< agents don't hear which data centres are out
    matching,     ///< reports name the neighbouring task
    partial,      ///< complete answers lack their last result
    rerun,        ///< the template that forbids a second run permits it
    leaving,      ///< agents take no notice of their own leave and their backend server's
    drain,        ///< a graceful shutdown doesn't wait for work in flight
    bound,        ///< an account's deadline bound follows its templates at once
    versions,     ///< a configuration counts as in force before the entries hold it
};

/// What the coordinator is told of the ownership; with the rule removed, it knows every submission.
class told_ownership final : public ownership {
public:
    told_ownership(const ownership& source, bool always_complete)
        : source_(source), always_complete_(always_complete)
    {}

    [[nodiscard]] const rpc::entry_member& self() const override { return source_.self(); }
    [[nodiscard]] ownership_snapshot snapshot() const override
    {
        ownership_snapshot told = source_.snapshot();
        told.complete = told.complete || always_complete_;
        return told;
    }
    bool wait_for_change(std::uint64_t view_number, absl::Duration limit) const override
    {
        return source_.wait_for_change(view_number, limit);
    }

private:
    const ownership& source_;
    const bool always_complete_;
};

} // namespace carobfall::stateful
