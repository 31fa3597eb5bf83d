#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <string>

namespace carobfall {

/// Estimates run times from two sources with independent errors: the declaration, whose error
/// differs by job, and the measured runs of the route, which do not depend on the job. Averages are
/// taken of logarithms, because the errors are factors.
class run_time_estimator {
public:
    void record(const std::string& route, absl::Duration declared, absl::Duration run);
    /// Returns the declared time until enough runs of the route were recorded.
    [[nodiscard]] absl::Duration expected(const std::string& route, absl::Duration declared) const;

private:
    struct averages {
        double log_run{0};        ///< average logarithm of run times in seconds
        double log_correction{0}; ///< average logarithm of run time / declared time
        std::size_t runs{0};
    };

    absl::flat_hash_map<std::string, averages> routes_;
};

} // namespace carobfall
