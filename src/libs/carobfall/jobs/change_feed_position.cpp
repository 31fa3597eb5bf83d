#include "carobfall/jobs/change_feed_position.h"

#include <algorithm>

namespace carobfall {

void change_feed_position::move_to(std::uint64_t version)
{
    value_ = version;
    unsettled_.reset();
}

void change_feed_position::on_no_rows(std::uint64_t version, absl::Time now)
{
    if (unsettled_ && now - unsettled_->answered_at < absl::Milliseconds(feed_settling_ms)) {
        return;
    }
    if (unsettled_) {
        value_ = std::max(value_, unsettled_->version);
    }
    unsettled_ = {version, now};
}

} // namespace carobfall
