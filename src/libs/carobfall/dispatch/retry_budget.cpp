#include "carobfall/dispatch/retry_budget.h"

#include <algorithm>

namespace carobfall {
namespace {

// Maximum number of accumulated retries: enough to place one job of the maximum size again.
constexpr double max_saved_retries = 1000;

} // namespace

retry_budget::retry_budget(double share, double per_second)
    : share_(share), per_second_(per_second), retries_(per_second)
{}

void retry_budget::add_first_starts(std::uint32_t starts)
{
    const std::lock_guard lock(mutex_);
    retries_ = std::min(max_saved_retries, retries_ + share_ * starts);
}

std::uint32_t retry_budget::take(std::uint32_t wanted, absl::Time now)
{
    const std::lock_guard lock(mutex_);
    if (refilled_at_ != absl::InfinitePast()) {
        const double elapsed = std::max(0.0, absl::ToDoubleSeconds(now - refilled_at_));
        // The fixed rate accumulates at most one second of retries.
        retries_ = std::max(retries_, std::min(per_second_, retries_ + elapsed * per_second_));
    }
    refilled_at_ = now;
    const auto taken = std::min(wanted, static_cast<std::uint32_t>(retries_));
    retries_ -= taken;
    return taken;
}

} // namespace carobfall
