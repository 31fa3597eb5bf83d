#pragma once

#include "carobfall/config/configuration.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <mutex>
#include <string>

namespace carobfall {

/// The part of an account's limits that one of `entries` instances applies. Submissions are spread
/// evenly over the entries by hash, so each applies an equal part, rounded up.
[[nodiscard]] account_limit_values limits_per_entry(account_limit_values limits,
                                                    std::uint32_t entries);

/// Counts queued and running tasks per client account and applies its limits: running tasks, start
/// rate, queued tasks, and the weighted share of the slots when they are all busy. Thread-safe.
class account_limits {
public:
    /// Takes tasks into the queue. False if the account's queue would become too long.
    bool enter(const std::string& account, const account_limit_values& limits, std::uint32_t tasks);
    /// Moves up to `wanted` queued tasks to the running ones and returns how many. `capacity` is
    /// the number of slots that all accounts share at this entry.
    std::uint32_t grant(const std::string& account, const account_limit_values& limits,
                        std::uint32_t wanted, std::uint32_t capacity, absl::Time now);
    /// Running tasks have ended.
    void release(const std::string& account, std::uint32_t tasks);
    /// Running tasks go back to the queue: granted ones that were not started have their start
    /// rate refunded.
    void requeue(const std::string& account, std::uint32_t tasks, bool refund_rate);
    /// Queued tasks are given up.
    void leave(const std::string& account, std::uint32_t tasks);

    [[nodiscard]] std::uint32_t running(const std::string& account) const;
    [[nodiscard]] std::uint32_t queued(const std::string& account) const;
    /// Queued tasks of all accounts.
    [[nodiscard]] std::uint32_t queued() const;

private:
    struct account_state {
        std::uint32_t running{0};
        std::uint32_t queued{0};
        double weight{1};
        double rate_tokens{0};
        absl::Time tokens_at{absl::InfinitePast()};
    };

    static void refill(account_state& state, const account_limit_values& limits, absl::Time now);
    [[nodiscard]] std::uint32_t fair_allowance(const account_state& state,
                                               std::uint32_t capacity) const;

    mutable std::mutex mutex_;
    absl::flat_hash_map<std::string, account_state> accounts_;
};

} // namespace carobfall
