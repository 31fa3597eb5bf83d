#pragma once

#include <absl/time/time.h>

#include <string>

namespace carobfall {

/// True only if a TCP connection to `address` (IPv4 or [IPv6] and port) is refused (ECONNREFUSED),
/// so that no process listens there. A time-out or any other error says nothing and gives false.
[[nodiscard]] bool connection_refused(const std::string& address, absl::Duration limit);

} // namespace carobfall
