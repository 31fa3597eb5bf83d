#pragma once

#include "carobfall/dispatch/dispatch_settings.h"
#include "carobfall/entry/entry_channel.h"
#include "carobfall/entry/ownership.h"

#include <absl/time/time.h>

#include <mutex>
#include <vector>

namespace carobfall {

/// Notifies the witnesses of submissions that the answer has been recorded, so that a successor of
/// this entry doesn't give a different one. Thread-safe; no lock is held during a call.
class answer_notifier {
public:
    answer_notifier(const ownership& owner, entry_channel_factory entries, absl::Duration timeout)
        : owner_(owner), entries_(std::move(entries)), timeout_(timeout)
    {}

    /// Queues the notification of an answered claim for the next `deliver`.
    void enqueue(const rpc::claim& answered);
    /// Notifies the witness at once, with `timeout` for the call. Queues the notification if the
    /// call fails.
    void notify_now(const rpc::claim& answered, absl::Duration timeout);
    /// Sends the queued notifications in one message per witness. Those that a witness doesn't
    /// acknowledge are sent again by later calls until the claim has expired.
    void deliver(absl::Time now);

private:
    bool send(const rpc::entry_member& witness, const std::vector<rpc::claim>& answered,
              absl::Duration timeout) const;

    const ownership& owner_;
    const entry_channel_factory entries_;
    const absl::Duration timeout_;
    std::mutex mutex_;
    std::vector<rpc::claim> queued_; ///< claims with the planned agents removed
};

} // namespace carobfall
