#pragma once

#include <absl/time/time.h>

#include <algorithm>

namespace carobfall::testing {

/// Token bucket that holds a tenth of a second's requests.
class rate_limit {
public:
    bool take(double per_second, absl::Time now)
    {
        const double capacity = per_second > 0 ? std::max(1.0, per_second / 10) : 0;
        tokens_ = std::min(capacity, tokens_ + per_second * absl::ToDoubleSeconds(now - last_));
        last_ = now;
        if (tokens_ < 1) {
            return false;
        }
        tokens_ -= 1;
        return true;
    }

private:
    double tokens_{0};
    absl::Time last_{absl::UnixEpoch()};
};

} // namespace carobfall::testing
