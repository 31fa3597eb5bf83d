#pragma once

#include "carobfall/config/configuration.h"
#include "carobfall/dispatch/agent_registry.h"
#include "carobfall/dispatch/backend_health.h"
#include "carobfall/dispatch/dispatch_settings.h"
#include "carobfall/dispatch/placement.h"

namespace carobfall {

/// True if the agent is in a data centre that the template allows and meets its requirements.
[[nodiscard]] bool meets_requirements(const rpc::agent_info& agent,
                                      const dispatch_template& declaration);

/// True if the agent may be assigned tasks of the template now, regardless of its load and of the
/// backoff of its backend server.
[[nodiscard]] bool may_place(const agent_state& agent, const configuration& current,
                             const dispatch_template& declaration,
                             const dispatch_settings& settings, absl::Time now);

/// Number of tasks that the agent can take until its slots and its queue are full. The queue takes
/// `queue_per_slot` tasks per slot.
[[nodiscard]] std::uint32_t room_at(const agent_state& agent, const dispatch_settings& settings);

/// Estimated number of running and queued tasks of the agent: the reported load plus the starts in
/// flight, but at least the number of this entry's open attempts. A reported load that is older
/// than `load_validity` is ignored.
[[nodiscard]] std::uint32_t known_load(const agent_state& agent, const dispatch_settings& settings,
                                       absl::Time now);

/// Returns the agents that may be assigned at least one task of the template now. An agent whose
/// backend server is in backoff is left out or gets room for one task as a probe.
[[nodiscard]] std::vector<placement_candidate>
select_candidates(const agent_registry& agents, const configuration& current,
                  const dispatch_template& declaration, const backend_health& health,
                  const dispatch_settings& settings, absl::Time now);

} // namespace carobfall
