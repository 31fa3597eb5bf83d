#include "carobfall/dispatch/account_limits.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace carobfall {
namespace {

// Capacity of the token bucket that limits the start rate: the tokens of this many seconds, but at
// least `min_burst_starts`.
constexpr double burst_seconds = 1;
constexpr double min_burst_starts = 1;

constexpr double min_weight = 0.001;

} // namespace

account_limit_values limits_per_entry(account_limit_values limits, std::uint32_t entries)
{
    const std::uint32_t parts = std::max<std::uint32_t>(1, entries);
    limits.concurrent_tasks = (limits.concurrent_tasks + parts - 1) / parts;
    limits.queued_tasks = (limits.queued_tasks + parts - 1) / parts;
    limits.starts_per_second /= parts;
    return limits;
}

bool account_limits::enqueue(const std::string& account, const account_limit_values& limits,
                             std::uint32_t tasks)
{
    const std::lock_guard lock(mutex_);
    account_state& state = accounts_[account];
    state.weight = std::max(min_weight, limits.weight);
    if (limits.queued_tasks != 0 && state.queued + tasks > limits.queued_tasks) {
        return false;
    }
    state.queued += tasks;
    return true;
}

std::uint32_t account_limits::grant(const std::string& account, const account_limit_values& limits,
                                    std::uint32_t wanted, std::uint32_t capacity, absl::Time now)
{
    const std::lock_guard lock(mutex_);
    account_state& state = accounts_[account];
    state.weight = std::max(min_weight, limits.weight);
    std::uint32_t granted = std::min(wanted, state.queued);
    if (limits.concurrent_tasks != 0) {
        const std::uint32_t free =
            limits.concurrent_tasks - std::min(limits.concurrent_tasks, state.running);
        granted = std::min(granted, free);
    }
    if (limits.starts_per_second > 0) {
        refill(state, limits, now);
        granted = std::min(granted, static_cast<std::uint32_t>(state.rate_tokens));
    }
    granted = std::min(granted, fair_allowance(state, capacity));
    if (limits.starts_per_second > 0) {
        state.rate_tokens -= granted;
    }
    state.queued -= granted;
    state.running += granted;
    return granted;
}

void account_limits::release(const std::string& account, std::uint32_t tasks)
{
    const std::lock_guard lock(mutex_);
    account_state& state = accounts_[account];
    state.running -= std::min(tasks, state.running);
}

void account_limits::requeue(const std::string& account, std::uint32_t tasks, bool refund_rate)
{
    const std::lock_guard lock(mutex_);
    account_state& state = accounts_[account];
    state.running -= std::min(tasks, state.running);
    state.queued += tasks;
    state.rate_tokens += refund_rate ? tasks : 0;
}

void account_limits::drop_queued(const std::string& account, std::uint32_t tasks)
{
    const std::lock_guard lock(mutex_);
    account_state& state = accounts_[account];
    state.queued -= std::min(tasks, state.queued);
}

std::uint32_t account_limits::running(const std::string& account) const
{
    const std::lock_guard lock(mutex_);
    const auto found = accounts_.find(account);
    return found == accounts_.end() ? 0 : found->second.running;
}

std::uint32_t account_limits::queued(const std::string& account) const
{
    const std::lock_guard lock(mutex_);
    const auto found = accounts_.find(account);
    return found == accounts_.end() ? 0 : found->second.queued;
}

std::uint32_t account_limits::queued() const
{
    const std::lock_guard lock(mutex_);
    std::uint32_t total = 0;
    for (const auto& [name, state] : accounts_) {
        total += state.queued;
    }
    return total;
}

void account_limits::refill(account_state& state, const account_limit_values& limits,
                            absl::Time now)
{
    const double burst = std::max(min_burst_starts, limits.starts_per_second * burst_seconds);
    if (state.refilled_at == absl::InfinitePast()) {
        state.rate_tokens = burst;
    } else {
        const double elapsed = std::max(0.0, absl::ToDoubleSeconds(now - state.refilled_at));
        state.rate_tokens = std::min(burst, state.rate_tokens + elapsed * limits.starts_per_second);
    }
    state.refilled_at = now;
}

// Weighted max-min fairness: what an account doesn't use of its share is divided among the others.
std::uint32_t account_limits::fair_allowance(const account_state& state,
                                             std::uint32_t capacity) const
{
    struct demand {
        double tasks;
        double weight;
    };
    std::vector<demand> demands;
    double wanted = 0;
    double weights = 0;
    for (const auto& [name, other] : accounts_) {
        const double tasks = static_cast<double>(other.running) + other.queued;
        if (tasks > 0) {
            demands.push_back({tasks, other.weight});
            wanted += tasks;
            weights += other.weight;
        }
    }
    double left = capacity;
    if (wanted <= left || weights <= 0) {
        return state.queued;
    }
    std::sort(demands.begin(), demands.end(), [](const demand& one, const demand& other) {
        return one.tasks * other.weight < other.tasks * one.weight;
    });
    double level = left / weights;
    for (const demand& item : demands) {
        level = left / weights;
        if (item.tasks > item.weight * level) {
            break;
        }
        left -= item.tasks;
        weights -= item.weight;
    }
    const auto share = static_cast<std::uint32_t>(std::ceil(state.weight * level));
    return share - std::min(share, state.running);
}

} // namespace carobfall
