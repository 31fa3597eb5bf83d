#pragma once

#include <absl/time/time.h>

#include <optional>

namespace carobfall {

/// A run as its worker reports it.
struct run_progress {
    absl::Time ordered_at;
    absl::Duration expected_run;
    absl::Time give_up; ///< nobody waits for the end after it
    int percent_done{0};
};

/// The whole run time if the run goes on as before. Nothing as long as too little is seen.
[[nodiscard]] std::optional<absl::Duration> predicted_run(const run_progress& run, absl::Time now);

/// Whether the run should be stopped because it would end after its caller has left. Answers
/// workers that hang or have turned slow, where another worker may still end the task in time, and
/// tasks that are far longer than declared, whose caller is told at once.
[[nodiscard]] bool ends_too_late(const run_progress& run, absl::Time now);

} // namespace carobfall
