#include "carobfall/dispatch/run_times.h"

#include <algorithm>

namespace carobfall {
namespace {

// Minimum weight of a run in the moving average. With it, the average follows a change within about
// 20 tasks. While there are fewer runs, all have the same weight, because the first one may be a
// straggler.
constexpr double min_weight = 0.05;

// Minimum number of runs for an estimate that counts as measured. With fewer runs, the declared run
// time still has a weight of 1/10 or more.
constexpr std::size_t min_measured_runs = 10;

// Time without new runs after which an average is discarded. Otherwise, an average that makes
// admission refuse all tasks of the template would never be corrected by new runs.
constexpr absl::Duration average_validity = absl::Seconds(60);

} // namespace

void run_times::record(const std::string& account, const std::string& template_name,
                       absl::Duration declared, absl::Duration run, absl::Time now)
{
    const std::lock_guard lock(mutex_);
    const template_key key{account, template_name};
    if (!averages_.contains(key)) {
        evict_oldest_locked();
    }
    average& kept = averages_[key];
    const bool expired = kept.recorded_at + average_validity <= now;
    if (kept.runs == 0 || expired || kept.declared != declared) {
        kept = {.run = declared, .declared = declared, .runs = 0, .recorded_at = now};
    }
    ++kept.runs;
    kept.run += std::max(min_weight, 1.0 / static_cast<double>(kept.runs + 1)) * (run - kept.run);
    kept.recorded_at = std::max(kept.recorded_at, now);
}

run_estimate run_times::expected(const std::string& account, const std::string& template_name,
                                 absl::Duration declared, absl::Time now) const
{
    const std::lock_guard lock(mutex_);
    const auto found = averages_.find(template_key{account, template_name});
    if (found == averages_.end() || found->second.declared != declared ||
        found->second.recorded_at + average_validity <= now) {
        return {.run = declared};
    }
    return {.run = found->second.run, .is_measured = found->second.runs >= min_measured_runs};
}

std::size_t run_times::size() const
{
    const std::lock_guard lock(mutex_);
    return averages_.size();
}

void run_times::evict_oldest_locked()
{
    if (averages_.size() < max_templates_ || averages_.empty()) {
        return;
    }
    averages_.erase(std::min_element(averages_.begin(), averages_.end(),
                                     [](const auto& one, const auto& other) {
                                         return one.second.recorded_at < other.second.recorded_at;
                                     }));
}

} // namespace carobfall
