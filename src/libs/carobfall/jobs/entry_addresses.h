#pragma once

#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace carobfall {

/// An address is removed if no received list has contained it for this long. The store keeps the
/// row of an ended entry for 10 minutes, and the lists contain the entry until then.
inline constexpr absl::Duration address_retention = absl::Minutes(15);

/// Addresses of entries (ip:port) that are in use or were in use recently. The replacement of an
/// entry has another address, so that an unbounded list would grow for the lifetime of the process.
class entry_addresses {
public:
    /// Records that the address is in use at `now`. Returns true if it was not in the list.
    bool record(const std::string& address, absl::Time now);
    /// Removes and returns the addresses that have not been recorded for `address_retention`.
    std::vector<std::string> remove_expired(absl::Time now);

    [[nodiscard]] std::vector<std::string> list() const;
    /// Increases with each address that is added.
    [[nodiscard]] std::uint64_t revision() const { return revision_; }

private:
    std::map<std::string, absl::Time> recorded_at_; ///< time of the latest `record`, by address
    std::uint64_t revision_{0};
};

} // namespace carobfall
