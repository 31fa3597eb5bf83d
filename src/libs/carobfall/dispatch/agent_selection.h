#pragma once

#include "carobfall/config/configuration.h"
#include "carobfall/dispatch/agent_registry.h"
#include "carobfall/dispatch/backend_health.h"
#include "carobfall/dispatch/dispatch_settings.h"
#include "carobfall/dispatch/placement.h"

namespace carobfall {

/// True if the agent meets the data centres and requirements of the template.
[[nodiscard]] bool meets_requirements(const rpc::agent_info& agent,
                                      const dispatch_template& declaration);

/// True if the agent may be assigned tasks of the template now, regardless of its load and of the
/// backoff of its backend server.
[[nodiscard]] bool may_place(const agent_state& agent, const configuration& current,
                             const dispatch_template& declaration,
                             const dispatch_settings& settings, absl::Time now);

/// Number of tasks that may be added at the agent before its slots and its queue, up to
/// `queue_per_slot`, are full.
[[nodiscard]] std::uint32_t room_at(const agent_state& agent, const dispatch_settings& settings);

/// Number of running and queued tasks of the agent as far as known here: the reported load, ignored
/// once it is older than `load_validity`, plus the starts in flight, and at least the open attempts
/// of this entry.
[[nodiscard]] std::uint32_t known_load(const agent_state& agent, const dispatch_settings& settings,
                                       absl::Time now);

/// The agents that may be assigned at least one task of the template now. An agent whose backend
/// server is in backoff is left out, or gets room for one task as a probe.
[[nodiscard]] std::vector<placement_candidate>
select_candidates(const agent_registry& agents, const configuration& current,
                  const dispatch_template& declaration, const backend_health& health,
                  const dispatch_settings& settings, absl::Time now);

} // namespace carobfall
