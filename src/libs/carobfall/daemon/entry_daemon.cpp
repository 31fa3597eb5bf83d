#include "carobfall/daemon/entry_daemon.h"

#include "carobfall/base/log_fields.h"
#include "carobfall/base/work_pool.h"
#include "carobfall/caller/caller_server.h"
#include "carobfall/config/configuration_builder.h"
#include "carobfall/config/ip_endpoint.h"
#include "carobfall/daemon/configuration_service.h"
#include "carobfall/daemon/deadline_bound_confirmation.h"
#include "carobfall/daemon/entry_state_dump.h"
#include "carobfall/dispatch/coordinator_builder.h"
#include "carobfall/dispatch/grpc_agent_channel.h"
#include "carobfall/entry/entry_server.h"
#include "carobfall/entry/entry_threads.h"
#include "carobfall/entry/grpc_entry_channel.h"
#include "carobfall/operators/operator_server.h"
#include "carobfall/platform/http_table_service.h"

#include <absl/time/clock.h>
#include <glog/logging.h>

#include <algorithm>
#include <atomic>

namespace carobfall {
namespace {

constexpr absl::Duration table_call_timeout = absl::Seconds(2);
/// Threads for calls to the other entries. They are kept between calls, because 6 entries call each
/// other 10 times a second.
constexpr std::size_t peer_call_threads = 16;
constexpr std::size_t max_peer_calls = 64;
constexpr absl::Duration maintenance_interval = absl::Milliseconds(200);
constexpr absl::Duration bound_confirmation_interval = absl::Seconds(5);
constexpr absl::Duration heartbeat_request_interval = absl::Milliseconds(500);
constexpr absl::Duration heartbeat_request_timeout = absl::Milliseconds(300);
constexpr std::size_t heartbeat_request_threads = 16;
constexpr absl::Duration drain_check_interval = absl::Milliseconds(20);
constexpr absl::Duration server_stop_timeout = absl::Seconds(5);
// A quarter of the callers' threads remains for status requests and cancels.
constexpr double waiting_thread_share = 0.75;

rpc::entry_member member_of(const entry_settings& settings)
{
    rpc::entry_member self;
    self.set_name(settings.name);
    self.set_incarnation(random_id());
    self.set_address(settings.rpc_address);
    self.set_data_centre(settings.data_centre);
    return self;
}

http_server_settings http_settings(const std::string& address, std::size_t threads)
{
    // The address can be parsed, because the settings have been validated.
    const ip_endpoint endpoint = parse_ip_endpoint(address).value_or(ip_endpoint{});
    return {.host = endpoint.ip, .port = endpoint.port, .threads = threads};
}

caller_settings caller_settings_of(const entry_settings& settings)
{
    const std::size_t threads = std::max<std::uint32_t>(4, settings.limits.caller_threads);
    caller_settings converted;
    converted.http = http_settings(settings.caller_address, threads);
    converted.http.max_body_bytes = settings.limits.max_body_bytes;
    converted.max_deadline = settings.max_deadline;
    converted.max_waiting =
        static_cast<std::size_t>(static_cast<double>(threads) * waiting_thread_share);
    return converted;
}

operator_settings operator_settings_of(const entry_settings& settings)
{
    operator_settings converted;
    converted.http.host = http_settings(settings.operator_address, converted.http.threads).host;
    converted.http.port = http_settings(settings.operator_address, converted.http.threads).port;
    converted.tokens = settings.operator_tokens;
    return converted;
}

dispatch_settings dispatch_settings_of(const entry_settings& settings)
{
    dispatch_settings converted;
    converted.region = settings.region;
    converted.max_recorded_answer_bytes = settings.limits.held_answer_bytes;
    return converted;
}

membership_settings membership_settings_of(const rpc::entry_member& self,
                                           const entry_settings& settings)
{
    membership_settings converted;
    converted.self = self;
    converted.region = settings.region;
    converted.heartbeat_interval = settings.intervals.heartbeat;
    return converted;
}

result<configuration_ptr> apply_changes(configuration_builder& builder,
                                        const rpc::push_configuration_request& changes)
{
    BOOST_OUTCOME_TRY(builder.apply(changes));
    return builder.build();
}

} // namespace

/// Members are in the order of their dependencies: each uses only those above it.
struct entry_daemon::components {
    components(const entry_settings& settings, const clock_function& clock,
               const std::function<void()>& on_superseded,
               const coordinator_hook& adjust_coordinator)
        : self(member_of(settings)),
          region(settings.region),
          table(parse_ip_endpoint(settings.platform_address).value_or(ip_endpoint{}),
                table_call_timeout),
          store(table),
          entries(make_grpc_entry_channels()),
          agents(make_grpc_agent_channel_factory()),
          members(membership_settings_of(self, settings), table,
                  make_membership_hooks(on_superseded)),
          replica(members, make_replica_hooks(clock)),
          agent_rows(
              table, settings.region, [this] { return members.may_record_joins(); },
              [this](const rpc::agent_info& agent) {
                  return check_incarnation(*agents(agent), agent);
              }),
          transfer({}, members.state(), claims, agent_rows, {.entries = entries, .agents = agents}),
          registry(agent_rows, replica, members),
          submissions(make_coordinator(settings, clock, adjust_coordinator)),
          operations({store, replica, members, registry, *submissions, entries, clock,
                      submissions->health()}),
          rpc_server({.address = settings.rpc_address, .limits = {}},
                     {members, claims, transfer, replica, registry, *submissions, clock}),
          callers(*submissions, replica, metrics, caller_settings_of(settings), clock),
          operators(
              operations, dump, metrics, [this, clock] { return unready_reasons(clock()); },
              operator_settings_of(settings))
    {
        add_entry_sections(dump, members, claims, replica, registry, *submissions, region, clock);
    }

