#pragma once

#include "carobfall/base/clock.h"
#include "carobfall/config/configuration.h"
#include "carobfall/entry/configuration_log.h"
#include "carobfall/entry/entry_channel.h"
#include "carobfall/entry/ownership.h"
#include "carobfall/entry/parallel.h"
#include "carobfall/entry/peer_monitor.h"

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/clock.h>

#include <cstdint>
#include <functional>
#include <limits>
#include <string>
#include <vector>

namespace carobfall {

/// Time for which a configuration counts as current, from the send time of the store read or the
/// heartbeats that confirmed the configuration.
inline constexpr absl::Duration configuration_freshness = absl::Seconds(2);

/// Reported in heartbeats in place of the version while this entry can't confirm that others are
/// current: it has acknowledged a view that is not in effect yet, or has not read the store since
/// its view took effect.
inline constexpr std::uint64_t unconfirmed_version = std::numeric_limits<std::uint64_t>::max();

/// Dependencies of the replica, replaceable in tests.
struct configuration_replica_hooks {
    /// Reads from the store the changes after `version`, or a snapshot, up to the current head. The
    /// result has no changes if `version` is the head.
    std::function<result<rpc::push_configuration_request>(std::uint64_t version)> read_changes;
    /// Applies changes to `base`, or builds a configuration from a snapshot.
    std::function<result<configuration_ptr>(configuration_ptr base,
                                            const rpc::push_configuration_request& changes)>
        apply;
    entry_channel_factory channels;
    parallel_runner run_parallel{[](const auto& calls) { run_in_threads(calls); }};
    clock_function clock{monotonic_now};
    std::function<void(absl::Duration)> sleep{absl::SleepFor};
};

/// Replica of the configuration. Holds the latest version known, never returns to a lower one, and
/// pushes changes to the other entries.
/// Freshness: a version is accepted once it is committed and a majority of a view holds it.
/// No member of this majority has acknowledged a later view. The configuration is current
/// for 2 s after the send time of a store read that returned nothing newer. It is also
/// current for 2 s after the send time of heartbeats if a majority of the view, including
/// this entry, reports no higher version: any two majorities of a view have a common member.
/// Members that have read the store since their view took effect hold all versions accepted
/// in earlier views. The other members report `unconfirmed_version` and are not counted.
/// Thread-safe.
class configuration_replica : public configuration_source {
public:
    configuration_replica(const ownership& views, configuration_replica_hooks hooks);

    [[nodiscard]] configuration_ptr current() const override;
    [[nodiscard]] absl::Duration fresh_for(absl::Time now) const override;

    /// Reads the store. Called every second from a dedicated thread.
    void poll(absl::Time now);
    /// Pushes changes to the members that last reported a lower version. Called periodically from a
    /// dedicated thread.
    void push_to_others();
    /// Processes the replies to heartbeats sent at `sent`; see
    /// `membership_hooks::on_heartbeat_replies`.
    void on_heartbeat_replies(absl::Time sent, const rpc::entry_view& view,
                              const std::vector<peer_reply>& replies);
    /// Handles a push from another entry.
    rpc::push_configuration_reply receive(const rpc::push_configuration_request& request);
    /// The version to report in heartbeats.
    [[nodiscard]] std::uint64_t reported_version() const;

    /// Waits until a majority of the view holds the committed `version`. Errors: `outcome_unknown`
    /// after `timeout`; the version is committed and takes effect once the entries can be reached.
    result<void> publish(std::uint64_t version, absl::Duration timeout);

private:
    bool apply_push(const rpc::push_configuration_request& push);
    void push_to(const std::vector<rpc::entry_member>& members);
    void forget_former_members(const rpc::entry_view& view);
    void note_version(const rpc::entry_member& member, std::uint64_t version);
    [[nodiscard]] std::uint64_t version_at(const rpc::entry_member& member) const;
    [[nodiscard]] std::vector<rpc::entry_member> members_behind() const;
    [[nodiscard]] bool is_held_by_majority(std::uint64_t version);
    [[nodiscard]] bool is_confirmed_in(std::uint64_t view_number) const;

    const ownership& views_;
    const configuration_replica_hooks hooks_;
    absl::Mutex apply_mutex_; ///< serialises the application of changes
    mutable absl::Mutex mutex_;
    configuration_ptr current_ ABSL_GUARDED_BY(mutex_);
    configuration_log log_ ABSL_GUARDED_BY(mutex_);
    absl::Time confirmed_at_ ABSL_GUARDED_BY(mutex_){absl::InfinitePast()};
    std::uint64_t confirmed_view_ ABSL_GUARDED_BY(mutex_){
        0}; ///< view in effect at the last store read
    /// Version last reported by each other entry, by name and incarnation.
    absl::flat_hash_map<std::string, std::uint64_t> versions_ ABSL_GUARDED_BY(mutex_);
};

} // namespace carobfall
