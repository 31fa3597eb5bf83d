#pragma once

#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace carobfall {

/// An address that nobody has named for this long is forgotten. The store keeps the row of an entry
/// that is gone for 10 minutes; until then the address is named again and again.
inline constexpr absl::Duration address_retention = absl::Minutes(15);

/// Addresses of entries, ip:port, that are or were lately in use. Replaced entries have other
/// addresses, so that a list without an end would grow for the life of the process.
class entry_addresses {
public:
    /// The address is in use as of `now`. True if it was not known.
    bool learn(const std::string& address, absl::Time now);
    /// Removes and returns the addresses that have not been named for `address_retention`.
    std::vector<std::string> forget_old(absl::Time now);

    [[nodiscard]] std::vector<std::string> list() const;
    /// Grows with each address that is added.
    [[nodiscard]] std::uint64_t revision() const { return revision_; }

private:
    std::map<std::string, absl::Time> named_at_; ///< by address
    std::uint64_t revision_{0};
};

} // namespace carobfall
