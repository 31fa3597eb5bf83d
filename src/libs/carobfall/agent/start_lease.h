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

/// Permission to start tasks, renewed by the replies to heartbeats, together with the
/// configuration version and the data centres out that came with it. Thread-safe.
class start_lease {
public:
    /// Takes up the reply to a heartbeat sent at `send_time`. The validity counts from the sending,
    /// so that a reply that waited in a paused process grants nothing. A reply with a lower
    /// configuration version than the one held, for another heartbeat, or for an agent that isn't
    /// registered is ignored. True if starts are permitted for longer than before.
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
    absl::flat_hash_set<std::string> out_;
};

} // namespace carobfall
