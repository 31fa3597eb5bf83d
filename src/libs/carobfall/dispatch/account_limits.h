#pragma once

#include "carobfall/config/configuration.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <mutex>
#include <string>

namespace carobfall {

/// Returns the account limits that one of `entries` instances enforces. This is an equal share,
/// because submissions are distributed evenly over the entries by hash. Numbers of tasks are
/// rounded up.
[[nodiscard]] account_limit_values limits_per_entry(account_limit_values limits,
                                                    std::uint32_t entries);

/// Counts queued and running tasks per client account and enforces the account's limits: running
/// tasks, start rate, queued tasks, and its weighted fair share of the slots when they are all
/// busy. Thread-safe.
class account_limits {
public:
    /// Adds tasks to the queue. Returns false if that would exceed the account's `queued_tasks`.
    bool enqueue(const std::string& account, const account_limit_values& limits,
                 std::uint32_t tasks);
    /// Changes up to `wanted` tasks from queued to running and returns how many it changed.
    /// `capacity` is the maximum number of running tasks of all accounts at this entry.
    std::uint32_t grant(const std::string& account, const account_limit_values& limits,
                        std::uint32_t wanted, std::uint32_t capacity, absl::Time now);
    /// Removes running tasks that have ended.
    void release(const std::string& account, std::uint32_t tasks);
    /// Changes tasks from running back to queued. `refund_rate` also returns their start rate
    /// tokens; it is set for granted tasks that were not started.
    void requeue(const std::string& account, std::uint32_t tasks, bool refund_rate);
    /// Removes queued tasks that will not run.
    void drop_queued(const std::string& account, std::uint32_t tasks);

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
        absl::Time refilled_at{absl::InfinitePast()};
    };

    static void refill(account_state& state, const account_limit_values& limits, absl::Time now);
    [[nodiscard]] std::uint32_t fair_allowance(const account_state& state,
                                               std::uint32_t capacity) const;

    mutable std::mutex mutex_;
    absl::flat_hash_map<std::string, account_state> accounts_;
};

} // namespace carobfall