    std::unique_ptr<coordinator> make_coordinator(const entry_settings& settings,
                                                  const clock_function& clock,
                                                  const coordinator_hook& adjust)
    {
        coordinator_builder builder;
        builder.with_ownership(members)
            .with_configuration(replica)
            .with_claims(claims)
            .with_agent_membership(agent_rows)
            .with_registry(registry)
            .with_entries(entries)
            .with_agents(agents)
            .with_clock(clock)
            .with_settings(dispatch_settings_of(settings));
        if (adjust) {
            adjust(builder);
        }
        return builder.build();
    }

    membership_hooks make_membership_hooks(const std::function<void()>& on_superseded)
    {
        membership_hooks hooks;
        hooks.channels = entries;
        hooks.run_parallel = [this](const std::vector<std::function<void()>>& calls) {
            peer_calls.for_each(calls.size(), [&](std::size_t i) { calls[i](); });
        };
        hooks.add_agents = [this](rpc::entry_beat_request& request, absl::Time now) {
            registry.report_silent_agents(request, now);
        };
        hooks.claims_transferred = [this](const rpc::entry_view& view) {
            return transfer.has_served_all(view);
        };
        hooks.configuration_version = [this] { return replica.reported_version(); };
        hooks.on_heartbeat_replies = [this](auto&&... arguments) {
            replica.on_heartbeat_replies(arguments...);
        };
        hooks.on_superseded = on_superseded;
        return hooks;
    }

    configuration_replica_hooks make_replica_hooks(const clock_function& clock)
    {
        configuration_replica_hooks hooks;
        hooks.read_changes = [this](std::uint64_t version) { return store.changes_since(version); };
        hooks.apply = [this](const configuration_ptr& /*base*/, const auto& changes) {
            return apply_changes(builder, changes);
        };
        hooks.channels = entries;
        hooks.clock = clock;
        hooks.sleep = [](absl::Duration duration) { absl::SleepFor(duration); };
        return hooks;
    }

    /// Reasons why the entry is not ready for callers, reported to load balancers.
    std::vector<std::string> unready_reasons(absl::Time now) const
    {
        std::vector<std::string> reasons;
        if (draining) {
            reasons.emplace_back("shutting down");
        }
        if (!members.snapshot().usable()) {
            reasons.emplace_back("not a member of a view in effect");
        }
        if (replica.fresh_for(now) <= absl::ZeroDuration()) {
            reasons.emplace_back("the configuration is not confirmed as current");
        }
        if (replica.reported_version() == unconfirmed_version) {
            reasons.emplace_back("the configuration has not been read since the view took effect");
        }
        if (registry.agents().empty()) {
            reasons.emplace_back("no agent has registered");
        }
        return reasons;
    }

    /// Starts takeovers after a new view has taken effect, and drops expired records.
    void maintain(absl::Time now)
    {
        const ownership_snapshot snapshot = members.snapshot();
        if (snapshot.usable() && snapshot.complete && snapshot.view.number() != handled_view) {
            handled_view = snapshot.view.number();
            submissions->on_view_in_effect(now);
        }
        submissions->deliver_notifications(now);
        submissions->expire(now);
    }

    void confirm_bounds(const clock_function& clock)
    {
        const result<void> confirmed =
            confirm_deadline_bounds(members, replica, store, region, clock);
        if (!confirmed) {
            LOG_EVERY_N(WARNING, 12) << log_fields("deadline_bound_unconfirmed")
                                            .add("error", to_string(confirmed.error()));
        }
    }

