#include "carobfall/dispatch/agent_registry.h"

#include "carobfall/base/ids.h"
#include "carobfall/base/log_fields.h"
#include "carobfall/dispatch/dispatch_settings.h"
#include "carobfall/entry/claim_store.h"

#include <absl/strings/str_cat.h>
#include <glog/logging.h>

#include <algorithm>
#include <limits>

namespace carobfall {
namespace {

/// Heartbeat interval of agents on standby.
constexpr absl::Duration standby_interval = absl::Seconds(10);
/// An agent on standby counts as alive for at most this time after its last heartbeat at this
/// entry. The time allows for one lost heartbeat.
const absl::Duration standby_validity = standby_interval + heartbeat_timeout;
/// Other entries send heartbeats every 0.5 to 1 s. An agent is put on standby only if its lease
/// entry has sent one within this timeout. After the timeout, a heartbeat is requested from the
/// agent, well before `heartbeat_timeout`.
constexpr absl::Duration entry_heartbeat_timeout = absl::Milliseconds(1500);
constexpr absl::Duration heartbeat_request_interval = absl::Seconds(1);
/// Time for which a silent agent is reported. Must exceed `standby_validity`: after that time,
/// other entries no longer count the agent as alive, even without a report.
constexpr absl::Duration silent_agent_report_period = absl::Seconds(30);
constexpr absl::Duration entry_heartbeat_retention = absl::Minutes(1);

std::string incarnation_key(const std::string& name, const std::string& incarnation)
{
    return absl::StrCat(name, "\n", incarnation);
}

/// Applies `change` and returns the number of tasks by which the agent's free capacity has grown,
/// at most the number of its slots.
template <typename Change>
std::uint32_t count_freed_slots(agent_state& agent, const Change& change)
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
    // The reported load may consist of tasks of other entries, so the starts in flight are added.
    // Otherwise, an agent that is slow to reply would be sent more tasks than its queue accepts.
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
    : members_(members),
      source_(source),
      owner_(owner),
      self_hash_(stable_hash(owner.self().incarnation()))
{}

rpc::register_reply agent_registry::on_register(const rpc::register_request& request,
                                                absl::Time now)
{
    rpc::register_reply reply;
    *reply.mutable_view() = owner_.snapshot().view;
    // The lock isn't held here, because `record_join` writes to the table service.
    const result<void> joined = members_.record_join(request.agent(), now);
    if (!joined) {
        LOG(WARNING) << log_fields("agent_join_failed")
                            .add("agent", request.agent().name())
                            .add("error", to_string(joined.error()));
        return reply;
    }
    reply.set_registered(register_incarnation(request.agent(), now));
    if (reply.registered()) {
        notify_slots_freed(request.agent().backend_server().slots());
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
        held->second.last_contact = now;
        return true;
    }
    if (held != agents_.end()) {
        lost_incarnations_[incarnation_key(info.name(), held->second.info->incarnation())] = now;
    }
    agent_state state;
    state.info = std::make_shared<const rpc::agent_info>(info);
    state.load.set_free_slots(info.backend_server().slots());
    state.last_beat = now;
    state.last_contact = now;
    state.load_reported_at = now;
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
    update_from_beat(request, reply, now);
    reply.set_lease_ms(reply.registered() ? lease_ms(snapshot, now) : 0);
    return reply;
}

void agent_registry::update_from_beat(const rpc::beat_request& request, rpc::beat_reply& reply,
                                      absl::Time now)
{
    std::uint32_t freed = 0;
    {
        const std::lock_guard lock(mutex_);
        agent_state* state = find_locked(request.agent());
        if (state == nullptr) {
            return;
        }
        reply.set_registered(true);
        freed = count_freed_slots(*state, [&] {
            state->load = request.load();
            state->leaving = request.leaving();
            state->backend_available = request.backend_available();
        });
        state->last_beat = now;
        state->last_contact = now;
        state->load_reported_at = now;
        state->lease_entry = request.lease_entry();
        state->suspected = false;
        state->on_standby = is_watched_by(request.lease_entry(), now);
        if (state->on_standby) {
            reply.set_standby_ms(
                static_cast<std::uint32_t>(absl::ToInt64Milliseconds(standby_interval)));
        }
    }
    notify_slots_freed(freed);
}

bool agent_registry::is_watched_by(std::uint64_t entry, absl::Time now) const
{
    const auto last_heartbeat = entry_heartbeats_.find(entry);
    return entry != self_hash_ && last_heartbeat != entry_heartbeats_.end() &&
           now - last_heartbeat->second <= entry_heartbeat_timeout;
}

void agent_registry::report_silent_agents(rpc::entry_beat_request& request, absl::Time now) const
{
    request.set_names_silent_agents(true);
    const std::lock_guard lock(mutex_);
    for (const auto& [name, state] : agents_) {
        const absl::Duration silence = now - state.last_contact;
        if (!state.on_standby && silence > heartbeat_timeout &&
            silence < silent_agent_report_period) {
            *request.add_silent_agents() = ref_of(*state.info);
        }
    }
}

void agent_registry::on_entry_beat(const rpc::entry_beat_request& request, absl::Time now)
{
    if (!request.names_silent_agents()) {
        return;
    }
    const std::uint64_t sender = stable_hash(request.member().incarnation());
    absl::flat_hash_set<std::string> silent;
    for (const rpc::agent_ref& agent : request.silent_agents()) {
        silent.insert(incarnation_key(agent.name(), agent.incarnation()));
    }
    const std::lock_guard lock(mutex_);
    absl::erase_if(entry_heartbeats_, [&](const auto& last_heartbeat) {
        return now - last_heartbeat.second > entry_heartbeat_retention;
    });
    entry_heartbeats_[sender] = now;
    for (auto& [name, state] : agents_) {
        if (!state.on_standby || state.suspected || state.lease_entry != sender ||
            now - state.last_contact > standby_validity) {
            continue;
        }
        const bool is_silent =
            !silent.empty() && silent.contains(incarnation_key(name, state.info->incarnation()));
        state.last_beat = is_silent ? state.last_contact : now;
    }
}

std::vector<std::shared_ptr<const rpc::agent_info>>
agent_registry::due_heartbeat_requests(absl::Time now)
{
    std::vector<std::shared_ptr<const rpc::agent_info>> due;
    const std::lock_guard lock(mutex_);
    for (auto& [name, state] : agents_) {
        if (state.on_standby && !state.leaving && now - state.last_beat > entry_heartbeat_timeout &&
            now - state.last_contact <= standby_validity &&
            now - state.heartbeat_requested_at >= heartbeat_request_interval) {
            state.heartbeat_requested_at = now;
            due.push_back(state.info);
        }
    }
    return due;
}

void agent_registry::notify_slots_freed(std::uint32_t slots) const
{
    if (slots > 0 && on_slots_freed_) {
        on_slots_freed_(slots);
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

void agent_registry::update_load(const rpc::agent_ref& agent, const rpc::agent_load& load,
                                 absl::Time now)
{
    std::uint32_t freed = 0;
    {
        const std::lock_guard lock(mutex_);
        if (agent_state* state = find_locked(agent)) {
            freed = count_freed_slots(*state, [&] { state->load = load; });
            state->load_reported_at = now;
        }
    }
    notify_slots_freed(freed);
}

void agent_registry::on_report(const rpc::report_request& request, absl::Time now)
{
    if (request.has_load()) {
        update_load(request.agent(), request.load(), now);
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

void agent_registry::mark_suspected(const rpc::agent_ref& agent)
{
    const std::lock_guard lock(mutex_);
    if (agent_state* state = find_locked(agent)) {
        state->suspected = true;
    }
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
                               const std::optional<rpc::agent_load>& load, absl::Time now)
{
    std::uint32_t freed = 0;
    {
        const std::lock_guard lock(mutex_);
        if (agent_state* state = find_locked(agent)) {
            freed = count_freed_slots(*state, [&] {
                state->in_flight -= std::min(tasks, state->in_flight);
                // The starts may have arrived, so they count as queued until the next reported
                // load.
                state->load.set_queued(state->load.queued() + tasks);
                state->load = load.value_or(state->load);
            });
            state->load_reported_at = now;
        }
    }
    notify_slots_freed(freed);
}

std::uint32_t agent_registry::remove_outstanding(const rpc::agent_ref& agent, std::uint32_t tasks)
{
    const std::lock_guard lock(mutex_);
    agent_state* state = find_locked(agent);
    if (state == nullptr) {
        return 0;
    }
    return count_freed_slots(*state,
                             [&] { state->outstanding -= std::min(tasks, state->outstanding); });
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
