#pragma once

#include "carobfall/entry/agent_membership_table.h"
#include "carobfall/entry/connection_probe.h"
#include "carobfall/entry/entry_channel.h"
#include "carobfall/entry/ownership.h"
#include "carobfall/entry/parallel.h"
#include "carobfall/entry/peer_monitor.h"
#include "carobfall/entry/view_row.h"
#include "carobfall/entry/view_state.h"
#include "carobfall/platform/table_service.h"

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_set.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/clock.h>

#include <atomic>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace carobfall {

/// Timeout of a connection attempt to an entry that may be dead.
inline constexpr absl::Duration probe_timeout = absl::Milliseconds(200);

struct membership_settings {
    rpc::entry_member self;
    std::string region;
    peer_monitor_settings monitor{};
    absl::Duration heartbeat_interval{absl::Milliseconds(500)};
    absl::Duration call_timeout{absl::Seconds(1)};  ///< timeout of a prepare or activate call
    absl::Duration leave_timeout{absl::Seconds(5)}; ///< maximum duration of `leave`
    /// Time from the removal of this entry from the view to the call of `on_superseded`. During
    /// this time the entry still serves its claims to the other entries.
    absl::Duration superseded_grace{absl::Seconds(5)};
};

/// Dependencies of membership, replaceable in tests.
struct membership_hooks {
    entry_channel_factory channels;
    /// Returns true only if the address refuses TCP connections (ECONNREFUSED).
    std::function<bool(const std::string& address)> connection_refused{
        [](const auto& address) { return carobfall::connection_refused(address, probe_timeout); }};
    parallel_runner run_parallel{[](const auto& calls) { run_in_threads(calls); }};
    std::function<void(absl::Duration)> sleep{absl::SleepFor};
    std::function<std::uint64_t()> configuration_version{[] { return 0; }};
    /// Adds the agents that this entry reports as silent to a heartbeat.
    std::function<void(rpc::entry_beat_request& request, absl::Time now)> add_agents{
        [](auto&&...) {}};
    /// Called with the replies to the heartbeats sent at `sent` while `view` was in effect here.
    std::function<void(absl::Time sent, const rpc::entry_view& view,
                       const std::vector<peer_reply>& replies)>
        on_heartbeat_replies{[](auto&&...) {}};
    std::function<void()> on_superseded{[] {}};
    /// True if the members of the view have fetched the claims held here; see `claim_transfer`.
    std::function<bool(const rpc::entry_view& view)> claims_transferred{
        [](auto&&...) { return true; }};
};

/// Group membership of the region's entries. Views are ordered by compare-and-set on one row of the
/// table service and take effect by acknowledgement (see `takes_effect`).
/// An incarnation that was removed from a view in effect never rejoins. Other
/// entries may have taken over its submissions, and claims that still name
/// this incarnation as coordinator must not become valid again.
/// `on_superseded` makes the process exit, so that it is restarted with
/// another incarnation.
///
/// An entry joins only while it has two-way contact with every member that is not dead. With
/// one-way contact it would be removed again after each join.
///
/// During an outage of the table service the view in effect is kept and can't be changed. No lock
/// is held during a call. Thread-safe.
class membership : public ownership {
public:
    membership(membership_settings settings, table_service& table, membership_hooks hooks);

    [[nodiscard]] const rpc::entry_member& self() const override { return state_.self(); }
    [[nodiscard]] ownership_snapshot snapshot() const override { return state_.snapshot(); }
    bool wait_for_change(std::uint64_t view_number, absl::Duration timeout) const override;

    /// Sends heartbeats. Called every heartbeat interval from a dedicated thread, so that a slow
    /// table service doesn't delay them.
    void send_heartbeats(absl::Time now);
    /// Reads the view row, completes the proposal in it and proposes a new view if the members have
    /// to change. Called every heartbeat interval; returns at once if another call is in progress.
    void tick(absl::Time now);
    /// Leaves the view and waits until the others have fetched the claims held here. Errors:
    /// `unavailable` if the view without this entry is not in effect after `leave_timeout`; the
    /// others then remove it once it stops responding.
    result<void> leave(absl::Time now);
    /// Marks every known incarnation of the entry `name` as dead, on an operator's request. Errors:
    /// `not_found`, or `invalid_request` if `name` is this entry.
    result<void> forget(const std::string& name);

    rpc::prepare_view_reply prepare(const rpc::prepare_view_request& request);
    rpc::activate_view_reply activate(const rpc::activate_view_request& request, absl::Time now);
    rpc::entry_beat_reply handle_heartbeat(const rpc::entry_beat_request& request);

    /// Returns the permission to record agent joins. Returns nothing while this entry knows a later
    /// view than the one in effect here.
    [[nodiscard]] std::optional<join_permission> may_record_joins() const;

    /// The views acknowledged and in effect, used by the claim transfer.
    [[nodiscard]] view_state& state() { return state_; }
    [[nodiscard]] const view_state& state() const { return state_; }

private:
    void create_first_view(absl::Time now);
    void apply_stored_proposal(const stored_proposal& stored, absl::Time now);
    bool complete_proposal(const rpc::view_proposal& proposal, absl::Time now);
    void collect_acknowledgements(const rpc::view_proposal& proposal);
    void install_view(const rpc::view_proposal& proposal, absl::Time now);
    void send_activation(const rpc::view_proposal& proposal,
                         const std::vector<rpc::entry_member>& receivers);
    void propose_change(const stored_proposal& stored, absl::Time now);
    [[nodiscard]] rpc::entry_view desired_view(const rpc::entry_view& present,
                                               absl::Time now) const;
    [[nodiscard]] bool may_join() const;
    [[nodiscard]] bool is_reached_by_all(const rpc::entry_view& present,
                                         const rpc::view_proposal& next, absl::Time now) const;
    [[nodiscard]] bool can_take_effect(const rpc::view_proposal& proposal, absl::Time now) const;
    [[nodiscard]] bool is_dead(const rpc::view_proposal& proposal,
                               const rpc::entry_member& member) const;
    [[nodiscard]] bool has_acknowledged(const rpc::entry_member& member) const;
    [[nodiscard]] bool is_forgotten(const rpc::entry_member& member) const;
    [[nodiscard]] bool has_left() const;
    [[nodiscard]] std::vector<rpc::entry_member> others(const rpc::view_proposal& proposal) const;
    void end_if_superseded(absl::Time now);

    const membership_settings settings_;
    const membership_hooks hooks_;
    view_row row_;
    view_state state_;
    peer_monitor monitor_;
    std::atomic<bool> ticking_{false};
    std::atomic<bool> leaving_{false};
    mutable absl::Mutex mutex_;
    std::optional<stored_proposal> last_row_ ABSL_GUARDED_BY(mutex_);
    std::uint64_t collecting_view_ ABSL_GUARDED_BY(mutex_){
        0}; ///< view number of `acknowledged_by_`
    absl::flat_hash_set<std::string> acknowledged_by_ ABSL_GUARDED_BY(mutex_);
    absl::flat_hash_set<std::string> forgotten_ ABSL_GUARDED_BY(mutex_);
    bool was_member_ ABSL_GUARDED_BY(mutex_){false};
    absl::Time superseded_since_ ABSL_GUARDED_BY(mutex_){absl::InfiniteFuture()};
};

} // namespace carobfall
