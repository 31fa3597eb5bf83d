#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <mutex>

namespace carobfall {

/// Limits the retries of unstarted tasks to a share of the first starts plus a small fixed rate, so
/// that retries don't multiply the load of an overloaded region. Thread-safe.
class retry_budget {
public:
    /// `share`: retries per first start; `per_second`: retries allowed without first starts.
    retry_budget(double share, double per_second);

    void add_first_starts(std::uint32_t starts);
    /// Takes up to `wanted` retries and returns the number taken.
    std::uint32_t take(std::uint32_t wanted, absl::Time now);

private:
    const double share_;
    const double per_second_;
    std::mutex mutex_;
    double retries_;
    absl::Time refilled_at_{absl::InfinitePast()};
};

} // namespace carobfall
