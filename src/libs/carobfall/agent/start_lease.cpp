#include "carobfall/agent/start_lease.h"

#include "carobfall/base/strings.h"

#include <algorithm>

namespace carobfall {

bool start_lease::renew(const rpc::beat_reply& reply, absl::Time send_time)
{
    const std::lock_guard lock(mutex_);
    if (!reply.registered() || reply.send_time_us() != absl::ToUnixMicros(send_time) ||
        reply.configuration_version() < configuration_version_) {
        return false;
    }
    // Applied even if the reply grants no lease: a committed configuration stays in force.
    // The reply omits the list if the agent already has this version.
    if (reply.configuration_version() > configuration_version_) {
        configuration_version_ = reply.configuration_version();
        data_centres_out_.clear();
        data_centres_out_.insert(reply.data_centres_out().begin(), reply.data_centres_out().end());
    }

    const absl::Duration validity = std::min(absl::Milliseconds(reply.lease_ms()), max_start_lease);
    const absl::Time until = send_time + validity;
    if (validity == absl::ZeroDuration() || until <= valid_until_) {
        return false;
    }
    valid_until_ = until;
    return true;
}

bool start_lease::is_valid(absl::Time now) const
{
    const std::lock_guard lock(mutex_);
    return now < valid_until_;
}

bool start_lease::is_out(std::string_view data_centre) const
{
    const std::lock_guard lock(mutex_);
    return data_centres_out_.contains(to_absl(data_centre));
}

absl::Time start_lease::valid_until() const
{
    const std::lock_guard lock(mutex_);
    return valid_until_;
}

std::uint64_t start_lease::configuration_version() const
{
    const std::lock_guard lock(mutex_);
    return configuration_version_;
}

std::vector<std::string> start_lease::data_centres_out() const
{
    const std::lock_guard lock(mutex_);
    std::vector<std::string> names(data_centres_out_.begin(), data_centres_out_.end());
    std::sort(names.begin(), names.end());
    return names;
}

} // namespace carobfall
