#pragma once

#include "carobfall/entry/agent_membership.h"

#include <cstdint>
#include <string>
#include <vector>

namespace carobfall {

/// Content of a row `agent/<region>/<name>`: the latest incarnation of the agent and those whose
/// records were lost, with the process or by a clean leave. A clean leave counts because the
/// records of finished tasks keep a submission from running again until its deadline.
struct agent_record {
    rpc::agent_info current;
    bool left{false};                ///< the current incarnation has left cleanly
    std::uint64_t joined_in_view{0}; ///< view of the entry that recorded the join
    std::vector<agent_member> lost;
};

[[nodiscard]] std::string to_json(const agent_record& record);
/// Errors: `internal` if the text is not such a record.
[[nodiscard]] result<agent_record> agent_record_from_json(const std::string& text);

/// Removes lost incarnations whose records can't matter any more: the longest deadline and the
/// retention have passed since the loss.
void trim_lost(agent_record& record, absl::Time now);

/// True if `lost_at` is so long ago that the incarnation's records can't matter any more.
[[nodiscard]] bool is_expired_loss(absl::Time lost_at, absl::Time now);

} // namespace carobfall
