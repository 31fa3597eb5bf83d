#pragma once

#include "carobfall/base/error.h"

#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace carobfall {

/// One declared row with its canonical YAML (no anchors or aliases). Keys are those of
/// `rpc::configuration_change`, for example "template/dambi/eligibility-check".
struct declared_row {
    std::string key;
    std::string yaml;
    std::uint64_t version{0}; ///< configuration version of the row's last change
};

/// Options of a change.
struct change_options {
    /// Identifies the change. A change that is resubmitted with the same id is applied once.
    std::string change_id;
    /// The change is refused with `conflict` unless the configuration has this version.
    std::optional<std::uint64_t> expected_version{};
    bool dry_run{false}; ///< validate and report only
    /// Keys of accounts and templates that `apply` removes in the same transaction. A row that
    /// doesn't exist counts as unchanged, so that the change can be resubmitted.
    std::vector<std::string> remove{};
};

enum class change_action { unchanged, created, updated, removed };

/// Name used in JSON, for example "created".
[[nodiscard]] std::string_view name_of(change_action action);

/// Effect of a change on one row. A dry run reports the effect that the change would have.
struct row_change {
    std::string key;
    change_action action{change_action::unchanged};
    std::string before; ///< canonical YAML, empty if there was no row
    std::string after;  ///< canonical YAML, empty if there is none now
};

/// Outcome of a change.
struct change_report {
    std::string change_id;
    std::uint64_t version{0}; ///< version with the change; the current one if not committed
    bool committed{false};    ///< stored in the table service
    /// A majority of the entries has the change; an entry without it stops starting tasks.
    bool in_force_everywhere{false};
    std::vector<row_change> rows;
};

struct data_centre_status {
    std::string name;
    bool out{false};
    std::uint32_t agents{0};
    std::uint32_t slots{0};
    std::uint32_t running{0};
};

/// State of a backend server and its agent, as known to this entry.
struct backend_status {
    std::string agent;
    std::string backend_server{};
    std::string data_centre{};
    std::string rack{};
    std::uint32_t slots{0};
    std::uint32_t running{0};
    std::uint32_t queued{0};
    bool available{false};
    bool leaving{false};
    /// Time until the next attempt; zero without backoff, or if the next attempt is a probe.
    absl::Duration backoff;
    std::string backoff_reason{}; ///< kind of the failure; empty if not backed off
};

/// Operations for operators. Implemented by the entry daemon. Thread-safe; calls block for at
/// most a few seconds.
class operator_service {
public:
    virtual ~operator_service() = default;

    /// Errors: `not_found`.
    virtual result<declared_row> find_declaration(const std::string& key) = 0;
    /// Returns all declared rows whose key begins with `prefix`, in key order.
    virtual result<std::vector<declared_row>> list_declarations(const std::string& prefix) = 0;
    /// Version of the configuration in force at this entry.
    virtual std::uint64_t configuration_version() = 0;

    /// Declares the YAML documents and removes the rows of `options.remove`, all or none. The text
    /// may be empty if rows are removed. If `only_key` is not empty, the text must declare exactly
    /// this row.
    /// Errors: `invalid_request` (message with line numbers), `conflict`, `unavailable` (nothing
    /// was changed), `outcome_unknown` (send again with the same change id).
    virtual result<change_report> apply(const std::string& yaml, const std::string& only_key,
                                        const change_options& options) = 0;
    /// Removes a row. Errors: as `apply`, and `not_found`.
    virtual result<change_report> remove(const std::string& key, const change_options& options) = 0;
    /// Takes a data centre out of service or back in. Errors: as `apply`.
    virtual result<change_report> set_data_centre(const std::string& name, bool out,
                                                  const change_options& options) = 0;

    virtual result<std::vector<data_centre_status>> data_centres() = 0;
    virtual result<std::vector<backend_status>> backends() = 0;

    /// Declares that this entry instance is dead and won't return, so that a view without it can
    /// take effect. Errors: `not_found`, `conflict` if it still responds.
    virtual result<void> forget_entry(const std::string& name) = 0;
    /// Clears the backoff of one agent, or of all agents if the name is empty. Returns the number
    /// of agents that were in backoff.
    virtual result<std::uint32_t> retry_now(const std::string& agent) = 0;
};

} // namespace carobfall
