#pragma once

#include "carobfall/base/error.h"
#include "carobfall/rpc/carobfall.pb.h"

#include <absl/time/time.h>

#include <vector>

namespace carobfall {

/// One incarnation of an agent as recorded in the table service.
struct agent_member {
    rpc::agent_info info;
    bool lost{false};   ///< replaced or cleanly left; the records of the incarnation are gone
    absl::Time lost_at; ///< matters until the longest deadline and the retention have passed
};

/// Durable membership of the region's agents: joins, incarnations and clean leaves. Thread-safe.
class agent_membership {
public:
    virtual ~agent_membership() = default;

    /// Records the join and returns once it is durable. Idempotent; a join that is already recorded
    /// is confirmed from a cache. Errors: `unavailable` during an outage of the table service.
    virtual result<void> record_join(const rpc::agent_info& agent, absl::Time now) = 0;
    /// Records that the incarnation has left with no task running or queued.
    virtual result<void> record_leave(const rpc::agent_ref& agent, absl::Time now) = 0;
    /// Reads from the table service the current incarnations and the lost ones that have not
    /// expired.
    virtual result<std::vector<agent_member>> members(absl::Time now) = 0;
};

} // namespace carobfall
