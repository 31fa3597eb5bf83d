#pragma once

#include "carobfall/dispatch/agent_channel.h"
#include "carobfall/entry/agent_membership.h"
#include "carobfall/entry/agent_record.h"
#include "carobfall/platform/table_service.h"

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace carobfall {

/// Permission to record joins of agents: `condition` holds while the row of the view still has
/// the view `view_number`, which is in effect at this entry.
struct join_permission {
    table_condition condition;
    std::uint64_t view_number{0};
};

/// Succeeds if the process at the agent's address is the incarnation that registers.
using incarnation_check = std::function<result<void>(const rpc::agent_info& agent)>;

/// Asks the agent itself. Errors: `invalid_request` if another incarnation answers, `unavailable`
/// if none does.
[[nodiscard]] result<void> check_incarnation(agent_channel& channel, const rpc::agent_info& agent);

/// Agents of a region, one row `agent/<region>/<name>` each, changed by compare-and-set.
///
/// An entry that takes up a view may have to ask every agent for its records, so no agent may be
/// used in an older view without being found then. A join is therefore recorded only while the
/// row of the view has the view of the recording entry, and a join that another entry has recorded
/// counts only for entries whose view is not older than the recorder's.
///
/// A registration can arrive after its incarnation has ended. So that it doesn't replace the
/// present incarnation, the agent is asked between the reading of its row and the commit: if it is
/// replaced after that, the commit meets a changed row.
class agent_membership_table : public agent_membership {
public:
    agent_membership_table(table_service& table, std::string_view region,
                           std::function<std::optional<join_permission>()> permission,
                           incarnation_check check);

    result<void> record_join(const rpc::agent_info& agent, absl::Time now) override;
    result<void> record_leave(const rpc::agent_ref& agent, absl::Time now) override;
    result<std::vector<agent_member>> members(absl::Time now) override;

private:
    struct stored_record {
        agent_record record;
        std::uint64_t row_version{0}; ///< 0 if there is no row
    };

    result<stored_record> read(const std::string& name);
    result<void> join_once(const rpc::agent_info& agent, absl::Time now);
    result<void> leave_once(const rpc::agent_ref& agent, absl::Time now);
    [[nodiscard]] std::string key_of(const std::string& name) const;
    [[nodiscard]] bool is_known(const rpc::agent_info& agent) const;
    void remember(const std::string& name, const std::string& incarnation);

    table_service& table_;
    const std::string prefix_;
    const std::function<std::optional<join_permission>()> permission_;
    const incarnation_check check_;
    mutable absl::Mutex mutex_;
    /// Recorded incarnation by name; empty after a clean leave.
    absl::flat_hash_map<std::string, std::string> known_ ABSL_GUARDED_BY(mutex_);
};

} // namespace carobfall
