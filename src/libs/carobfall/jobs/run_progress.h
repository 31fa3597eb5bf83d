#pragma once

#include <absl/time/time.h>

#include <optional>

namespace carobfall {

/// Progress of a run, as reported by its worker.
struct run_progress {
    absl::Time ordered_at;
    absl::Duration expected_run;
    absl::Time give_up; ///< no caller waits for the end after this time
    int percent_done{0};
};

/// Returns the predicted total run time if the run proceeds at the same rate, or nothing while
/// there is too little progress to predict it.
[[nodiscard]] std::optional<absl::Duration> predicted_run(const run_progress& run, absl::Time now);

/// Whether the run should be stopped because it would end after its caller has left. Detects
/// workers that hang or have become slow, so that another worker may finish the task in time, and
/// tasks far longer than declared, so that the caller gets its answer earlier.
[[nodiscard]] bool ends_too_late(const run_progress& run, absl::Time now);

} // namespace carobfall
