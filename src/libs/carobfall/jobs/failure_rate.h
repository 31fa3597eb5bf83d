#pragma once

#include <absl/time/time.h>

namespace carobfall {

/// Moving average of the share of failed runs of a worker. Detects workers that fail every run
/// immediately and therefore always seem to have room. The weight of failures decays, so that a
/// worker that has recovered gets work again within seconds.
class failure_rate {
public:
    void record(bool failed, absl::Time now);
    [[nodiscard]] double share(absl::Time now) const;

private:
    double average_{0};
    absl::Time recorded_at_{absl::InfinitePast()};
};

} // namespace carobfall
