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

/// Permission to record agent joins while view `view_number` is in effect at this entry. A commit
/// with `condition` fails if the view row has changed since.
struct join_permission {
    table_condition condition;
    std::uint64_t view_number{0};
};

/// Checks that the process at the address of `agent` is the same incarnation.
using incarnation_check = std::function<result<void>(const rpc::agent_info& agent)>;

/// Queries the agent for its incarnation. Errors: `invalid_request` if another incarnation
/// answers, `unavailable` if there is no answer.
[[nodiscard]] result<void> check_incarnation(agent_channel& channel, const rpc::agent_info& agent);

/// Stores the agents of a region, one row `agent/<region>/<name>` each, updated by compare-and-set.
/// An entry that installs a view may have to fetch the records of every agent used in an
/// older view, so the table must contain all these agents by then. Therefore an entry
/// records a join only while the view row contains the view in effect at this entry. Another
/// entry accepts the join only if its own view is not older than
/// `agent_record::joined_in_view`.
/// A registration can arrive after its incarnation has ended and must not replace the
/// current incarnation. Therefore the agent is queried between the read of its row and the
/// commit. If the agent is replaced after this query, the row changes and the commit
/// fails.
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
    /// Cache of the recorded incarnation by agent name; empty after a clean leave.
    absl::flat_hash_map<std::string, std::string> known_ ABSL_GUARDED_BY(mutex_);
};

} // namespace carobfall
