#pragma once

#include <absl/time/time.h>

#include <cstddef>

namespace carobfall {

/// Decides when the agent requests a report from its worker. The worker delays its answer until a
/// run ends, so that every end is reported without delay.
///
/// While the worker has runs, a report that is outstanding for longer than usual is requested again
/// in parallel. Otherwise, if the worker leaves a share of all calls unanswered, the agent would
/// get no report for the timeout of a call after every lost answer: half of the time with one lost
/// answer in twenty.
class report_schedule {
public:
    /// `doubted_since`: start of the doubt that the worker answers, infinitely past if there is
    /// none. A report is then due at once.
    [[nodiscard]] bool is_due(bool has_runs, absl::Time doubted_since, absl::Time now) const;
    /// Interval at which `is_due` is to be checked if nothing has changed.
    [[nodiscard]] static absl::Duration interval();
    void on_requested(absl::Time now);
    void on_ended();
    /// Accepts a report if it was requested later (`requested_at`) than all accepted ones.
    /// Otherwise returns false. Reports may overtake each other, and each lists everything that was
    /// not acknowledged when it was requested.
    bool accept(absl::Time requested_at);

private:
    std::size_t outstanding_{0};
    absl::Time requested_at_{absl::InfinitePast()};
    absl::Time last_accepted_{absl::InfinitePast()}; ///< request time of the last accepted report
};

} // namespace carobfall
