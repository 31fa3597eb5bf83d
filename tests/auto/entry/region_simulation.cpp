#include "region_simulation.h"

#include "../support/unreachable_entry.h"
#include "carobfall/base/clock.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

namespace carobfall::test {
namespace {

class simulated_channel : public testing::unreachable_entry {
public:
    simulated_channel(region_simulation& region, int from, rpc::entry_member to)
        : region_(region), from_(from), to_(std::move(to))
    {}

    result<rpc::fetch_claims_reply> fetch_claims(const rpc::fetch_claims_request& request,
                                                 absl::Duration) override
    {
        return call([&](simulated_entry& entry) { return entry.transfer->serve(request); });
    }
    result<rpc::prepare_view_reply> prepare_view(const rpc::prepare_view_request& request,
                                                 absl::Duration) override
    {
        return call([&](simulated_entry& entry) { return entry.members->prepare(request); });
    }
    result<rpc::activate_view_reply> activate_view(const rpc::activate_view_request& request,
                                                   absl::Duration) override
    {
        return call(
            [&](simulated_entry& entry) { return entry.members->activate(request, region_.now); });
    }
    result<rpc::entry_beat_reply> entry_beat(const rpc::entry_beat_request& request,
                                             absl::Duration) override
    {
        // Handled by whichever process has the address.
        return call(
            [&](simulated_entry& entry) { return entry.members->handle_heartbeat(request); },
            region_.reach_address(from_, to_.address()));
    }
    result<rpc::push_configuration_reply>
    push_configuration(const rpc::push_configuration_request& request, absl::Duration) override
    {
        return call([&](simulated_entry& entry) { return entry.replica->receive(request); });
    }

private:
    template <typename Action>
    auto call(const Action& action) -> result<decltype(action(std::declval<simulated_entry&>()))>
    {
        return call(action, region_.reach(from_, to_));
    }

    template <typename Action>
    auto call(const Action& action, simulated_entry* entry)
        -> result<decltype(action(std::declval<simulated_entry&>()))>
    {
        if (entry == nullptr) {
            return unreachable();
        }
        return action(*entry);
    }

    region_simulation& region_;
    const int from_;
    const rpc::entry_member to_;
};

class simulated_agent_channel : public agent_channel {
public:
    simulated_agent_channel(region_simulation& region, std::string incarnation)
        : region_(region), incarnation_(std::move(incarnation))
    {}

