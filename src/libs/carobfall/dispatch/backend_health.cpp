#include "carobfall/dispatch/backend_health.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace carobfall {
namespace {

// Random jitter as a share of each backoff, so that entries don't probe at the same time.
constexpr double jitter_share = 0.2;

// A probe without a result prevents the next probe for this time. Most tasks take less than one
// second.
constexpr absl::Duration probe_timeout = absl::Seconds(3);

constexpr std::array<std::string_view, failure_kind_count> kind_names{"refused", "failed",
                                                                      "timed_out", "fast_failure"};

} // namespace

std::string_view name_of(failure_kind kind)
{
    return kind_names.at(static_cast<std::size_t>(kind));
}

backoff_table default_backoff_table()
{
    // The first steps are zero, because a single failed or late task doesn't show that the backend
    // server is faulty.
    const backoff_steps refused{absl::Milliseconds(50), absl::Milliseconds(200),
                                absl::Milliseconds(500), absl::Seconds(1), absl::Seconds(2)};
    const backoff_steps failed{absl::ZeroDuration(), absl::ZeroDuration(), absl::Milliseconds(200),
                               absl::Milliseconds(500), absl::Seconds(2)};
    const backoff_steps timed_out{absl::ZeroDuration(), absl::Milliseconds(500), absl::Seconds(1),
                                  absl::Seconds(3)};
    const backoff_steps fast{absl::ZeroDuration(), absl::Milliseconds(200), absl::Seconds(1),
                             absl::Seconds(5)};
    return {refused, failed, timed_out, fast};
}

backend_health::backend_health(backoff_table steps, random_source random)
    : steps_(std::move(steps)), random_(std::move(random))
{}

void backend_health::record_failure(const std::string& agent, failure_kind kind, absl::Time now)
{
    const backoff_steps& steps = steps_.at(static_cast<std::size_t>(kind));
    const std::lock_guard lock(mutex_);
    backend_state& backend = backends_[agent];
    backend.probe_since = absl::InfinitePast();
    kind_state& state = backend.kinds.at(static_cast<std::size_t>(kind));
    if (steps.empty() || now < state.backoff_until) {
        return;
    }
    const absl::Duration step = steps[std::min(state.failures, steps.size() - 1)];
    ++state.failures;
    if (step > absl::ZeroDuration()) {
        state.backoff_until = now + with_jitter(step);
    }
}

void backend_health::record_success(const std::string& agent)
{
    const std::lock_guard lock(mutex_);
    backends_.erase(agent);
}

void backend_health::release_probe(const std::string& agent)
{
    const std::lock_guard lock(mutex_);
    const auto found = backends_.find(agent);
    if (found != backends_.end()) {
        found->second.probe_since = absl::InfinitePast();
    }
}

backend_permission backend_health::permission(const std::string& agent, absl::Time now) const
{
    const std::lock_guard lock(mutex_);
    const auto found = backends_.find(agent);
    if (found == backends_.end() || !found->second.in_backoff()) {
        return backend_permission::allowed;
    }
    const backend_state& backend = found->second;
    if (now < backend.backoff_until() || now < backend.probe_since + probe_timeout) {
        return backend_permission::denied;
    }
    return backend_permission::probe;
}

backend_backoff backend_health::backoff(const std::string& agent, absl::Time now) const
{
    const std::lock_guard lock(mutex_);
    const auto found = backends_.find(agent);
    if (found == backends_.end() || !found->second.in_backoff()) {
        return {absl::ZeroDuration(), std::nullopt};
    }
    const auto& kinds = found->second.kinds;
    const auto longest =
        std::max_element(kinds.begin(), kinds.end(), [](const auto& left, const auto& right) {
            return left.backoff_until < right.backoff_until;
        });
    return {std::max(absl::ZeroDuration(), longest->backoff_until - now),
            static_cast<failure_kind>(longest - kinds.begin())};
}

bool backend_health::take_probe(const std::string& agent, absl::Time now)
{
    const std::lock_guard lock(mutex_);
    const auto found = backends_.find(agent);
    if (found == backends_.end() || !found->second.in_backoff()) {
        return true;
    }
    backend_state& backend = found->second;
    if (now < backend.backoff_until() || now < backend.probe_since + probe_timeout) {
        return false;
    }
    backend.probe_since = now;
    return true;
}

std::uint32_t backend_health::retry_now(const std::string& agent)
{
    const std::lock_guard lock(mutex_);
    const auto cleared = absl::erase_if(backends_, [&](const auto& item) {
        return item.second.in_backoff() && (agent.empty() || item.first == agent);
    });
    return static_cast<std::uint32_t>(cleared);
}

absl::Time backend_health::backend_state::backoff_until() const
{
    absl::Time until = absl::InfinitePast();
    for (const kind_state& kind : kinds) {
        until = std::max(until, kind.backoff_until);
    }
    return until;
}

bool backend_health::backend_state::in_backoff() const
{
    return backoff_until() != absl::InfinitePast();
}

absl::Duration backend_health::with_jitter(absl::Duration step) const
{
    const double unit = static_cast<double>(random_()) /
                        static_cast<double>(std::numeric_limits<std::uint64_t>::max());
    return step * (1 + jitter_share * (2 * unit - 1));
}

} // namespace carobfall
