#pragma once

namespace carobfall {

/// Maximum message size between entries; the largest messages contain the claims of an entry or a
/// snapshot of the configuration.
inline constexpr int max_message_bytes = 64 * 1024 * 1024;

/// Interval of keepalive probes, which detect broken connections without a TCP reset.
inline constexpr int keepalive_interval_ms = 5000;
inline constexpr int keepalive_timeout_ms = 2000;

/// A server closes connections with a shorter probe interval.
inline constexpr int min_keepalive_interval_ms = 1000;

} // namespace carobfall
