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

/// What an entry knows about one usable agent.
struct agent_state {
    std::shared_ptr<const rpc::agent_info> info;
    rpc::agent_load load; ///< as last reported
    /// Last sign of life: a heartbeat or registration, or word of the entry that renews the lease.
    absl::Time last_beat;
    absl::Time last_contact; ///< last heartbeat or registration that arrived here
    absl::Time load_reported_at;
    bool leaving{false};
    bool backend_available{true};
    std::uint64_t lease_entry{0}; ///< `beat_request::lease_entry`
    /// Was told that it may send few heartbeats, because `lease_entry` names it if it falls silent.
    bool on_standby{false};
    /// A call to it failed here: only its own heartbeats count until the next one.
    bool doubted{false};
    absl::Time beat_requested_at{absl::InfinitePast()};
    std::uint32_t outstanding{0}; ///< attempts of this entry that are neither finished nor undone
    std::uint32_t in_flight{0};   ///< those whose start call has not returned

    /// Running and queued tasks of all entries, as far as this one knows.
    [[nodiscard]] std::uint32_t tasks() const;
};

/// Registered agents of an entry. An agent sends frequent heartbeats to the entry that renews its
/// lease, which tells the other entries of the agents that have fallen silent. Thread-safe.
class agent_registry final : public agent_events {
public:
    using report_handler = std::function<void(const rpc::report_request&, absl::Time)>;
    /// Gets the number of slots that may have become free; called without a lock.
    using room_handler = std::function<void(std::uint32_t slots)>;

    agent_registry(agent_membership& members, const configuration_source& source,
                   const ownership& owner);

    /// Receives the reports of agents. Set before the first call of an agent.
    void set_report_handler(report_handler handler) { on_report_ = std::move(handler); }
    /// Hears of slots that became free according to the agents. Set before their first call.
    void set_room_handler(room_handler handler) { on_room_ = std::move(handler); }

    /// `registered` is set only once the join is durable. An incarnation that has been replaced
    /// is not registered again.
    rpc::register_reply on_register(const rpc::register_request& request, absl::Time now) override;
    rpc::beat_reply on_beat(const rpc::beat_request& request, absl::Time now) override;
    void on_report(const rpc::report_request& request, absl::Time now) override;
    void on_entry_beat(const rpc::entry_beat_request& request, absl::Time now) override;

    /// Adds the agents to a heartbeat to the other entries that have fallen silent here.
    void name_silent_agents(rpc::entry_beat_request& request, absl::Time now) const;
    /// Agents on standby of which nothing has been heard lately, and that are therefore to be asked
    /// for a heartbeat. Each is returned once a second at most.
    [[nodiscard]] std::vector<std::shared_ptr<const rpc::agent_info>> agents_to_ask(absl::Time now);

    /// All registered agents, whether or not they may get new tasks.
    [[nodiscard]] std::vector<agent_state> agents() const;
    /// Calls `visit` for each of them under the lock, which spares the copies of `agents`.
    void for_each(const std::function<void(const agent_state&)>& visit) const;
    [[nodiscard]] std::optional<agent_state> find(const rpc::agent_ref& agent) const;
    /// True once a later incarnation of the agent has registered here.
    [[nodiscard]] bool is_lost(const rpc::agent_ref& agent) const;

    /// Load from a report, which is newer than that of the last heartbeat.
    void update_load(const rpc::agent_ref& agent, const rpc::agent_load& load, absl::Time now);
    /// A call of this entry to the agent was not answered, although others may hear it.
    void doubt(const rpc::agent_ref& agent);
    /// Counts starts that are about to be sent; `end_start` has to follow.
    void add_outstanding(const rpc::agent_ref& agent, std::uint32_t tasks);
    /// The call with these starts has returned, with the load if the agent gave it.
    void end_start(const rpc::agent_ref& agent, std::uint32_t tasks,
                   const std::optional<rpc::agent_load>& load, absl::Time now);
    /// Returns the number of slots that may have become free by it.
    std::uint32_t remove_outstanding(const rpc::agent_ref& agent, std::uint32_t tasks);

private:
    bool register_incarnation(const rpc::agent_info& info, absl::Time now);
    void update_from_beat(const rpc::beat_request& request, rpc::beat_reply& reply, absl::Time now);
    [[nodiscard]] bool is_watched_by(std::uint64_t entry, absl::Time now) const;
    void notify_room(std::uint32_t slots) const;
    agent_state* find_locked(const rpc::agent_ref& agent);
    [[nodiscard]] std::uint32_t lease_ms(const ownership_snapshot& snapshot, absl::Time now) const;

    agent_membership& members_;
    const configuration_source& source_;
    const ownership& owner_;
    const std::uint64_t self_hash_;
    report_handler on_report_;
    room_handler on_room_;

    mutable std::mutex mutex_;
    absl::flat_hash_map<std::string, agent_state> agents_; ///< by agent name
    /// Incarnations that a later one has replaced, with the time of that. They are kept as long
    /// as a job that uses them can last.
    absl::flat_hash_map<std::string, absl::Time> lost_incarnations_;
    /// Arrival of the last heartbeat of an entry that named silent agents, by the hash of its
    /// incarnation.
    absl::flat_hash_map<std::uint64_t, absl::Time> entries_heard_;
};

[[nodiscard]] rpc::agent_ref ref_of(const rpc::agent_info& info);

} // namespace carobfall
