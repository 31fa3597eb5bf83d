#include "carobfall/base/pause_detector.h"

#include <utility>

namespace carobfall {

void pause_detector::observe(absl::Time now)
{
    if (now - std::exchange(observed_at_, now) >= shortest_pause_) {
        resumed_at_ = now;
    }
}

} // namespace carobfall
