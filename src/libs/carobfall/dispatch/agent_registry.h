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
    absl::Time last_contact; ///< last heartbeat or registration that arrived here
    absl::Time load_reported_at;
    bool leaving{false};
    bool backend_available{true};
    std::uint64_t lease_entry{0}; ///< `beat_request::lease_entry`
    /// The agent was requested to send heartbeats here at a long interval, because its lease entry
    /// reports it if it falls silent.
    bool on_standby{false};
    /// A call of this entry to it failed: reports of its lease entry are ignored until its next own
    /// heartbeat.
    bool suspected{false};
    absl::Time heartbeat_requested_at{absl::InfinitePast()};
    std::uint32_t outstanding{0}; ///< open attempts of this entry
    std::uint32_t in_flight{0};   ///< part of `outstanding` whose start call has not returned

    /// Running and queued tasks of all entries, as far as known here.
    [[nodiscard]] std::uint32_t tasks() const;
};

/// Registered agents of an entry. An agent sends frequent heartbeats only to its lease entry, the
/// one that renews its lease. That entry reports agents that have fallen silent to the other
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

    /// Sets `registered` only once the join is durable. Doesn't register an incarnation that a
    /// later one has replaced.
    rpc::register_reply on_register(const rpc::register_request& request, absl::Time now) override;
    rpc::beat_reply on_beat(const rpc::beat_request& request, absl::Time now) override;
    void on_report(const rpc::report_request& request, absl::Time now) override;
    void on_entry_beat(const rpc::entry_beat_request& request, absl::Time now) override;

    /// Adds the agents that have fallen silent here to a heartbeat to other entries.
    void report_silent_agents(rpc::entry_beat_request& request, absl::Time now) const;
    /// Agents on standby that lack recent evidence of being alive, so that a heartbeat is to be
    /// requested from them. Returns each agent at most once a second.
    [[nodiscard]] std::vector<std::shared_ptr<const rpc::agent_info>>
    due_heartbeat_requests(absl::Time now);

    /// All registered agents, whether or not they may be assigned tasks.
    [[nodiscard]] std::vector<agent_state> agents() const;
    /// Calls `visit` for each registered agent with the lock held; unlike `agents`, it copies
    /// nothing.
    void for_each(const std::function<void(const agent_state&)>& visit) const;
    [[nodiscard]] std::optional<agent_state> find(const rpc::agent_ref& agent) const;
    /// True once a later incarnation of the agent has registered here.
    [[nodiscard]] bool is_lost(const rpc::agent_ref& agent) const;

    /// Sets the load from a report, which is newer than that of the last heartbeat.
    void update_load(const rpc::agent_ref& agent, const rpc::agent_load& load, absl::Time now);
    /// Records that a call of this entry to the agent got no reply, although other entries may
    /// receive its heartbeats.
    void mark_suspected(const rpc::agent_ref& agent);
    /// Counts starts that are about to be sent. Each call requires a later call of `end_start`.
    void add_outstanding(const rpc::agent_ref& agent, std::uint32_t tasks);
    /// Records that the call with these starts has returned, with the load if the reply has it.
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
    /// Incarnations that a later one has replaced, with the time of the replacement. Kept as long
    /// as a job that uses them can last.
    absl::flat_hash_map<std::string, absl::Time> lost_incarnations_;
    /// Arrival time of the last heartbeat with a list of silent agents from each entry, by the hash
    /// of its incarnation.
    absl::flat_hash_map<std::uint64_t, absl::Time> entry_heartbeats_;
};

[[nodiscard]] rpc::agent_ref ref_of(const rpc::agent_info& info);

} // namespace carobfall
