#pragma once

#include <absl/time/time.h>

#include <cstddef>

namespace carobfall {

/// Decides when the agent asks its worker for a report. A report that is asked for waits for the
/// end of a run, so that one after the other shows every end at once.
///
/// Answers workers that leave a share of all calls unanswered: while runs are on the worker, a
/// report that is outstanding for longer than usual is asked for again beside it. Without that an
/// agent was blind for the whole limit of a call after every lost answer, half of the time with one
/// lost answer in twenty.
class report_schedule {
public:
    [[nodiscard]] bool is_due(bool has_runs, absl::Time now) const;
    /// Time after which to look again if nothing has changed.
    [[nodiscard]] static absl::Duration interval();
    void on_asked(absl::Time now);
    void on_ended();
    /// Whether a report that was asked for at `asked_at` says more than the latest one taken over.
    /// Reports may overtake each other; each lists all that was not acknowledged before.
    bool take_over(absl::Time asked_at);

private:
    std::size_t outstanding_{0};
    absl::Time asked_at_{absl::InfinitePast()};
    absl::Time taken_over_{absl::InfinitePast()}; ///< when the latest report was asked for
};

} // namespace carobfall
