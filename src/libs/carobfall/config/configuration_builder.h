#pragma once

#include "carobfall/config/configuration.h"
#include "carobfall/rpc/carobfall.pb.h"

#include <map>

namespace carobfall {

/// Prefixes of the keys "account/<client account>" and "template/<client account>/<name>".
inline constexpr std::string_view account_prefix = "account/";
inline constexpr std::string_view template_prefix = "template/";

/// Values of a row "data_centre/<name>". A deleted row means the same as `data_centre_in`.
inline constexpr std::string_view data_centre_out = "out";
inline constexpr std::string_view data_centre_in = "in";

/// Change that stores the bound of a client account, without version and change id.
[[nodiscard]] rpc::configuration_change bound_change(std::string_view account,
                                                     const deadline_bound& bound);

/// Change that takes a data centre out of service or back in, without version and change id.
[[nodiscard]] rpc::configuration_change data_centre_change(const std::string& name, bool out);

/// The change with the canonical text of its value, so that equal declarations have equal values.
/// Errors: `invalid_request` if the value doesn't match the key.
[[nodiscard]] result<rpc::configuration_change>
canonical_change(const rpc::configuration_change& change);

/// Builds configurations from the rows and changes of the table service. The version never
/// decreases: older changes and snapshots are ignored. Not thread-safe.
class configuration_builder {
public:
    [[nodiscard]] std::uint64_t version() const { return current_.version; }

    /// Applies a snapshot or the changes after the current version. Errors: `conflict` if
    /// changes in between are missing, `invalid_request` for a row that can't be read. After an
    /// error the configuration is unchanged.
    result<void> apply(const rpc::push_configuration_request& update);

    /// The configuration at the current version.
    [[nodiscard]] configuration_ptr build() const;

    /// All rows, for an instance that needs changes older than the log of changes.
    [[nodiscard]] rpc::push_configuration_request snapshot() const;

private:
    result<void> apply_change(const rpc::configuration_change& change);

    configuration current_;
    std::map<std::string, rpc::configuration_change> rows_;
};

} // namespace carobfall
