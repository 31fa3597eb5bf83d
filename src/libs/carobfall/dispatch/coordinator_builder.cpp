#include "carobfall/dispatch/coordinator_builder.h"

#include <glog/logging.h>

#include <utility>

namespace carobfall {

coordinator_builder& coordinator_builder::with_ownership(const ownership& owner)
{
    dependencies_.owner = &owner;
    return *this;
}

coordinator_builder& coordinator_builder::with_configuration(const configuration_source& source)
{
    dependencies_.configuration = &source;
    return *this;
}

coordinator_builder& coordinator_builder::with_claims(claim_store& claims)
{
    dependencies_.claims = &claims;
    return *this;
}

coordinator_builder& coordinator_builder::with_agent_membership(agent_membership& members)
{
    dependencies_.members = &members;
    return *this;
}

coordinator_builder& coordinator_builder::with_registry(agent_registry& registry)
{
    dependencies_.registry = &registry;
    return *this;
}

coordinator_builder& coordinator_builder::with_entries(entry_channel_factory entries)
{
    dependencies_.entries = std::move(entries);
    return *this;
}

coordinator_builder& coordinator_builder::with_agents(agent_channel_factory agents)
{
    dependencies_.agents = std::move(agents);
    return *this;
}

coordinator_builder& coordinator_builder::with_placement(placement_policy policy)
{
    dependencies_.placement = std::move(policy);
    return *this;
}

coordinator_builder& coordinator_builder::with_backoff(backoff_table steps)
{
    dependencies_.backoff = std::move(steps);
    return *this;
}

coordinator_builder& coordinator_builder::with_random(random_source random)
{
    dependencies_.random = std::move(random);
    return *this;
}

coordinator_builder& coordinator_builder::with_clock(clock_function clock)
{
    dependencies_.clock = std::move(clock);
    return *this;
}

coordinator_builder& coordinator_builder::with_settings(const dispatch_settings& settings)
{
    settings_ = settings;
    return *this;
}

std::unique_ptr<coordinator> coordinator_builder::build()
{
    CHECK(dependencies_.owner != nullptr && dependencies_.configuration != nullptr &&
          dependencies_.claims != nullptr && dependencies_.members != nullptr &&
          dependencies_.registry != nullptr && dependencies_.entries && dependencies_.agents)
        << "coordinator_builder: a required dependency is missing";
    if (!dependencies_.clock) {
        dependencies_.clock = monotonic_now;
    }
    if (!dependencies_.random) {
        dependencies_.random = make_random_source();
    }
    if (!dependencies_.placement) {
        dependencies_.placement = make_two_choices(dependencies_.random);
    }
    agent_registry* registry = dependencies_.registry;
    std::unique_ptr<coordinator> built(new coordinator(std::move(dependencies_), settings_));
    registry->set_report_handler(
        [target = built.get()](const rpc::report_request& request, absl::Time now) {
            target->on_report(request, now);
        });
    registry->set_slots_freed_handler(
        [target = built.get()](std::uint32_t slots) { target->on_slots_freed(slots); });
    return built;
}

} // namespace carobfall
