#include "carobfall/base/overload_detector.h"

#include <algorithm>
#include <utility>

namespace carobfall {
namespace {

// A processor quota pauses a process for up to 100 ms at a time.
constexpr absl::Duration high_lag = absl::Milliseconds(160);
constexpr absl::Duration calm_lag = absl::Milliseconds(120);
// A pause that a process with a quota of a tenth of a core makes up for in less time is no
// overload.
constexpr absl::Duration high_time = absl::Milliseconds(500);
constexpr absl::Duration calm_time = absl::Seconds(1);
// A first long lag after low ones is a pause: queues grow over several samples.
constexpr absl::Duration shortest_pause = absl::Milliseconds(500);
constexpr absl::Duration settling_time = absl::Seconds(1);
constexpr absl::Duration max_budget = absl::Seconds(3);
// Time after which one unit of the budget is refilled. Over a span s the process is not ready for
// at most max_budget + s / 40, which is less than s / 8 from 30 s on.
constexpr std::int64_t refill_divisor = 40;
// The load balancer checks once per second and sends no new connections after two misses. A shorter
// time has no effect.
constexpr absl::Duration least_useful_budget = absl::Seconds(2);

} // namespace

std::string_view name_of(overload_state state)
{
    constexpr std::array<std::string_view, 3> names = {"normal", "overloaded", "overloaded_ready"};
    return names.at(static_cast<std::size_t>(state));
}

bool overload_detector::is_ready(absl::Time now) const
{
    return state_ != overload_state::overloaded || budget(now) <= absl::ZeroDuration();
}

absl::Duration overload_detector::lag() const
{
    auto sorted = lags_;
    std::sort(sorted.begin(), sorted.end());
    return sorted[history_size / 2];
}

absl::Duration overload_detector::budget(absl::Time now) const
{
    const absl::Duration elapsed = now - observed_at_;
    if (state_ == overload_state::overloaded) {
        return std::max(budget_ - elapsed, absl::ZeroDuration());
    }
    return std::min(budget_ + elapsed / refill_divisor, max_budget);
}

void overload_detector::record(absl::Duration lag, absl::Time now)
{
    const bool first = observed_at_ == absl::InfinitePast();
    const bool was_calm = calm_since_ != absl::InfiniteFuture();
    if (first || (was_calm && lag >= shortest_pause)) {
        settled_at_ = now + settling_time;
    }
    budget_ = budget(now);
    observed_at_ = now;
    lags_[next_lag_] = lag;
    next_lag_ = (next_lag_ + 1) % history_size;
    if (lag >= high_lag) {
        // The sample itself doesn't count, because its lag may be a pause.
        high_since_ = std::min(high_since_, std::max(now, settled_at_));
    }
    if (lag < calm_lag) {
        high_since_ = absl::InfiniteFuture();
        calm_since_ = std::min(calm_since_, now);
    } else {
        calm_since_ = absl::InfiniteFuture();
    }
}

overload_state overload_detector::next_state(absl::Duration lag, absl::Time now) const
{
    if (!is_overloaded() && (lag < high_lag || now - high_since_ < high_time)) {
        return overload_state::normal;
    }
    if (is_overloaded() && now - calm_since_ >= calm_time) {
        return overload_state::normal;
    }
    const absl::Duration needed =
        state_ == overload_state::overloaded ? absl::Nanoseconds(1) : least_useful_budget;
    return budget_ >= needed ? overload_state::overloaded : overload_state::overloaded_ready;
}

std::optional<overload_change> overload_detector::observe(const loop_sample& sample, absl::Time now)
{
    // A pause that falls between the two measurements is in only one of them.
    const absl::Duration lag = std::max(sample.lateness, sample.turn);
    record(lag, now);
    const overload_state next = next_state(lag, now);
    if (next == state_) {
        return std::nullopt;
    }
    if (!is_overloaded()) {
        overloaded_since_ = now;
    }
    state_ = next;
    return overload_change{state_, lag, std::max(now - high_since_, absl::ZeroDuration()),
                           now - overloaded_since_, budget_};
}

} // namespace carobfall
