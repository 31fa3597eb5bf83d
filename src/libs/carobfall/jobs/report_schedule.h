#pragma once

#include <absl/time/time.h>

#include <cstddef>

namespace carobfall {

/// Decides when the agent requests a report from its worker. The worker delays its answer until a
/// run ends, so that successive reports show every end at once.
///
/// If a worker leaves a share of all calls unanswered, a report that is outstanding for longer than
/// usual is requested again in parallel while runs are on the worker. Otherwise the agent would get
/// no reports for the whole timeout of a call after every lost answer: half of the time with one
/// lost answer in twenty.
class report_schedule {
public:
    [[nodiscard]] bool is_due(bool has_runs, absl::Time now) const;
    /// Interval at which `is_due` is to be checked if nothing has changed.
    [[nodiscard]] static absl::Duration interval();
    void on_requested(absl::Time now);
    void on_ended();
    /// Returns whether a report that was requested at `requested_at` is later than those accepted
    /// before, and accepts it. Reports may overtake each other; each lists everything that was not
    /// acknowledged when it was requested.
    bool accept(absl::Time requested_at);

private:
    std::size_t outstanding_{0};
    absl::Time requested_at_{absl::InfinitePast()};
    absl::Time last_accepted_{absl::InfinitePast()}; ///< request time of the last accepted report
};

} // namespace carobfall
