#pragma once

#include <absl/time/time.h>

namespace carobfall {

/// A place where a task could run, as expected from the last report of its agent.
struct data_place {
    absl::Duration wait;       ///< expected wait; 0 if there is room
    absl::Duration room_time;  ///< work that fits into the room left, in time of the full worker
    absl::Duration report_age; ///< age of the report that the wait is computed from
    absl::Duration run;        ///< expected run time there
    absl::Duration losses;     ///< expected delay because of failures and interruptions
    double full_share{0};      ///< share of the capacity near or far that belongs to full workers
};

/// Where a task with data on a rack is placed.
struct data_choice {
    bool near{true};
    /// Near the data: the wait up to which waiting is better than a start elsewhere.
    absl::Duration worthwhile_wait;
};

/// Returns the expected wait plus the growth of the queue that may have happened since the report.
/// Free room delays this growth.
[[nodiscard]] absl::Duration cautious_wait(const data_place& place);

/// Compares a place in the rack of the data (`near`) with one elsewhere (`far`), where the run
/// takes longer. A place where the task is on time is preferred; otherwise the place with the lower
/// sum of wait, run time, losses and delay of other tasks.
///
/// The delay of other tasks is the price of the core time. It is zero where workers have room. If
/// all workers are full, the extra run time far from the data counts once more. If only the rack of
/// the data is full, a task that waits there delays the tasks behind it.
///
/// Load pattern: the rack with the data is full for a while and others have room, or all are full.
/// Without the price, the queue of a rack with much demand grows to the wait that is just as bad as
/// a run elsewhere, and longer runs elsewhere reduce the throughput when all workers are full.
///
/// `expected_run`: run time on a usual worker with the data; `slack`: the task may start this much
/// later there and still meet its objective.
[[nodiscard]] data_choice choose_near_or_far(const data_place& near, const data_place& far,
                                             absl::Duration expected_run, absl::Duration slack);

} // namespace carobfall
