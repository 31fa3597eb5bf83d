#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace carobfall {

/// An IP number and a port, as in "10.0.0.1:7000" or "[::1]:7000".
struct ip_endpoint {
    std::string ip; ///< without brackets
    std::uint16_t port{0};
};

/// Nothing unless the text is an IP number and a port. Host names are refused.
[[nodiscard]] std::optional<ip_endpoint> parse_ip_endpoint(std::string_view text);

/// An IP number other than the unspecified one, and a port; port 0 lets the kernel choose.
[[nodiscard]] bool is_ip_endpoint(std::string_view text);

/// The same with a port above 0: the address of a peer.
[[nodiscard]] bool is_peer_endpoint(std::string_view text);

} // namespace carobfall
