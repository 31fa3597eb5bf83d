#pragma once

#include "carobfall/config/configuration.h"
#include "carobfall/dispatch/agent_events.h"
#include "carobfall/entry/agent_membership.h"
#include "carobfall/entry/ownership.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace carobfall {

/// State of one registered agent at an entry.
struct agent_state {
    std::shared_ptr<const rpc::agent_info> info;
    rpc::agent_load load; ///< as last reported
    /// Last evidence that the agent is alive: its heartbeat or registration, or a heartbeat of its
    /// lease entry that doesn't list it as silent.
    absl::Time last_beat;
    absl::Time last_contact; ///< last heartbeat or registration at this entry
    absl::Time load_reported_at;
    bool leaving{false};
    bool backend_available{true};
    std::uint64_t lease_entry{0}; ///< hash of its incarnation; 0: none
    /// The agent was requested to send heartbeats to this entry at a long interval. If it falls
    /// silent, its lease entry reports that to this entry.
    bool on_standby{false};
    /// A call of this entry to the agent failed. Until the agent's next heartbeat arrives at this
    /// entry, heartbeats of its lease entry are no evidence that it is alive.
    bool suspected{false};
    absl::Time heartbeat_requested_at{absl::InfinitePast()};
    std::uint32_t outstanding{0}; ///< open attempts of this entry
    std::uint32_t in_flight{0};   ///< included in `outstanding`; the start call has not returned

    /// Number of running and queued tasks of all entries, as far as this entry knows.
    [[nodiscard]] std::uint32_t tasks() const;
};

/// Agents that are registered at an entry. Each agent sends frequent heartbeats only to its lease
/// entry, the entry that renews its lease. The lease entry reports silent agents to the other
/// entries. Thread-safe.
class agent_registry final : public agent_events {
public:
    using report_handler = std::function<void(const rpc::report_request&, absl::Time)>;
    /// Receives the number of slots that may have become free; called without a lock held.
    using slots_freed_handler = std::function<void(std::uint32_t slots)>;

    agent_registry(agent_membership& members, const configuration_source& source,
                   const ownership& owner);

    /// Sets the handler of task reports. Call before the first call of an agent.
    void set_report_handler(report_handler handler) { on_report_ = std::move(handler); }
    /// Sets the handler of free slots that agents report. Call before the first call of an agent.
    void set_slots_freed_handler(slots_freed_handler handler)
    {
        on_slots_freed_ = std::move(handler);
    }

    /// Sets `registered` in the reply only once the join is durable. Doesn't register an
    /// incarnation that a later one has replaced.
    rpc::register_reply on_register(const rpc::register_request& request, absl::Time now) override;
    rpc::beat_reply on_beat(const rpc::beat_request& request, absl::Time now) override;
    void on_report(const rpc::report_request& request, absl::Time now) override;
    void on_entry_beat(const rpc::entry_beat_request& request, absl::Time now) override;

    /// Adds the agents that have fallen silent here to a heartbeat to other entries.
    void report_silent_agents(rpc::entry_beat_request& request, absl::Time now) const;
    /// Returns the agents on standby from which a heartbeat must be requested, because recent
    /// evidence that they are alive is missing. Returns each agent at most once a second.
    [[nodiscard]] std::vector<std::shared_ptr<const rpc::agent_info>>
    due_heartbeat_requests(absl::Time now);

    /// Returns all registered agents, whether or not they may be assigned tasks.
    [[nodiscard]] std::vector<agent_state> agents() const;
    /// Calls `visit` for each registered agent with the lock held; unlike `agents`, it copies
    /// nothing.
    void for_each(const std::function<void(const agent_state&)>& visit) const;
    [[nodiscard]] std::optional<agent_state> find(const rpc::agent_ref& agent) const;
    /// True once a later incarnation of the agent has registered here.
    [[nodiscard]] bool is_lost(const rpc::agent_ref& agent) const;

    /// Replaces the load by that of a task report, which is newer than the last heartbeat.
    void update_load(const rpc::agent_ref& agent, const rpc::agent_load& load, absl::Time now);
    /// Records that the agent didn't reply to a call of this entry. Other entries may nevertheless
    /// receive its heartbeats.
    void mark_suspected(const rpc::agent_ref& agent);
    /// Counts starts that are about to be sent. Each call requires a later call of `end_start`.
    void add_outstanding(const rpc::agent_ref& agent, std::uint32_t tasks);
    /// Records that a start call has returned. `load` is the load in the reply, if any.
    void end_start(const rpc::agent_ref& agent, std::uint32_t tasks,
                   const std::optional<rpc::agent_load>& load, absl::Time now);
    /// Removes closed attempts. Returns the number of slots that may have become free.
    std::uint32_t remove_outstanding(const rpc::agent_ref& agent, std::uint32_t tasks);

private:
    bool register_incarnation(const rpc::agent_info& info, absl::Time now);
    void update_from_beat(const rpc::beat_request& request, rpc::beat_reply& reply, absl::Time now);
    [[nodiscard]] bool is_watched_by(std::uint64_t entry, absl::Time now) const;
    void notify_slots_freed(std::uint32_t slots) const;
    agent_state* find_locked(const rpc::agent_ref& agent);
    [[nodiscard]] std::uint32_t lease_ms(const ownership_snapshot& snapshot, absl::Time now) const;

    agent_membership& members_;
    const configuration_source& source_;
    const ownership& owner_;
    const std::uint64_t self_hash_;
    report_handler on_report_;
    slots_freed_handler on_slots_freed_;

    mutable std::mutex mutex_;
    absl::flat_hash_map<std::string, agent_state> agents_; ///< by agent name
    /// Incarnations that a later one has replaced, with the time of the replacement. Each is kept
    /// for as long as a job that uses it can last.
    absl::flat_hash_map<std::string, absl::Time> lost_incarnations_;
    /// For each entry, the arrival time of the last heartbeat that had a list of silent agents. The
    /// key is the hash of the entry's incarnation.
    absl::flat_hash_map<std::uint64_t, absl::Time> entry_heartbeats_;
};

[[nodiscard]] rpc::agent_ref ref_of(const rpc::agent_info& info);

} // namespace carobfall
