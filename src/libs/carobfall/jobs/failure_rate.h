#pragma once

#include <absl/time/time.h>

namespace carobfall {

/// Share of the latest runs of a worker that failed. Detects workers that fail every run at once
/// and therefore always seem to have room. Failures lose their weight with time, so that a worker
/// that has recovered gets work again within seconds.
class failure_rate {
public:
    void record(bool failed, absl::Time now);
    [[nodiscard]] double share(absl::Time now) const;

private:
    double average_{0};
    absl::Time recorded_at_{absl::InfinitePast()};
};

} // namespace carobfall
