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

/// Passes everything on.
class same_ownership : public ownership {
public:
    explicit same_ownership(const ownership& source) : source_(source) {}

    [[nodiscard]] const rpc::entry_member& self() const override { return source_.self(); }
    [[nodiscard]] ownership_snapshot snapshot() const override { return source_.snapshot(); }
    bool wait_for_change(std::uint64_t view_number, absl::Duration limit) const override
    {
        return source_.wait_for_change(view_number, limit);
    }

private:
    const ownership& source_;
};

/// Claims to know every submission.
class always_complete final : public same_ownership {
public:
    using same_ownership::same_ownership;

    [[nodiscard]] ownership_snapshot snapshot() const override
    {
        ownership_snapshot changed = same_ownership::snapshot();
        changed.complete = true;
        return changed;
    }
};

} // namespace carobfall::stateful
