#pragma once

#include "carobfall/dispatch/placement.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace carobfall {

/// How a backend server failed.
enum class failure_kind {
    refused,      ///< it accepted no connection, or its agent reports it unavailable
    failed,       ///< it replied with an error
    timed_out,    ///< it didn't reply in time
    fast_failure, ///< it failed much faster than a task runs, and so attracts more tasks
};

inline constexpr std::size_t failure_kind_count = 4;

[[nodiscard]] std::string_view name_of(failure_kind kind);

/// Backoff after the first, second, ... consecutive failure; the last step repeats.
using backoff_steps = std::vector<absl::Duration>;

/// Steps of each failure kind, in the order of `failure_kind`.
using backoff_table = std::array<backoff_steps, failure_kind_count>;

[[nodiscard]] backoff_table default_backoff_table();

/// Whether a backend server may be sent tasks: any number, a single one as a probe, or none.
enum class backend_permission { allowed, probe, denied };

/// Why and for how long a backend server is sent no tasks.
struct backend_backoff {
    absl::Duration remaining;         ///< zero if there is none, or it has elapsed
    std::optional<failure_kind> kind; ///< kind of the longest backoff, if there is one
};

/// Backoff of backend servers, keyed by agent name and failure kind. Once its backoff has elapsed,
/// a backend server is sent one probe at a time until a task succeeds. Thread-safe.
class backend_health {
public:
    backend_health(backoff_table steps, random_source random);

    /// Ignores failures of the same kind while its backoff lasts.
    void record_failure(const std::string& agent, failure_kind kind, absl::Time now);
    void record_success(const std::string& agent);
    /// Ends a probe whose result doesn't show whether the backend server works.
    void release_probe(const std::string& agent);

    [[nodiscard]] backend_permission permission(const std::string& agent, absl::Time now) const;
    [[nodiscard]] backend_backoff backoff(const std::string& agent, absl::Time now) const;
    /// Reserves the probe if the backend server needs one. Returns false while the backoff lasts or
    /// another probe is in progress.
    bool take_probe(const std::string& agent, absl::Time now);

    /// Clears the backoff of the agent, or of all agents if the name is empty. Returns the number
    /// of agents that had one.
    std::uint32_t retry_now(const std::string& agent);

private:
    struct kind_state {
        std::size_t failures{0};
        absl::Time backoff_until{absl::InfinitePast()};
    };
    struct backend_state {
        std::array<kind_state, failure_kind_count> kinds;
        absl::Time probe_since{absl::InfinitePast()};

        [[nodiscard]] absl::Time backoff_until() const;
        [[nodiscard]] bool in_backoff() const;
    };

    absl::Duration with_jitter(absl::Duration step) const;

    const backoff_table steps_;
    const random_source random_;
    mutable std::mutex mutex_;
    absl::flat_hash_map<std::string, backend_state> backends_;
};

} // namespace carobfall
