#pragma once

#include "carobfall/entry/agent_membership.h"

#include <cstdint>
#include <string>
#include <vector>

namespace carobfall {

/// Content of a row `agent/<region>/<name>`: the latest incarnation of the agent, and the
/// incarnations whose records were lost in a crash or a clean leave. A clean leave counts as a
/// loss: it removes the records of finished tasks, which prevent a submission from running again
/// before its deadline.
struct agent_record {
    rpc::agent_info current;
    bool left{false};                ///< the current incarnation has left cleanly
    std::uint64_t joined_in_view{0}; ///< view of the entry that recorded the join
    std::vector<agent_member> lost;
};

[[nodiscard]] std::string to_json(const agent_record& record);
/// Errors: `internal` if the text is malformed.
[[nodiscard]] result<agent_record> agent_record_from_json(const std::string& text);

/// Removes the lost incarnations whose records are no longer needed; see `is_expired_loss`.
void trim_lost(agent_record& record, absl::Time now);

/// True if the longest deadline and the retention have passed since `lost_at`, so that the records
/// of the incarnation are no longer needed.
[[nodiscard]] bool is_expired_loss(absl::Time lost_at, absl::Time now);

} // namespace carobfall
