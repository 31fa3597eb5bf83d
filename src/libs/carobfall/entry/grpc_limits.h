#pragma once

namespace carobfall {

/// Largest message between entries: the claims of an entry, or a snapshot of the configuration.
inline constexpr int max_message_bytes = 64 * 1024 * 1024;

/// Connections are probed this often, so that a broken path without a reset is noticed.
inline constexpr int keepalive_interval_ms = 5000;
inline constexpr int keepalive_timeout_ms = 2000;

/// A server closes connections that are probed more often than this.
inline constexpr int min_keepalive_interval_ms = 1000;

} // namespace carobfall
