#include "carobfall/dispatch/coordinator_builder.h"

#include <glog/logging.h>

#include <utility>

namespace carobfall {

coordinator_builder& coordinator_builder::with_ownership(const ownership& owner)
{
    outside_.owner = &owner;
    return *this;
}

coordinator_builder& coordinator_builder::with_configuration(const configuration_source& source)
{
    outside_.configuration = &source;
    return *this;
}

coordinator_builder& coordinator_builder::with_claims(claim_store& claims)
{
    outside_.claims = &claims;
    return *this;
}

coordinator_builder& coordinator_builder::with_membership(agent_membership& members)
{
    outside_.members = &members;
    return *this;
}

coordinator_builder& coordinator_builder::with_registry(agent_registry& registry)
{
    outside_.registry = &registry;
    return *this;
}

coordinator_builder& coordinator_builder::with_entries(entry_channel_factory entries)
{
    outside_.entries = std::move(entries);
    return *this;
}

coordinator_builder& coordinator_builder::with_agents(agent_channel_factory agents)
{
    outside_.agents = std::move(agents);
    return *this;
}

coordinator_builder& coordinator_builder::with_placement(placement_policy policy)
{
    outside_.placement = std::move(policy);
    return *this;
}

coordinator_builder& coordinator_builder::with_backoff(backoff_table steps)
{
    outside_.backoff = std::move(steps);
    return *this;
}

coordinator_builder& coordinator_builder::with_random(random_source random)
{
    outside_.random = std::move(random);
    return *this;
}

coordinator_builder& coordinator_builder::with_clock(clock_function clock)
{
    outside_.clock = std::move(clock);
    return *this;
}

coordinator_builder& coordinator_builder::with_settings(const dispatch_settings& settings)
{
    settings_ = settings;
    return *this;
}

std::unique_ptr<coordinator> coordinator_builder::build()
{
    CHECK(outside_.owner != nullptr && outside_.configuration != nullptr &&
          outside_.claims != nullptr && outside_.members != nullptr &&
          outside_.registry != nullptr && outside_.entries && outside_.agents)
        << "coordinator_builder: a required dependency is missing";
    if (!outside_.clock) {
        outside_.clock = monotonic_now;
    }
    if (!outside_.random) {
        outside_.random = make_random_source();
    }
    if (!outside_.placement) {
        outside_.placement = make_two_choices(outside_.random);
    }
    agent_registry* registry = outside_.registry;
    std::unique_ptr<coordinator> built(new coordinator(std::move(outside_), settings_));
    registry->set_report_handler(
        [target = built.get()](const rpc::report_request& request, absl::Time now) {
            target->on_report(request, now);
        });
    registry->set_room_handler(
        [target = built.get()](std::uint32_t slots) { target->on_room(slots); });
    return built;
}

} // namespace carobfall
