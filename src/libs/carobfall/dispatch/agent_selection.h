#pragma once

#include "carobfall/config/configuration.h"
#include "carobfall/dispatch/agent_registry.h"
#include "carobfall/dispatch/backend_health.h"
#include "carobfall/dispatch/dispatch_settings.h"
#include "carobfall/dispatch/placement.h"

namespace carobfall {

/// The template's data centres and requirements allow its tasks at the agent.
[[nodiscard]] bool can_ever_run(const rpc::agent_info& agent, const dispatch_template& declaration);

/// The agent may get tasks of the template now, leaving aside its load and its backend's health.
[[nodiscard]] bool may_place(const agent_state& agent, const configuration& current,
                             const dispatch_template& declaration,
                             const dispatch_settings& settings, absl::Time now);

/// Tasks that may be added at the agent before its slots and the allowed part of its queue are
/// taken.
[[nodiscard]] std::uint32_t room_at(const agent_state& agent, const dispatch_settings& settings);

/// Tasks that the agent has, as far as this entry knows: those of a report that is still valid, or
/// the entry's own.
[[nodiscard]] std::uint32_t known_load(const agent_state& agent, const dispatch_settings& settings,
                                       absl::Time now);

/// The agents that may get tasks of the template now, with room for at least one. A backend
/// server in backoff gets none, or one as a probe.
[[nodiscard]] std::vector<placement_candidate>
select_candidates(const agent_registry& agents, const configuration& current,
                  const dispatch_template& declaration, const backend_health& health,
                  const dispatch_settings& settings, absl::Time now);

} // namespace carobfall
