#include "carobfall/dispatch/agent_registry.h"

#include "carobfall/base/log_fields.h"
#include "carobfall/dispatch/dispatch_settings.h"
#include "carobfall/entry/claim_store.h"

#include <absl/strings/str_cat.h>
#include <glog/logging.h>

#include <algorithm>
#include <limits>

namespace carobfall {
namespace {

std::string incarnation_key(const std::string& name, const std::string& incarnation)
{
    return absl::StrCat(name, "\n", incarnation);
}

/// Applies a change and returns how many tasks more the agent can take by it.
template <typename Change>
std::uint32_t room_gained(agent_state& agent, const Change& change)
{
    const std::uint32_t slots = agent.info->backend_server().slots();
    const auto taken = [&] {
        return agent.leaving || !agent.backend_available ? std::numeric_limits<std::uint32_t>::max()
                                                         : agent.tasks();
    };
    const std::uint32_t before = taken();
    change();
    return std::min(slots, before - std::min(before, taken()));
}

} // namespace

std::uint32_t agent_state::tasks() const
{
    // Tasks of other entries in the load hide the starts in flight unless they are added: an agent
    // that is slow to answer then got more tasks than its queue takes.
    return std::max(load.running() + load.queued() + in_flight, outstanding);
}

rpc::agent_ref ref_of(const rpc::agent_info& info)
{
    rpc::agent_ref ref;
    ref.set_name(info.name());
    ref.set_incarnation(info.incarnation());
    return ref;
}

agent_registry::agent_registry(agent_membership& members, const configuration_source& source,
                               const ownership& owner)
    : members_(members), source_(source), owner_(owner)
{}

rpc::register_reply agent_registry::on_register(const rpc::register_request& request,
                                                absl::Time now)
{
    rpc::register_reply reply;
    *reply.mutable_view() = owner_.snapshot().view;
    // No lock is held here: the join is a write to the table service.
    const result<void> joined = members_.record_join(request.agent(), now);
    if (!joined) {
        LOG(WARNING) << log_fields("agent_join_failed")
                            .add("agent", request.agent().name())
                            .add("error", to_string(joined.error()));
        return reply;
    }
    reply.set_registered(register_incarnation(request.agent(), now));
    if (reply.registered()) {
        notify_room(request.agent().backend_server().slots());
    }
    return reply;
}

bool agent_registry::register_incarnation(const rpc::agent_info& info, absl::Time now)
{
    const std::lock_guard lock(mutex_);
    absl::erase_if(lost_incarnations_, [&](const auto& lost) {
        return lost.second + max_deadline + record_retention < now;
    });
    if (lost_incarnations_.contains(incarnation_key(info.name(), info.incarnation()))) {
        return false;
    }
    const auto held = agents_.find(info.name());
    if (held != agents_.end() && held->second.info->incarnation() == info.incarnation()) {
        held->second.info = std::make_shared<const rpc::agent_info>(info);
        held->second.last_beat = now;
        return true;
    }
    if (held != agents_.end()) {
        lost_incarnations_[incarnation_key(info.name(), held->second.info->incarnation())] = now;
    }
    agent_state state;
    state.info = std::make_shared<const rpc::agent_info>(info);
    state.load.set_free_slots(info.backend_server().slots());
    state.last_beat = now;
    agents_.insert_or_assign(info.name(), std::move(state));
    LOG(INFO) << log_fields("agent_registered")
                     .add("agent", info.name())
                     .add("incarnation", info.incarnation())
                     .add("data_centre", info.data_centre());
    return true;
}

rpc::beat_reply agent_registry::on_beat(const rpc::beat_request& request, absl::Time now)
{
    rpc::beat_reply reply;
    reply.set_send_time_us(request.send_time_us());
    const configuration_ptr current = source_.current();
    reply.set_configuration_version(current->version);
    if (!request.keeps_data_centres_out() || request.configuration_version() != current->version) {
        for (const std::string& data_centre : current->data_centres_out) {
            reply.add_data_centres_out(data_centre);
        }
    }
    const ownership_snapshot snapshot = owner_.snapshot();
    if (request.view_number() != snapshot.view.number()) {
        *reply.mutable_view() = snapshot.view;
    }
    reply.set_registered(update_from_beat(request, now));
    reply.set_lease_ms(reply.registered() ? lease_ms(snapshot, now) : 0);
    return reply;
}

bool agent_registry::update_from_beat(const rpc::beat_request& request, absl::Time now)
{
    std::uint32_t gained = 0;
    {
        const std::lock_guard lock(mutex_);
        agent_state* state = find_locked(request.agent());
        if (state == nullptr) {
            return false;
        }
        gained = room_gained(*state, [&] {
            state->load = request.load();
            state->leaving = request.leaving();
            state->backend_available = request.backend_available();
        });
        state->last_beat = now;
    }
    notify_room(gained);
    return true;
}

void agent_registry::notify_room(std::uint32_t slots) const
{
    if (slots > 0 && on_room_) {
        on_room_(slots);
    }
}

std::uint32_t agent_registry::lease_ms(const ownership_snapshot& snapshot, absl::Time now) const
{
    if (!snapshot.usable()) {
        return 0;
    }
    const absl::Duration lease = std::min(max_start_lease, source_.fresh_for(now));
    return static_cast<std::uint32_t>(std::max<std::int64_t>(0, absl::ToInt64Milliseconds(lease)));
}

void agent_registry::update_load(const rpc::agent_ref& agent, const rpc::agent_load& load)
{
    std::uint32_t gained = 0;
    {
        const std::lock_guard lock(mutex_);
        if (agent_state* state = find_locked(agent)) {
            gained = room_gained(*state, [&] { state->load = load; });
        }
    }
    notify_room(gained);
}

void agent_registry::on_report(const rpc::report_request& request, absl::Time now)
{
    if (request.has_load()) {
        update_load(request.agent(), request.load());
    }
    if (on_report_) {
        on_report_(request, now);
    }
}

std::vector<agent_state> agent_registry::agents() const
{
    const std::lock_guard lock(mutex_);
    std::vector<agent_state> states;
    states.reserve(agents_.size());
    for (const auto& [name, state] : agents_) {
        states.push_back(state);
    }
    return states;
}

void agent_registry::for_each(const std::function<void(const agent_state&)>& visit) const
{
    const std::lock_guard lock(mutex_);
    for (const auto& [name, state] : agents_) {
        visit(state);
    }
}

std::optional<agent_state> agent_registry::find(const rpc::agent_ref& agent) const
{
    const std::lock_guard lock(mutex_);
    const auto found = agents_.find(agent.name());
    if (found == agents_.end() || found->second.info->incarnation() != agent.incarnation()) {
        return std::nullopt;
    }
    return found->second;
}

bool agent_registry::is_lost(const rpc::agent_ref& agent) const
{
    const std::lock_guard lock(mutex_);
    return lost_incarnations_.contains(incarnation_key(agent.name(), agent.incarnation()));
}

void agent_registry::add_outstanding(const rpc::agent_ref& agent, std::uint32_t tasks)
{
    const std::lock_guard lock(mutex_);
    if (agent_state* state = find_locked(agent)) {
        state->outstanding += tasks;
        state->in_flight += tasks;
    }
}

void agent_registry::end_start(const rpc::agent_ref& agent, std::uint32_t tasks,
                               const std::optional<rpc::agent_load>& load)
{
    std::uint32_t gained = 0;
    {
        const std::lock_guard lock(mutex_);
        if (agent_state* state = find_locked(agent)) {
            gained = room_gained(*state, [&] {
                state->in_flight -= std::min(tasks, state->in_flight);
                // The starts may have arrived: they count until the next report says more.
                state->load.set_queued(state->load.queued() + tasks);
                state->load = load.value_or(state->load);
            });
        }
    }
    notify_room(gained);
}

std::uint32_t agent_registry::remove_outstanding(const rpc::agent_ref& agent, std::uint32_t tasks)
{
    const std::lock_guard lock(mutex_);
    agent_state* state = find_locked(agent);
    if (state == nullptr) {
        return 0;
    }
    return room_gained(*state, [&] { state->outstanding -= std::min(tasks, state->outstanding); });
}

agent_state* agent_registry::find_locked(const rpc::agent_ref& agent)
{
    const auto found = agents_.find(agent.name());
    if (found == agents_.end() || found->second.info->incarnation() != agent.incarnation()) {
        return nullptr;
    }
    return &found->second;
}

} // namespace carobfall
