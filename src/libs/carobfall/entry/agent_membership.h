#pragma once

#include "carobfall/base/error.h"
#include "carobfall/rpc/carobfall.pb.h"

#include <absl/time/time.h>

#include <vector>

namespace carobfall {

/// One incarnation of an agent as recorded in the table service.
struct agent_member {
    rpc::agent_info info;
    bool lost{false};   ///< replaced by a later incarnation without a clean leave
    absl::Time lost_at; ///< its records matter until the longest deadline after this has passed
};

/// Joins, incarnations and clean leaves of the region's agents. Thread-safe.
class agent_membership {
public:
    virtual ~agent_membership() = default;

    /// Records the join and returns once it is durable. Idempotent; a recorded join is answered
    /// from memory. Errors: `unavailable` during an outage of the table service.
    virtual result<void> record_join(const rpc::agent_info& agent, absl::Time now) = 0;
    /// Records that the incarnation has left with nothing started or queued.
    virtual result<void> record_leave(const rpc::agent_ref& agent, absl::Time now) = 0;
    /// Every incarnation that may hold records, read from the table service.
    virtual result<std::vector<agent_member>> members(absl::Time now) = 0;
};

} // namespace carobfall
