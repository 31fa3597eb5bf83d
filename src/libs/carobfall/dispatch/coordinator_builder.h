#pragma once

#include "carobfall/dispatch/coordinator.h"

#include <memory>

namespace carobfall {

/// Builds a coordinator. All dependencies are required except the placement policy, the backoff,
/// the random source and the clock. Objects passed by reference must outlive the coordinator.
class coordinator_builder {
public:
    coordinator_builder& with_ownership(const ownership& owner);
    coordinator_builder& with_configuration(const configuration_source& source);
    coordinator_builder& with_claims(claim_store& claims);
    coordinator_builder& with_agent_membership(agent_membership& members);
    /// `build` sets the coordinator as the handler of the reports and free slots of the registry.
    coordinator_builder& with_registry(agent_registry& registry);
    coordinator_builder& with_entries(entry_channel_factory entries);
    coordinator_builder& with_agents(agent_channel_factory agents);
    coordinator_builder& with_placement(placement_policy policy);
    coordinator_builder& with_backoff(backoff_table steps);
    coordinator_builder& with_random(random_source random);
    coordinator_builder& with_clock(clock_function clock);
    coordinator_builder& with_settings(const dispatch_settings& settings);

    [[nodiscard]] std::unique_ptr<coordinator> build();

private:
    dispatch_dependencies dependencies_;
    dispatch_settings settings_;
};

} // namespace carobfall
