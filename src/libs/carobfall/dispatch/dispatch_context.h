#pragma once

#include "carobfall/base/clock.h"
#include "carobfall/base/work_pool.h"
#include "carobfall/config/configuration.h"
#include "carobfall/dispatch/account_limits.h"
#include "carobfall/dispatch/agent_channel.h"
#include "carobfall/dispatch/agent_registry.h"
#include "carobfall/dispatch/answer_notifier.h"
#include "carobfall/dispatch/backend_health.h"
#include "carobfall/dispatch/dispatch_settings.h"
#include "carobfall/dispatch/placement.h"
#include "carobfall/dispatch/retry_budget.h"
#include "carobfall/dispatch/run_times.h"
#include "carobfall/dispatch/slot_waiters.h"
#include "carobfall/dispatch/submission_table.h"
#include "carobfall/entry/agent_membership.h"
#include "carobfall/entry/claim_store.h"
#include "carobfall/entry/entry_channel.h"
#include "carobfall/entry/ownership.h"

namespace carobfall {

/// Dependencies of a coordinator, which `coordinator_builder` collects.
struct dispatch_dependencies {
    const ownership* owner{nullptr};
    const configuration_source* configuration{nullptr};
    claim_store* claims{nullptr};
    agent_membership* members{nullptr};
    agent_registry* registry{nullptr};
    entry_channel_factory entries;
    agent_channel_factory agents;
    placement_policy placement;
    backoff_table backoff{default_backoff_table()};
    random_source random;
    clock_function clock;
};

/// State and dependencies shared by the parts of a coordinator.
struct dispatch_context {
    dispatch_context(dispatch_dependencies given, const dispatch_settings& set)
        : dependencies(std::move(given)),
          settings(set),
          table(set.max_recorded_answer_bytes),
          health(dependencies.backoff, dependencies.random),
          notifier(*dependencies.owner, dependencies.entries, set.claim_call_timeout),
          retries(set.retry_share, set.retries_per_second),
          run_averages(set.max_measured_templates),
          call_pool(set.call_threads, set.run_queue)
    {}

    [[nodiscard]] absl::Time now() const { return dependencies.clock(); }

    const dispatch_dependencies dependencies;
    const dispatch_settings settings;
    submission_table table;
    account_limits limits;
    backend_health health;
    answer_notifier notifier;
    retry_budget retries;
    run_times run_averages;
    slot_waiters waiters;
    work_pool call_pool; ///< for parallel calls to several agents
};

} // namespace carobfall
