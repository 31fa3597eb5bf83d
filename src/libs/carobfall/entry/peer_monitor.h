#pragma once

#include "carobfall/entry/entry_channel.h"
#include "carobfall/entry/parallel.h"

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

#include <cstdint>
#include <string>
#include <vector>

namespace carobfall {

struct peer_monitor_settings {
    absl::Duration failure_timeout{absl::Seconds(3)};
    absl::Duration call_timeout{absl::Milliseconds(400)};
};

/// A member's reply to a heartbeat.
struct peer_reply {
    rpc::entry_member member;
    std::uint64_t view_number{0};
    std::uint64_t configuration_version{0};
    bool in_transition{false}; ///< the member has acknowledged a later view than `view_number`
};

/// Failure detector for the other entries: sends heartbeats and detects missing replies by this
/// entry's clock. Thread-safe; `send_heartbeats` is called by one thread.
class peer_monitor {
public:
    peer_monitor(peer_monitor_settings settings, entry_channel_factory channels,
                 parallel_runner run_parallel);

    /// Sends a heartbeat to each peer and to each entry that has recently sent one here; returns
    /// the replies of the peers. Drops the state of entries that are no longer among the receivers.
    std::vector<peer_reply> send_heartbeats(const std::vector<rpc::entry_member>& peers,
                                            const rpc::entry_beat_request& request, absl::Time now);
    /// True if the peer is gone, or has not replied for the failure timeout while this entry sent
    /// heartbeats without a pause.
    [[nodiscard]] bool has_failed(const rpc::entry_member& peer, absl::Time now) const;
    /// True if the peer has replied within the failure timeout.
    [[nodiscard]] bool is_responsive(const rpc::entry_member& peer, absl::Time now) const;

    /// True if within the failure timeout the peer has replied and reported that it also receives
    /// replies from this entry.
    [[nodiscard]] bool has_two_way_contact(const rpc::entry_member& peer, absl::Time now) const;
    /// Records a heartbeat received from `sender`. Returns true if `sender` has replied to
    /// heartbeats of this entry within the failure timeout.
    bool record_sender(const rpc::entry_member& sender);

    /// True if another process has replied at the peer's address.
    [[nodiscard]] bool is_gone(const rpc::entry_member& peer) const;

private:
    struct peer_state {
        absl::Time monitored_since;
        absl::Time last_reply{absl::InfinitePast()};
        absl::Time last_two_way{absl::InfinitePast()};
        bool gone{false};
    };

    struct heartbeat_sender {
        rpc::entry_member member;
        absl::Time last_heartbeat;
    };

    void record_reply(const rpc::entry_member& peer, const rpc::entry_beat_reply& reply,
                      absl::Time now);
    void update_monitored(const std::vector<rpc::entry_member>& peers, absl::Time now);
    std::vector<rpc::entry_member> with_senders(std::vector<rpc::entry_member> peers,
                                                absl::Time now);

    const peer_monitor_settings settings_;
    const entry_channel_factory channels_;
    const parallel_runner run_parallel_;
    mutable absl::Mutex mutex_;
    absl::Time last_round_ ABSL_GUARDED_BY(mutex_){absl::InfinitePast()};
    absl::flat_hash_map<std::string, peer_state> peers_ ABSL_GUARDED_BY(mutex_);
    absl::flat_hash_map<std::string, heartbeat_sender> senders_ ABSL_GUARDED_BY(mutex_);
};

} // namespace carobfall
