#pragma once

#include "carobfall/config/deadline_bound.h"
#include "carobfall/platform/configuration_store.h"

namespace carobfall::internal {

/// The attempts of one `configuration_store::apply`. Not thread-safe.
class configuration_transaction {
public:
    /// The changes are in canonical form.
    configuration_transaction(table_service& table, const configuration_change_set& request);

    enum class step { done, failed, repeat };

    /// Reads the rows concerned and commits. `repeat`: another attempt may succeed.
    step attempt();

    /// Version that holds the changes, after `done`.
    [[nodiscard]] std::uint64_t version() const { return version_; }
    /// Error of the last attempt. `outcome_unknown` as long as a commit of any attempt may have
    /// been applied or may yet be applied.
    [[nodiscard]] error failure_reason() const;

private:
    result<void> attempt_once();
    /// Returns true if the change id has been committed.
    result<bool> find_committed();
    /// Collects the changes that differ from the stored rows. Fails with `conflict` if one of these
    /// rows was changed after the base version.
    result<std::vector<rpc::configuration_change>> differing_changes();
    result<void> check_base_version();
    /// Adds the changes of deadline bounds that follow from the changes of templates.
    result<void> add_bounds(std::vector<rpc::configuration_change>& changes);
    result<deadline_bound> stored_bound(const std::string& account, bool has_templates);
    result<void> commit(std::vector<rpc::configuration_change> changes);
    /// Deletes the log row, its change id, and the changed row if it only records a deletion.
    result<void> add_trimming(std::uint64_t version, table_transaction& transaction);
    [[nodiscard]] bool changes_row(const std::string& key) const;

    table_service& table_;
    const configuration_change_set& request_;
    std::string digest_;
    std::optional<std::uint64_t> base_version_;
    configuration_head head_;
    std::uint64_t version_{0};
    error last_error_;
    bool committing_{false}; ///< the last call was a commit
    /// Row version of the head in the condition of a commit with an unknown outcome.
    std::optional<std::uint64_t> unresolved_commit_;
};

} // namespace carobfall::internal
