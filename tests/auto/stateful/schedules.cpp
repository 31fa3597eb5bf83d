#include "schedules.h"

#include "carobfall/entry/rendezvous.h"
#include "carobfall/platform/configuration_rows.h"

namespace carobfall::stateful {
namespace {

constexpr int most_steps = 2000;
/// Long enough for a view change, a transfer of claims and the expiry of all leases.
constexpr int view_change_rounds = 120;
/// Number of rounds of one heartbeat interval each in the given time.
int rounds_of(absl::Duration time)
{
    return static_cast<int>(time / heartbeat_interval);
}

/// Long enough for entries to detect that an agent is silent.
constexpr int silent_agent_rounds = 40;
/// Id of a submission with one task.
constexpr int single_task_id = 0;
constexpr absl::Duration short_deadline = absl::Seconds(10);

/// A healthy region, a submission with one task, and the roles of the entries for it.
struct scene {
    explicit scene(rule_removed mutation) : region(mutation)
    {
        healthy = region.begin();
        request = region.request_for(single_task_id, 0);
        request.set_deadline_unix_ms(to_unix_ms(region.now() + long_deadline));
        key = from_message(request.key());
        const rpc::entry_view view = region.entry(0)->members->snapshot().view;
        coordinator = index_of(*coordinator_of(view, key));
        witness = index_of(*witness_of(view, key));
        other = entry_count - coordinator - witness;
    }

    static int index_of(const rpc::entry_member& member) { return member.name().back() - '0'; }

    /// Resumes threads one yield point at a time until the condition holds.
    bool step_until(const std::function<bool()>& condition)
    {
        for (int step = 0; step < most_steps && !condition(); ++step) {
            region.turns().resume_all(1);
        }
        return condition();
    }

    bool run_until(const std::function<bool()>& condition)
    {
        for (int round = 0; round < most_steps && !condition(); ++round) {
            region.run(1);
        }
        return condition();
    }

    bool restart_until_healthy()
    {
        return run_until([&] {
            region.start_entry(coordinator);
            region.start_entry(witness);
            return region.is_healthy();
        });
    }

    /// Declares the short deadlines; true once the entries hold the change and a confirmed end of
    /// the earlier bound.
    bool lower_deadlines()
    {
        region.declare(short_deadline);
        return run_until([&] {
            const configuration_ptr held = region.entry(other)->replica->current();
            const absl::Duration declared = held->find_template("dambi", "check")->max_deadline;
            return declared == short_deadline &&
                   !held->deadline_bounds.at("dambi").is_unconfirmed("r");
        });
    }

    /// The agent that holds a record of the task, or -1.
    [[nodiscard]] int holder() const
    {
        for (int i = 0; i < agent_count; ++i) {
            if (!region.agent(i)->ledger().dump().empty()) {
                return i;
            }
        }
        return -1;
    }

    /// Cuts the connections of the agent that has run the task, so that it can neither be queried
    /// nor receive work.
    void isolate_holder()
    {
        const std::string name = region.agent(holder())->info().name();
        for (const std::string& entry : region.entry_names()) {
            region.network().cut(name, entry);
        }
    }

    /// Makes the backend server of the agent refuse connections, so that it receives no more work.
    void take_work_from(int agent) { region.agent(agent)->set_backend(backend_state::gone); }

    /// Injects the fault into the first call from the coordinator to an agent.
    void plan_for_agents(call_fault fault)
    {
        region.network().choose = [this, fault](const std::string& sender,
                                                const std::string& receiver) {
            const bool chosen =
                delayed_at.empty() &&
                sender == region.entry_names()[static_cast<std::size_t>(coordinator)] &&
                receiver.starts_with("agent-");
            delayed_at = chosen ? receiver : delayed_at;
            return chosen ? fault : call_fault::none;
        };
    }

    schedule_outcome end(bool reached)
    {
        region.recover();
        region.run(view_change_rounds);
        return {healthy && reached, region.violation(), region.facts().starts(key, 0)};
    }

