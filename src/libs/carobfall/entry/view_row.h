#pragma once

#include "carobfall/platform/table_service.h"
#include "carobfall/rpc/carobfall.pb.h"

#include <cstdint>
#include <optional>
#include <string>

namespace carobfall {

/// Content of the row `view/<region>`: the latest proposal, which may not be in effect yet.
struct stored_proposal {
    rpc::view_proposal proposal;
    std::uint64_t row_version{0};
};

/// Accesses the row of the table service that orders the views of a region. Thread-safe.
class view_row {
public:
    view_row(table_service& table, std::string_view region);

    [[nodiscard]] const std::string& key() const { return key_; }
    /// Returns nothing if no entry has created a view yet. Errors: those of the table service, and
    /// `internal` if the row is not a valid proposal.
    result<std::optional<stored_proposal>> read();
    /// Writes the proposal if the row still has `expected_version` (0: no row). Errors: those of
    /// `table_service::commit`; after `outcome_unknown` the row has to be read to find out which
    /// proposal was written.
    result<void> replace(const rpc::view_proposal& proposal, std::uint64_t expected_version);

private:
    table_service& table_;
    const std::string key_;
};

} // namespace carobfall
