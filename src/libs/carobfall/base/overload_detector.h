#pragma once

#include <absl/time/time.h>

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace carobfall {

enum class overload_state {
    normal,
    overloaded,       ///< takes no new connections
    overloaded_ready, ///< takes new connections, because its budget is spent
};

[[nodiscard]] std::string_view name_of(overload_state state);

/// Delays that a process has measured on its own event loop.
struct loop_sample {
    absl::Duration lateness; ///< how much later than due a timer ran
    absl::Duration turn;     ///< how long the work took that was ready before a new item
};

/// A change of the state with what decided it.
struct overload_change {
    overload_state state{overload_state::normal};
    absl::Duration lag;
    absl::Duration high_for;       ///< how long the lag has been high, without settling times
    absl::Duration overloaded_for; ///< since the overload was detected
    absl::Duration budget;         ///< time left in which the process may be not ready
};

/// Detects from the lag of its event loop that a process has more work than it can do, so that
/// callers should use another instance.
///
/// The lag has to stay high between several samples. A processor quota alone keeps it below the
/// limit, and a pause shows in one sample. Later samples count only when the process has had time
/// to do what arrived during the pause, or to fill its caches after a restart.
///
/// The time in which the process is not ready is limited by a budget that refills slowly: over any
/// span of more than 30 s it is less than an eighth. If all instances are overloaded, none can take
/// the load of the others.
///
/// Load patterns: an instance that becomes several times slower for some seconds, and peaks of
/// demand that differ between instances.
class overload_detector {
public:
    /// Returns the change of the state, if there is one. The process calls this at least ten times
    /// per second unless it is late.
    std::optional<overload_change> observe(const loop_sample& sample, absl::Time now);

    [[nodiscard]] bool is_overloaded() const { return state_ != overload_state::normal; }
    /// Whether the process may get new connections.
    [[nodiscard]] bool is_ready(absl::Time now) const;
    /// Whether the lag takes more time than a new job has. `slack`: time that its tasks may wait.
    [[nodiscard]] bool refuses(absl::Duration slack) const
    {
        return is_overloaded() && slack < lag();
    }
    /// Median of the last samples, so that one pause does not count.
    [[nodiscard]] absl::Duration lag() const;
    /// Time left in which the process may be not ready.
    [[nodiscard]] absl::Duration budget(absl::Time now) const;
    /// Time of the last sample.
    [[nodiscard]] absl::Time observed_at() const { return observed_at_; }

private:
    void record(absl::Duration lag, absl::Time now);
    [[nodiscard]] overload_state next_state(absl::Duration lag, absl::Time now) const;

    static constexpr std::size_t history_size = 3;

    overload_state state_{overload_state::normal};
    std::array<absl::Duration, history_size> lags_{};
    std::size_t next_lag_{0};
    absl::Time observed_at_{absl::InfinitePast()};
    absl::Time settled_at_{absl::InfinitePast()};   ///< when the work of a pause is done
    absl::Time high_since_{absl::InfiniteFuture()}; ///< infinite while the lag is not high
    absl::Time calm_since_{absl::InfiniteFuture()}; ///< infinite while the lag is not low
    absl::Time overloaded_since_{absl::InfiniteFuture()};
    absl::Duration budget_; ///< at `observed_at_`
};

} // namespace carobfall
