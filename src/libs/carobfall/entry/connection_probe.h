#pragma once

#include <absl/time/time.h>

#include <string>

namespace carobfall {

/// Returns true only if a TCP connection to `address` (IPv4 or [IPv6] and port) is refused
/// (ECONNREFUSED), which proves that no process listens there. Returns false after a timeout or any
/// other error, which prove nothing.
[[nodiscard]] bool connection_refused(const std::string& address, absl::Duration timeout);

} // namespace carobfall
