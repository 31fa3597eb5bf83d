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
    refused,      ///< it took no connection, or its agent calls it unavailable
    failed,       ///< it answered with an error
    timed_out,    ///< it gave no answer in time
    fast_failure, ///< it failed much faster than a task takes, so that it attracts more tasks
};

inline constexpr std::size_t failure_kind_count = 4;

[[nodiscard]] std::string_view name_of(failure_kind kind);

/// Pauses after one, two, three ... failures in a row; the last one repeats.
using backoff_steps = std::vector<absl::Duration>;

/// Steps of each kind, in the order of `failure_kind`.
using backoff_table = std::array<backoff_steps, failure_kind_count>;

[[nodiscard]] backoff_table default_backoff_table();

/// Whether a backend server may get tasks.
enum class backend_permission { open, probe, closed };

/// Why and for how long a backend server gets no tasks.
struct backend_backoff {
    absl::Duration remaining;         ///< zero if it gets tasks, or waits for the result of a probe
    std::optional<failure_kind> kind; ///< of the longest pause; nothing without a backoff
};

/// Backoff of backend servers, keyed by agent name and failure kind. After a pause a backend
/// server gets one probe at a time until a task succeeds. Thread-safe.
class backend_health {
public:
    backend_health(backoff_table steps, random_source random);

    /// Failures during a pause are taken as part of the one that caused it.
    void record_failure(const std::string& agent, failure_kind kind, absl::Time now);
    void record_success(const std::string& agent);
    /// The probe ended without saying anything about the backend server.
    void release_probe(const std::string& agent);

    [[nodiscard]] backend_permission permission(const std::string& agent, absl::Time now) const;
    [[nodiscard]] backend_backoff backoff(const std::string& agent, absl::Time now) const;
    /// Reserves the probe. False if another one is under way.
    bool take_probe(const std::string& agent, absl::Time now);

    /// Clears the backoff of the agent, or of all if the name is empty. Returns how many had one.
    std::uint32_t retry_now(const std::string& agent);

private:
    struct kind_state {
        std::size_t failures{0};
        absl::Time closed_until{absl::InfinitePast()};
    };
    struct backend_state {
        std::array<kind_state, failure_kind_count> kinds;
        absl::Time probe_since{absl::InfinitePast()};

        [[nodiscard]] absl::Time closed_until() const;
        [[nodiscard]] bool in_backoff() const;
    };

    absl::Duration with_jitter(absl::Duration step) const;

    const backoff_table steps_;
    const random_source random_;
    mutable std::mutex mutex_;
    absl::flat_hash_map<std::string, backend_state> backends_;
};

} // namespace carobfall
