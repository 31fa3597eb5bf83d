#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace carobfall {

/// Parses an address of the form "10.0.0.1:8080". Returns no value if it is malformed.
[[nodiscard]] std::optional<boost::asio::ip::tcp::endpoint> parse_endpoint(std::string_view text);

/// Returns the IP address in "10.0.0.1:8080", or the whole text if there is no port.
[[nodiscard]] std::string_view ip_of(std::string_view address);

} // namespace carobfall
