#include "entry_process.h"

#include "channels.h"
#include "mutations.h"
#include "simulated_region.h"

#include "carobfall/daemon/deadline_bound_confirmation.h"
#include "carobfall/dispatch/coordinator_builder.h"

#include <algorithm>
#include <numeric>

namespace carobfall::stateful {
namespace {

/// Real time for which a thread sleeps between two reads of the fake clock.
constexpr absl::Duration real_sleep_time = absl::Microseconds(1);
constexpr std::size_t run_threads = 12;

dispatch_settings fast_settings()
{
    dispatch_settings settings;
    settings.region = "r";
    settings.call_retry_pause = real_sleep_time;
    settings.grant_retry_pause = real_sleep_time;
    settings.event_wait_timeout = real_sleep_time;
    settings.answer_wait_timeout = real_sleep_time;
    settings.run_threads = run_threads;
    settings.call_threads = 0; // calls to several agents are made sequentially
    return settings;
}

void run_in_order(const std::vector<std::function<void()>>& calls)
{
    for (const auto& call : calls) {
        call();
    }
}

/// Deterministic placement: fills the agents in the order of their names, starting at a position
/// that depends on the number of tasks. The order of the candidates differs from run to run.
std::vector<std::uint32_t> place_in_name_order(const std::vector<placement_candidate>& candidates,
                                               std::uint32_t tasks)
{
    std::vector<std::size_t> order(candidates.size());
    std::iota(order.begin(), order.end(), 0);
    std::sort(order.begin(), order.end(), [&](std::size_t left, std::size_t right) {
        return candidates[left].info->name() < candidates[right].info->name();
    });
    std::vector<std::uint32_t> counts(candidates.size(), 0);
    std::uint32_t idle = 0;
    for (std::size_t next = tasks; tasks > 0 && idle < order.size(); ++next) {
        const std::size_t chosen = order[next % order.size()];
        const bool fits = counts[chosen] < candidates[chosen].room;
        counts[chosen] += fits ? 1 : 0;
        tasks -= fits ? 1 : 0;
        idle = fits ? 0 : idle + 1;
    }
    return counts;
}

random_source counting_random()
{
    auto state = std::make_shared<std::uint64_t>(1);
    return [state] { return stable_hash(std::to_string((*state)++)); };
}

} // namespace

entry_process::entry_process(simulated_region& region, const rpc::entry_member& member)
    : self(member),
      store(region.table(), {},
            [this, &region](absl::Duration) { region.scheduler().yield(control); }),
      replica_store(region.table(), {}, [](absl::Duration) {})
{
    make_members(region);
    make_transfer(region);
    make_coordinator(region);
    control.busy_pool_threads = [this] {
        return std::min(submissions->pooled_jobs(), run_threads);
    };
}

void entry_process::make_members(simulated_region& region)
{
    membership_hooks hooks;
    hooks.channels = entry_channels_from(region, *this);
    hooks.connection_refused = [&region](const std::string& address) {
        return region.refuses(address);
    };
    hooks.run_parallel = run_in_order;
    hooks.sleep = [this, &region](absl::Duration time) {
        const absl::Time end = region.now() + time;
        while (!control.is_dead && region.now() < end) {
            region.scheduler().yield(control);
        }
    };
    hooks.configuration_version = [this] { return replica->reported_version(); };
    hooks.add_agents = [this](auto& request, absl::Time now) {
        registry->report_silent_agents(request, now);
    };
    hooks.on_heartbeat_replies = [this](auto&&... arguments) {
        replica->on_heartbeat_replies(arguments...);
    };
    hooks.on_superseded = [this] { is_superseded = true; };
    hooks.claims_transferred = [this](const auto& view) { return transfer->has_served_all(view); };
    membership_settings settings;
    settings.self = self;
    settings.region = std::string("r");
    members = std::make_unique<membership>(settings, region.table(), hooks);

    configuration_replica_hooks source;
    source.read_changes = [this](std::uint64_t version) {
        return replica_store.changes_since(version);
    };
    source.apply =
        [this,
         &region](const configuration_ptr&,
                  const rpc::push_configuration_request& changes) -> result<configuration_ptr> {
        BOOST_OUTCOME_TRY(builder.apply(changes));
        auto built = std::make_shared<configuration>(*builder.build());
        for (auto& [account, bound] : built->deadline_bounds) {
            if (region.mutation() == rule_removed::bound) {
                bound.earlier_values.clear();
            }
        }
        return configuration_ptr(built);
    };
    source.channels = hooks.channels;
    source.run_parallel = run_in_order;
    source.clock = region.clock_of(control);
    source.sleep = [this, &region](absl::Duration) { region.scheduler().yield(control); };
    replica = std::make_unique<configuration_replica>(*members, source);
}

void entry_process::make_transfer(simulated_region& region)
{
    agent_rows = std::make_unique<agent_membership_table>(
        region.table(), "r", [this] { return members->may_record_joins(); },
        [channels = agent_channels_from(region, *this)](const rpc::agent_info& agent) {
            return check_incarnation(*channels(agent), agent);
        });
    claim_transfer_hooks hooks;
    hooks.entries = entry_channels_from(region, *this);
    hooks.agents = agent_channels_from(region, *this);
    hooks.run_parallel = run_in_order;
    hooks.run_parallel_agents = run_in_order;
    transfer = std::make_unique<claim_transfer>(claim_transfer_settings{}, members->state(), claims,
                                                *agent_rows, hooks);
}

void entry_process::make_coordinator(simulated_region& region)
{
    owner = std::make_unique<ownership_override>(*members,
                                                 region.mutation() == rule_removed::completeness);
    registry = std::make_unique<agent_registry>(*agent_rows, *replica, *members);
    const random_source random = counting_random();
    submissions = coordinator_builder()
                      .with_ownership(*owner)
                      .with_configuration(*replica)
                      .with_claims(claims)
                      .with_agent_membership(*agent_rows)
                      .with_registry(*registry)
                      .with_entries(entry_channels_from(region, *this))
                      .with_agents(agent_channels_from(region, *this))
                      .with_placement(place_in_name_order)
                      .with_random(random)
                      .with_clock(region.clock_of(control))
                      .with_settings(fast_settings())
                      .build();
}

void entry_process::step(absl::Time now)
{
    replica->poll(now);
    members->send_heartbeats(now);
    members->tick(now);
    transfer->tick(now);
    replica->push_to_others();
    const ownership_snapshot snapshot = members->snapshot();
    if (snapshot.usable() && snapshot.complete && snapshot.view.number() != adopted_view_) {
        adopted_view_ = snapshot.view.number();
        submissions->on_view_in_effect(now);
    }
    submissions->deliver_notifications(now);
    submissions->expire(now);
    (void)confirm_deadline_bounds(*members, *replica, replica_store, "r", [now] { return now; });
}

} // namespace carobfall::stateful
