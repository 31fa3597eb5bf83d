#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace carobfall {

/// An IP address and a port, as in "10.0.0.1:7000" or "[::1]:7000".
struct ip_endpoint {
    std::string ip; ///< without brackets
    std::uint16_t port{0};
};

/// Parses an IP address and a port; nullopt for other texts, host names included.
[[nodiscard]] std::optional<ip_endpoint> parse_ip_endpoint(std::string_view text);

/// True for an IP address other than the unspecified one, and a port; port 0 lets the kernel
/// choose.
[[nodiscard]] bool is_ip_endpoint(std::string_view text);

/// True if the port is above 0 as well, as in the address of a peer.
[[nodiscard]] bool is_peer_endpoint(std::string_view text);

} // namespace carobfall