    result<rpc::start_reply> start(const rpc::start_request&, absl::Duration) override
    {
        return failure(error_kind::internal, "not simulated", "extend the simulation");
    }
    result<rpc::revoke_reply> revoke(const rpc::revoke_request&, absl::Duration) override
    {
        return failure(error_kind::internal, "not simulated", "extend the simulation");
    }
    result<rpc::fence_reply> fence(const rpc::fence_request& request, absl::Duration) override
    {
        for (simulated_agent& agent : region_.agents) {
            if (agent.info.incarnation() != incarnation_ || !agent.reachable) {
                continue;
            }
            agent.highest_view = std::max(agent.highest_view, request.view().number());
            rpc::fence_reply reply;
            reply.set_view_number(agent.highest_view);
            reply.set_incarnation(incarnation_);
            for (const auto& [key, deadline] : agent.started) {
                rpc::record_summary* record = reply.add_records();
                *record->mutable_submission() = to_message(key);
                record->set_state(rpc::task_state_started);
                record->set_deadline_unix_ms(deadline);
            }
            return reply;
        }
        return failure(error_kind::unavailable, "unreachable", "wait");
    }

private:
    region_simulation& region_;
    const std::string incarnation_;
};

membership_hooks make_hooks(region_simulation& region, simulated_entry& entry, int index)
{
    membership_hooks hooks;
    hooks.channels = [&region, index](const rpc::entry_member& member) {
        return std::make_shared<simulated_channel>(region, index, member);
    };
    hooks.connection_refused = [&region](const std::string& address) {
        return region.refuses(address);
    };
    hooks.run_parallel = [](const auto& calls) {
        for (const auto& call : calls) {
            call();
        }
    };
    hooks.sleep = [&region](absl::Duration) { region.run(1); };
    hooks.configuration_version = [&entry] { return entry.replica->reported_version(); };
    hooks.on_heartbeat_replies = [&entry](auto sent, const auto& view, const auto& replies) {
        entry.replica->on_heartbeat_replies(sent, view, replies);
    };
    hooks.claims_transferred = [&entry](const auto& view) {
        return entry.transfer->has_served_all(view);
    };
    hooks.on_superseded = [&entry] { entry.is_superseded = true; };
    return hooks;
}

configuration_replica_hooks make_replica_hooks(region_simulation& region,
                                               const membership_hooks& hooks)
{
    configuration_replica_hooks replica;
    replica.read_changes =
        [&region](std::uint64_t version) -> result<rpc::push_configuration_request> {
        if (region.table.outage()) {
            return failure(error_kind::unavailable, "outage", "wait");
        }
        rpc::push_configuration_request push;
        push.set_version(region.store_version);
        for (std::uint64_t next = version + 1; next <= region.store_version; ++next) {
            push.add_changes()->set_version(next);
        }
        return push;
    };
    replica.apply = [](const configuration_ptr&, const rpc::push_configuration_request& changes) {
        auto applied = std::make_shared<configuration>();
        applied->version = changes.version();
        return result<configuration_ptr>(std::move(applied));
    };
    replica.channels = hooks.channels;
    replica.run_parallel = hooks.run_parallel;
    replica.clock = [&region] { return region.now; };
    replica.sleep = hooks.sleep;
    return replica;
}

} // namespace

simulated_entry::simulated_entry(region_simulation& region, int index, int generation)
{
    self.set_name(absl::StrCat("entry-", index));
    self.set_incarnation(absl::StrCat(index, ".", generation));
    self.set_address(absl::StrCat("10.0.0.", index));
    self.set_data_centre(absl::StrCat("dc-", index % 3));
    const membership_hooks hooks = make_hooks(region, *this, index);
    membership_settings settings;
    settings.self = self;
    settings.region = std::string("r");
    members = std::make_unique<membership>(settings, region.table, hooks);
    replica = std::make_unique<configuration_replica>(*members, make_replica_hooks(region, hooks));
    agents = std::make_unique<agent_membership_table>(
        region.table, "r", [this] { return members->may_record_joins(); },
        [](const rpc::agent_info&) { return success(); });
    claim_transfer_hooks transfer_hooks;
    transfer_hooks.entries = hooks.channels;
    transfer_hooks.agents = [&region](const rpc::agent_info& agent) {
        return std::make_shared<simulated_agent_channel>(region, agent.incarnation());
    };
    transfer_hooks.run_parallel = hooks.run_parallel;
    transfer_hooks.run_parallel_agents = hooks.run_parallel;
    transfer = std::make_unique<claim_transfer>(claim_transfer_settings{}, members->state(), claims,
                                                *agents, transfer_hooks);
}

region_simulation::region_simulation(int entry_count, int agent_count)
    : generations_(static_cast<std::size_t>(entry_count))
{
    entries.resize(static_cast<std::size_t>(entry_count));
    for (int i = 0; i < entry_count; ++i) {
        start(i);
    }
    agents.resize(static_cast<std::size_t>(agent_count));
    for (int i = 0; i < agent_count; ++i) {
        restart_agent(i);
    }
}

void region_simulation::start(int index)
{
    const auto slot = static_cast<std::size_t>(index);
    entries[slot] = std::make_unique<simulated_entry>(*this, index, ++generations_[slot]);
}

void region_simulation::restart_agent(int index)
{
    simulated_agent& agent = agents[static_cast<std::size_t>(index)];
    agent = {};
    agent.info.set_name(absl::StrCat("agent-", index));
    agent.info.set_incarnation(absl::StrCat(index, ".", ++agent_generation_));
}

void region_simulation::step(int index)
{
    const auto& entry = entries[static_cast<std::size_t>(index)];
    if (entry == nullptr || entry->is_paused) {
        return;
    }
    entry->replica->poll(now);
    entry->members->send_heartbeats(now);
    entry->members->tick(now);
    entry->transfer->tick(now);
    entry->replica->push_to_others();
    entry->claims.expire(now);
}

void region_simulation::run(int rounds)
{
    for (int round = 0; round < rounds; ++round) {
        for (int i = 0; i < static_cast<int>(entries.size()); ++i) {
            step(i);
        }
        now += absl::Milliseconds(500);
    }
}

bool region_simulation::is_cut(int left, int right) const
{
    return cuts.contains(std::minmax(left, right)) || one_way_cuts.contains({left, right});
}

int region_simulation::index_of(const std::string& address)
{
    return address.back() - '0';
}

bool region_simulation::refuses(const std::string& address) const
{
    return dead_hosts_refuse && entries[static_cast<std::size_t>(index_of(address))] == nullptr;
}

simulated_entry* region_simulation::reach_address(int from, const std::string& address)
{
    const int to = index_of(address);
    simulated_entry* entry = entries[static_cast<std::size_t>(to)].get();
    return entry != nullptr && !entry->is_paused && !is_cut(from, to) ? entry : nullptr;
}

simulated_entry* region_simulation::reach(int from, const rpc::entry_member& member)
{
    simulated_entry* entry = reach_address(from, member.address());
    return entry != nullptr && entry->self.incarnation() == member.incarnation() ? entry : nullptr;
}

} // namespace carobfall::test
