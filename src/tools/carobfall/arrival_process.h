#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <random>

namespace carobfall::tool {

/// Uniform number in [0, 1). The same seed gives the same numbers with every standard library,
/// which std::uniform_real_distribution doesn't guarantee.
[[nodiscard]] double uniform_random(std::mt19937_64& random);

struct arrival_settings {
    double per_second{0};        ///< mean rate of the Poisson arrivals; 0: none
    absl::Duration burst_every;  ///< interval of the bursts, also before the first one
    std::uint32_t burst_size{0}; ///< arrivals at the same time; 0: no bursts
};

/// Poisson arrivals together with periodic bursts. The times don't depend on the answers (open
/// loop), so that a slow system under test gets the same load as a fast one.
class arrival_process {
public:
    arrival_process(const arrival_settings& settings, std::uint64_t seed);

    /// Returns the next arrival as time since the start; arrivals never decrease.
    /// `absl::InfiniteDuration()` if there are no more arrivals.
    absl::Duration next();

private:
    [[nodiscard]] absl::Duration interarrival_time();

    arrival_settings settings_;
    std::mt19937_64 random_;
    absl::Duration next_single_;
    absl::Duration next_burst_;
    std::uint32_t left_in_burst_;
};

} // namespace carobfall::tool
