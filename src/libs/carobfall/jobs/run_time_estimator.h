#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <string>

namespace carobfall {

/// Expects run times from two sources that are off independently: the declaration, which is off by
/// job, and the measured runs of the route, which say nothing of the job. Averages are kept of the
/// logarithms, because times are off by factors.
class run_time_estimator {
public:
    void record(const std::string& route, absl::Duration declared, absl::Duration run);
    /// The declared time until enough runs were recorded.
    [[nodiscard]] absl::Duration expected(const std::string& route, absl::Duration declared) const;

private:
    struct averages {
        double log_run{0};        ///< of run times in seconds
        double log_correction{0}; ///< of run times against declared ones
        std::size_t runs{0};
    };

    absl::flat_hash_map<std::string, averages> routes_;
};

} // namespace carobfall
