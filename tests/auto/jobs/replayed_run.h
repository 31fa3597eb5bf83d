#pragma once

#include "carobfall/jobs/worker_orders.h"

#include <absl/time/time.h>

#include <algorithm>

namespace carobfall {

/// Speed of a worker over time.
struct worker_pace {
    double slowness{1};
    double slow_factor{1};
    absl::Time slow_from;
    absl::Time slow_until;

    /// Work that is done between two times.
    [[nodiscard]] absl::Duration done(absl::Time from, absl::Time until) const
    {
        const absl::Duration slow =
            std::max(std::min(until, slow_until) - std::max(from, slow_from), absl::ZeroDuration());
        return (until - from - slow + slow / slow_factor) / slowness;
    }
    /// Time at which work that starts at `from` ends.
    [[nodiscard]] absl::Time end_of(absl::Duration work, absl::Time from) const
    {
        const absl::Duration before = done(from, std::max(from, slow_from));
        if (work <= before || from >= slow_until) {
            return from + work * slowness;
        }
        const absl::Duration within = done(from, slow_until);
        return work <= within ? std::max(from, slow_from) + (work - before) * slowness * slow_factor
                              : slow_until + (work - within) * slowness;
    }
};

struct replayed_run {
    task_run task;
    absl::Time started;
    absl::Duration work;
    worker_pace pace;

    [[nodiscard]] active_run at(absl::Time now) const
    {
        const double share = absl::FDivDuration(pace.done(started, std::max(started, now)), work);
        return {task, static_cast<int>(100 * std::clamp(share, 0.0, 1.0))};
    }
};

} // namespace carobfall
