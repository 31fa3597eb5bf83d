#pragma once

#include "carobfall/base/lease_limit.h"
#include "carobfall/rpc/carobfall.pb.h"

#include <absl/container/flat_hash_set.h>
#include <absl/time/time.h>

#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace carobfall {

/// Permission to start tasks, renewed by heartbeat replies, together with the configuration version
/// and the data centres out of service that the replies carry. Thread-safe.
class start_lease {
public:
    /// Applies the reply to a heartbeat sent at `send_time`. The validity counts from the send
    /// time, so that a reply that is read late, after a pause of the process, grants nothing. A
    /// reply is ignored if it has a lower configuration version than the current one, is for
    /// another heartbeat, or states that the agent isn't registered. Returns true if the
    /// lease was extended.
    bool renew(const rpc::beat_reply& reply, absl::Time send_time);

    [[nodiscard]] bool is_valid(absl::Time now) const;
    [[nodiscard]] bool is_out(std::string_view data_centre) const;

    [[nodiscard]] absl::Time valid_until() const;
    [[nodiscard]] std::uint64_t configuration_version() const;
    [[nodiscard]] std::vector<std::string> data_centres_out() const;

private:
    mutable std::mutex mutex_;
    absl::Time valid_until_{absl::InfinitePast()};
    std::uint64_t configuration_version_{0};
    absl::flat_hash_set<std::string> data_centres_out_;
};

} // namespace carobfall
