#include "carobfall/dispatch/agent_selection.h"

#include <algorithm>
#include <cmath>

namespace carobfall {

bool meets_requirements(const rpc::agent_info& agent, const dispatch_template& declaration)
{
    const std::vector<std::string>& allowed = declaration.data_centres;
    if (!allowed.empty() &&
        std::find(allowed.begin(), allowed.end(), agent.data_centre()) == allowed.end()) {
        return false;
    }
    const rpc::backend_server_info& backend = agent.backend_server();
    const task_requirements& needed = declaration.requirements;
    return backend.slots() > 0 && backend.processors() >= needed.processors &&
           backend.memory_mib() >= needed.memory_mib &&
           backend.accelerators() >= needed.accelerators;
}

bool may_place(const agent_state& agent, const configuration& current,
               const dispatch_template& declaration, const dispatch_settings& settings,
               absl::Time now)
{
    return !agent.leaving && agent.backend_available &&
           now - agent.last_beat <= settings.heartbeat_timeout &&
           !current.is_out(agent.info->data_centre()) &&
           meets_requirements(*agent.info, declaration);
}

std::uint32_t room_at(const agent_state& agent, const dispatch_settings& settings)
{
    const std::uint32_t slots = agent.info->backend_server().slots();
    const auto limit =
        slots + static_cast<std::uint32_t>(std::ceil(settings.queue_per_slot * slots));
    return limit - std::min(limit, agent.tasks());
}

std::uint32_t known_load(const agent_state& agent, const dispatch_settings& settings,
                         absl::Time now)
{
    const bool is_valid = now - agent.load_reported_at <= settings.load_validity;
    const std::uint32_t reported = is_valid ? agent.load.running() + agent.load.queued() : 0;
    return std::max(reported + agent.in_flight, agent.outstanding);
}

std::vector<placement_candidate>
select_candidates(const agent_registry& agents, const configuration& current,
                  const dispatch_template& declaration, const backend_health& health,
                  const dispatch_settings& settings, absl::Time now)
{
    std::vector<placement_candidate> candidates;
    agents.for_each([&](const agent_state& agent) {
        std::uint32_t room = room_at(agent, settings);
        if (room == 0 && known_load(agent, settings, now) < agent.info->backend_server().slots()) {
            room = 1;
        }
        if (room == 0 || !may_place(agent, current, declaration, settings, now)) {
            return;
        }
        const backend_permission permission = health.permission(agent.info->name(), now);
        if (permission == backend_permission::denied) {
            return;
        }
        placement_candidate candidate;
        candidate.info = agent.info;
        candidate.slots = agent.info->backend_server().slots();
        candidate.tasks = known_load(agent, settings, now);
        candidate.outstanding = agent.outstanding;
        candidate.room = permission == backend_permission::probe ? 1 : room;
        candidates.push_back(std::move(candidate));
    });
    return candidates;
}

} // namespace carobfall