    /// Requests heartbeats from standby agents if the entry that watches them is silent or reports
    /// that they are silent.
    void request_heartbeats(absl::Time now)
    {
        rpc::fence_request request;
        *request.mutable_view() = members.snapshot().view;
        request.set_request_beat(true);
        std::vector<std::function<void()>> calls;
        for (const auto& agent : registry.due_heartbeat_requests(now)) {
            calls.emplace_back([this, agent, &request] {
                (void)agents(*agent)->fence(request, heartbeat_request_timeout);
            });
        }
        run_in_threads(calls, heartbeat_request_threads);
    }

    const rpc::entry_member self;
    const std::string region;
    std::atomic<bool> draining{false};
    std::uint64_t handled_view{0}; ///< used by the maintenance thread only
    metrics_registry metrics;
    state_dump dump;
    http_table_service table;
    configuration_store store;
    configuration_builder builder; ///< guarded by the replica's lock for changes
    claim_store claims;
    work_pool peer_calls{peer_call_threads, max_peer_calls};
    entry_channel_factory entries;
    agent_channel_factory agents;
    membership members;
    configuration_replica replica;
    agent_membership_table agent_rows;
    claim_transfer transfer;
    agent_registry registry;
    std::unique_ptr<coordinator> submissions;
    configuration_service operations;
    entry_server rpc_server;
    caller_server callers;
    operator_server operators;
    std::unique_ptr<entry_threads> threads;
    std::unique_ptr<periodic_task> maintenance_thread;
    std::unique_ptr<periodic_task> bound_confirmation_thread;
    std::unique_ptr<periodic_task> heartbeat_request_thread;
};

entry_daemon::entry_daemon(entry_settings settings, clock_function clock,
                           const std::function<void()>& on_superseded,
                           const coordinator_hook& adjust_coordinator)
    : settings_(std::move(settings)),
      clock_(std::move(clock)),
      components_(
          std::make_unique<components>(settings_, clock_, on_superseded, adjust_coordinator))
{}

entry_daemon::~entry_daemon() = default;

result<void> entry_daemon::start()
{
    BOOST_OUTCOME_TRY(components_->rpc_server.start());
    BOOST_OUTCOME_TRY(components_->operators.start());
    BOOST_OUTCOME_TRY(components_->callers.start());
    components_->threads = std::make_unique<entry_threads>(
        components_->members, components_->transfer, components_->claims, components_->replica,
        clock_, entry_thread_intervals{settings_.intervals.heartbeat, settings_.intervals.poll});
    components_->maintenance_thread = std::make_unique<periodic_task>(
        maintenance_interval, clock_, [this](absl::Time now) { components_->maintain(now); });
    components_->bound_confirmation_thread = std::make_unique<periodic_task>(
        bound_confirmation_interval, clock_,
        [this](absl::Time /*now*/) { components_->confirm_bounds(clock_); });
    components_->heartbeat_request_thread =
        std::make_unique<periodic_task>(heartbeat_request_interval, clock_, [this](absl::Time now) {
            components_->request_heartbeats(now);
        });
    LOG(INFO) << log_fields("started")
                     .add("name", settings_.name)
                     .add("incarnation", components_->self.incarnation())
                     .add("data_centre", settings_.data_centre)
                     .add("rpc", settings_.rpc_address)
                     .add("callers", settings_.caller_address)
                     .add("operators", settings_.operator_address);
    return success();
}

void entry_daemon::drain()
{
    LOG(INFO) << log_fields("draining").add("running", components_->submissions->running_jobs());
    components_->draining = true;
    components_->callers.begin_shutdown();
    components_->submissions->begin_shutdown();
    // A submission ends by its deadline at the latest.
    const absl::Time drain_deadline = clock_() + settings_.max_deadline;
    while (components_->submissions->running_jobs() > 0 && clock_() < drain_deadline) {
        absl::SleepFor(drain_check_interval);
    }
    const result<void> left = components_->members.leave(clock_());
    if (!left) {
        LOG(WARNING) << log_fields("leave_failed").add("error", to_string(left.error()));
    }
    components_->callers.stop();
    components_->bound_confirmation_thread.reset();
    components_->heartbeat_request_thread.reset();
    components_->maintenance_thread.reset();
    components_->threads.reset();
    components_->operators.stop();
    components_->rpc_server.stop(server_stop_timeout);
    LOG(INFO) << log_fields("stopped").add("name", settings_.name);
}

} // namespace carobfall