    world region;
    bool healthy{false};
    rpc::submission_request request;
    submission_key key;
    int coordinator{0};
    int witness{0};
    int other{0};
    std::string delayed_at;
};

// Delivers the delayed start to an agent that can run tasks again, after the task has started on
// another one.
schedule_outcome end_after_late_start(scene& at, int late_agent, bool sent)
{
    const bool ran = at.run_until([&] { return at.region.facts().starts(at.key, 0) > 0; });
    at.region.agent(late_agent)->set_backend(backend_state::present);
    at.region.run(1);
    at.region.network().deliver_late(0);
    at.region.run(2);
    return at.end(sent && ran);
}

} // namespace

schedule_outcome resumed_coordinator(rule_removed mutation)
{
    scene at(mutation);
    at.region.submit(at.coordinator, at.request);
    const bool claimed =
        at.step_until([&] { return at.region.entry(at.witness)->claims.find(at.key).has_value(); });
    at.region.pause_entry(at.coordinator, true);
    const bool replaced = at.run_until([&] {
        return at.region.entry(at.witness)->members->snapshot().view.members_size() == 2 &&
               at.region.entry(at.witness)->members->snapshot().complete;
    });
    at.region.submit(at.other, at.request);
    at.region.submit(at.witness, at.request);
    at.region.run(20);
    at.region.pause_entry(at.coordinator, false);
    at.region.turns().resume_all(100);
    return at.end(claimed && replaced);
}

schedule_outcome lost_acknowledgement(rule_removed mutation)
{
    scene at(mutation);
    bool lost = false;
    at.region.network().choose = [&](const std::string& sender, const std::string& receiver) {
        const auto& names = at.region.entry_names();
        if (lost || sender != names[static_cast<std::size_t>(at.coordinator)] ||
            receiver != names[static_cast<std::size_t>(at.witness)]) {
            return call_fault::none;
        }
        lost = true;
        return call_fault::lose_answer;
    };
    at.region.submit(at.coordinator, at.request);
    const bool stored = at.step_until([&] { return lost; });
    at.region.kill_entry(at.coordinator);
    at.region.kill_entry(at.witness);
    at.region.run(view_change_rounds);
    at.region.submit(at.other, at.request);
    at.restart_until_healthy();
    at.region.submit(at.other, at.request);
    const bool ran = at.run_until([&] { return at.region.facts().starts(at.key, 0) > 0; });
    return at.end(stored && ran);
}

schedule_outcome start_of_dead_coordinator(rule_removed mutation)
{
    scene at(mutation);
    at.plan_for_agents(call_fault::delay);
    at.region.submit(at.coordinator, at.request);
    const bool sent = at.step_until([&] { return at.region.network().late() > 0; });
    at.region.kill_entry(at.coordinator);
    at.region.kill_entry(at.witness);
    at.region.network().choose = nullptr;
    const std::string target = at.delayed_at;
    at.restart_until_healthy();
    const int late_agent = target.empty() ? 0 : target.back() - '0';
    at.take_work_from(late_agent);
    at.region.run(view_change_rounds);
    at.region.submit(at.other, at.request);
    return end_after_late_start(at, late_agent, sent);
}

schedule_outcome start_after_revoke(rule_removed mutation)
{
    scene at(mutation);
    at.plan_for_agents(call_fault::delay);
    at.region.submit(at.coordinator, at.request);
    const bool sent = at.step_until([&] { return at.region.network().late() == 1; });
    // The next attempt must not be placed on the agent that the delayed start was sent to.
    const int late_agent = at.delayed_at.empty() ? 0 : at.delayed_at.back() - '0';
    at.take_work_from(late_agent);
    return end_after_late_start(at, late_agent, sent);
}

schedule_outcome restarted_entries(rule_removed mutation)
{
    scene at(mutation);
    at.region.submit(at.coordinator, at.request);
    const bool ran = at.run_until([&] { return at.region.facts().starts(at.key, 0) > 0; });
    at.region.run(2);
    at.region.kill_entry(at.coordinator);
    at.region.kill_entry(at.witness);
    at.isolate_holder();
    at.region.start_entry(at.coordinator);
    at.region.start_entry(at.witness);
    at.region.run(silent_agent_rounds);
    for (int round = 0; round < view_change_rounds; ++round) {
        at.region.run(1);
        for (int i = 0; i < entry_count; ++i) {
            at.region.submit(i, at.request);
        }
    }
    return at.end(ran);
}

schedule_outcome lowered_deadline(rule_removed mutation, bool in_outage)
{
    scene at(mutation);
    if (in_outage) {
        // The change is committed, but the entries work without it for longer than its value
        // applies.
        at.region.declare(short_deadline);
        at.region.table().set_outage(true);
        at.region.run(rounds_of(long_deadline + 2 * record_retention), heartbeat_interval);
        at.request.set_deadline_unix_ms(to_unix_ms(at.region.now() + long_deadline));
    }
    at.region.submit(at.coordinator, at.request);
    const bool ran = at.run_until([&] { return at.region.facts().starts(at.key, 0) > 0; });
    const bool confirmed = in_outage || at.lower_deadlines();
    for (int i = 0; i < entry_count; ++i) {
        at.region.kill_entry(i);
    }
    at.region.table().set_outage(false);
    at.isolate_holder();
    for (int i = 0; i < entry_count; ++i) {
        at.region.start_entry(i);
    }
    at.run_until([&] {
        return to_unix_ms(at.region.now() + short_deadline) > at.request.deadline_unix_ms();
    });
    const bool incomplete = at.region.entry(at.other)->members->snapshot().usable() &&
                            !at.region.entry(at.other)->members->snapshot().complete;
    for (int round = 0; round < rounds_of(short_deadline); ++round) {
        at.region.run(1);
        for (int i = 0; i < entry_count; ++i) {
            at.region.submit(i, at.request);
        }
    }
    return at.end(ran && confirmed && incomplete);
}

schedule_outcome dead_coordinator(rule_removed mutation)
{
    scene at(mutation);
    at.region.submit(at.coordinator, at.request);
    const bool ran = at.run_until([&] { return at.region.facts().starts(at.key, 0) > 0; });
    at.region.kill_entry(at.coordinator);
    at.isolate_holder();
    at.region.run(silent_agent_rounds);
    for (int round = 0; round < view_change_rounds; ++round) {
        at.region.run(1);
        at.region.submit(at.witness, at.request);
    }
    return at.end(ran);
}

schedule_outcome paused_agent(rule_removed mutation)
{
    scene at(mutation);
    at.region.submit(at.coordinator, at.request);
    const bool queued = at.step_until([&] { return at.holder() >= 0; });
    if (!queued) {
        return at.end(false);
    }
    const int agent = at.holder();
    const std::string data_centre = at.region.agent(agent)->info().data_centre();
    at.region.pause_agent(agent, true);
    at.region.change_data_centre(at.other, data_centre, true);
    const bool accepted = at.run_until([&] { return at.region.facts().accepted_version() > 0; });
    at.region.run(1, out_grace + absl::Seconds(1));
    at.region.pause_agent(agent, false);
    at.region.agent(agent)->announce_backend();
    // After a resume the executor runs before the reply to the next heartbeat arrives.
    at.region.agent(agent)->take_tasks();
    at.region.agent(agent)->confirm_tasks();
    return at.end(accepted);
}

schedule_outcome left_backend_server(rule_removed mutation)
{
    scene at(mutation);
    at.region.agent(0)->set_backend(backend_state::leaves);
    at.region.run(rounds_of(leave_grace) + 1, heartbeat_interval);
    for (int id = 0; id < 24; ++id) {
        at.region.submit(id % entry_count, at.region.request_for(id, 0));
    }
    at.region.run(10);
    // `end` is not called because it would restore the backend server.
    return {at.healthy && at.region.facts().total_starts() > 0, at.region.violation(), 0};
}

schedule_outcome other_body(rule_removed mutation)
{
    scene at(mutation);
    rpc::submission_request other = at.region.request_for(single_task_id, 1);
    other.set_deadline_unix_ms(at.request.deadline_unix_ms());
    at.region.submit(at.coordinator, at.request);
    const bool started = at.run_until([&] { return at.region.facts().starts(at.key, 0) > 0; });
    at.region.submit(at.other, other);
    at.region.run(10);
    return at.end(started);
}

schedule_outcome change_at_isolated_entry(rule_removed mutation)
{
    scene at(mutation);
    const std::string& isolated = at.region.entry_names()[static_cast<std::size_t>(at.other)];
    for (const std::string& entry : at.region.entry_names()) {
        if (entry != isolated) {
            at.region.network().cut(isolated, entry);
        }
    }
    for (int i = 0; i < agent_count; ++i) {
        at.region.network().cut(isolated, at.region.agent(i)->info().name());
    }
    at.region.change_data_centre(at.other, at.region.agent(0)->info().data_centre(), true);
    // The change is committed, and no other entry has read it yet.
    const bool committed =
        at.step_until([&] { return at.region.table().rows().contains(configuration_log_key(1)); });
    at.region.table().set_outage(true);
    at.region.turns().resume_all(100);
    at.region.run(rounds_of(out_grace) + 1, heartbeat_interval);
    for (int id = 0; id < 24; ++id) {
        at.region.submit(at.coordinator, at.region.request_for(id, 0));
    }
    at.region.run(10);
    return at.end(committed);
}

schedule_outcome lost_region(rule_removed mutation)
{
    scene at(mutation);
    at.region.submit(at.coordinator, at.request);
    const bool ran = at.run_until([&] { return at.region.facts().starts(at.key, 0) > 0; });
    at.region.run(2);
    for (int i = 0; i < entry_count; ++i) {
        at.region.kill_entry(i);
    }
    at.region.start_entry(at.other);
    const bool alone = at.run_until([&] {
        const ownership_snapshot snapshot = at.region.entry(at.other)->members->snapshot();
        return snapshot.usable() && snapshot.complete && snapshot.view.members_size() == 1;
    });
    const bool joined = at.restart_until_healthy();
    const rpc::entry_view view = at.region.entry(at.other)->members->snapshot().view;
    const bool moved = scene::index_of(*coordinator_of(view, at.key)) != at.other;
    // The agent with the record would report it; another one has no record.
    at.region.agent(at.holder())->set_backend(backend_state::leaves);
    at.region.run(silent_agent_rounds);
    for (int i = 0; i < entry_count; ++i) {
        at.region.submit(i, at.request);
    }
    at.region.run(20);
    return at.end(ran && alone && joined && moved);
}

schedule_outcome moved_ownership(bool stored)
{
    scene at(rule_removed::none);
    at.region.kill_entry(at.coordinator);
    const int second = at.witness;
    const auto members = [&](int count) {
        const ownership_snapshot snapshot = at.region.entry(second)->members->snapshot();
        return snapshot.usable() && snapshot.complete && snapshot.view.members_size() == count;
    };
    const bool alone = at.run_until([&] { return members(entry_count - 1); });
    at.region.run(rounds_of(absl::Seconds(5)), heartbeat_interval);
    at.region.submit(second, at.request);
    const bool begun = at.step_until([&] {
        return stored ? at.region.entry(at.other)->claims.find(at.key).has_value()
                      : at.region.entry(second)->submissions->running_jobs() == 1;
    });
    at.region.start_entry(at.coordinator);
    // Only processes are stepped and no parked threads are resumed, so that the job makes no
    // progress.
    for (int round = 0; round < view_change_rounds && !members(entry_count); ++round) {
        at.region.advance(heartbeat_interval);
        for (int i = 0; i < entry_count; ++i) {
            at.region.step_entry(i);
        }
        for (int i = 0; i < agent_count; ++i) {
            at.region.step_agent(i);
        }
    }
    const bool moved = members(entry_count);
    at.region.submit(at.coordinator, at.request);
    at.region.run(rounds_of(absl::Seconds(5)), heartbeat_interval);
    at.region.submit(second, at.request);
    at.region.submit(at.coordinator, at.request);
    at.region.run(10);
    return at.end(alone && begun && moved);
}

schedule_outcome start_in_data_centre_out(rule_removed mutation)
{
    scene at(mutation);
    at.plan_for_agents(call_fault::delay);
    at.region.submit(at.coordinator, at.request);
    const bool sent = at.step_until([&] { return at.region.network().late() == 1; });
    const auto agent = at.region.agent(at.delayed_at);
    if (!sent || agent == nullptr) {
        return at.end(false);
    }
    // A revoke would create a tombstone, which also refuses the start.
    at.region.network().cut(at.delayed_at, at.region.entry(at.coordinator)->self.name());
    at.region.change_data_centre(at.other, agent->info().data_centre(), true);
    const bool accepted = at.run_until([&] { return at.region.facts().accepted_version() > 0; });
    at.region.run(rounds_of(out_grace) + 2, heartbeat_interval);
    at.region.network().heal();
    at.region.network().deliver_late(0);
    agent->take_tasks();
    agent->confirm_tasks();
    return at.end(accepted);
}

schedule_outcome replaced_agent(rule_removed mutation)
{
    scene at(mutation);
    at.region.submit(at.coordinator, at.request);
    const bool ran = at.run_until([&] { return at.region.facts().starts(at.key, 0) > 0; });
    at.region.restart_agent(at.holder());
    at.region.run(silent_agent_rounds);
    return at.end(ran);
}

} // namespace carobfall::stateful
