#include "schedules.h"

#include "carobfall/entry/rendezvous.h"
#include "carobfall/platform/configuration_rows.h"

namespace carobfall::stateful {
namespace {

constexpr int max_rounds = 2000;
/// Long enough for a view change, a transfer of claims and the expiry of all leases.
constexpr int view_change_rounds = 120;
/// Number of heartbeat intervals in the given time.
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
struct scenario {
    explicit scenario(rule_removed mutation) : region(mutation)
    {
        healthy = region.begin();
        request = region.request_for(single_task_id, 0);
        request.set_deadline_unix_ms(to_unix_ms(region.now() + long_deadline));
        key = from_message(request.key());
        const rpc::entry_view view = region.entry(0)->members->snapshot().view;
        coordinator = index_of(*coordinator_of(view, key));
        witness = index_of(*witness_of(view, key));
        third_entry = entry_count - coordinator - witness;
    }

    static int index_of(const rpc::entry_member& member) { return member.name().back() - '0'; }

    /// Resumes threads one yield point at a time until the condition holds.
    bool step_until(const std::function<bool()>& condition)
    {
        for (int step = 0; step < max_rounds && !condition(); ++step) {
            region.scheduler().resume_all(1);
        }
        return condition();
    }

    bool run_until(const std::function<bool()>& condition)
    {
        for (int round = 0; round < max_rounds && !condition(); ++round) {
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

    /// Declares the short deadlines. Returns true once the entries hold the change and the time at
    /// which the earlier deadline bound ends is confirmed.
    bool lower_deadlines()
    {
        region.declare(short_deadline);
        return run_until([&] {
            const configuration_ptr held = region.entry(third_entry)->replica->current();
            const absl::Duration declared = held->find_template("dambi", "check")->max_deadline;
            return declared == short_deadline &&
                   !held->deadline_bounds.at("dambi").is_unconfirmed("r");
        });
    }

    /// Index of the first agent that holds a record of a task, or -1.
    [[nodiscard]] int record_holder() const
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
    void isolate_record_holder()
    {
        const std::string name = region.agent(record_holder())->info().name();
        for (const std::string& entry : region.entry_names()) {
            region.network().cut(name, entry);
        }
    }

    /// Makes the backend server of the agent refuse connections, so that it receives no more work.
    void stop_backend_of(int agent) { region.agent(agent)->set_backend(backend_state::gone); }

    /// Injects the fault into the first call from the coordinator to an agent.
    void plan_for_agents(call_fault fault)
    {
        region.network().choose_fault = [this, fault](const std::string& sender,
                                                      const std::string& receiver) {
            const bool chosen =
                fault_receiver.empty() &&
                sender == region.entry_names()[static_cast<std::size_t>(coordinator)] &&
                receiver.starts_with("agent-");
            fault_receiver = chosen ? receiver : fault_receiver;
            return chosen ? fault : call_fault::none;
        };
    }

    schedule_outcome end(bool reached)
    {
        region.recover();
        region.run(view_change_rounds);
        return {healthy && reached, region.violation(), region.checker().starts(key, 0)};
    }

    simulated_region region;
    bool healthy{false};
    rpc::submission_request request;
    submission_key key;
    int coordinator{0};
    int witness{0};
    int third_entry{0};         ///< neither coordinator nor witness
    std::string fault_receiver; ///< agent of the call with the fault; empty before the call
};

// Waits until the task has started on another agent. Then makes the agent of the delayed start able
// to run tasks, and delivers that start.
schedule_outcome end_after_delayed_start(scenario& test, int delayed_start_agent, bool sent)
{
    const bool ran = test.run_until([&] { return test.region.checker().starts(test.key, 0) > 0; });
    test.region.agent(delayed_start_agent)->set_backend(backend_state::present);
    test.region.run(1);
    test.region.network().deliver_delayed_message(0);
    test.region.run(2);
    return test.end(sent && ran);
}

} // namespace

schedule_outcome resumed_coordinator(rule_removed mutation)
{
    scenario test(mutation);
    test.region.submit(test.coordinator, test.request);
    const bool claimed = test.step_until(
        [&] { return test.region.entry(test.witness)->claims.find(test.key).has_value(); });
    test.region.pause_entry(test.coordinator, true);
    const bool replaced = test.run_until([&] {
        return test.region.entry(test.witness)->members->snapshot().view.members_size() == 2 &&
               test.region.entry(test.witness)->members->snapshot().complete;
    });
    test.region.submit(test.third_entry, test.request);
    test.region.submit(test.witness, test.request);
    test.region.run(20);
    test.region.pause_entry(test.coordinator, false);
    test.region.scheduler().resume_all(100);
    return test.end(claimed && replaced);
}

schedule_outcome lost_acknowledgement(rule_removed mutation)
{
    scenario test(mutation);
    bool lost = false;
    test.region.network().choose_fault = [&](const std::string& sender,
                                             const std::string& receiver) {
        const auto& names = test.region.entry_names();
        if (lost || sender != names[static_cast<std::size_t>(test.coordinator)] ||
            receiver != names[static_cast<std::size_t>(test.witness)]) {
            return call_fault::none;
        }
        lost = true;
        return call_fault::lose_answer;
    };
    test.region.submit(test.coordinator, test.request);
    const bool stored = test.step_until([&] { return lost; });
    test.region.kill_entry(test.coordinator);
    test.region.kill_entry(test.witness);
    test.region.run(view_change_rounds);
    test.region.submit(test.third_entry, test.request);
    test.restart_until_healthy();
    test.region.submit(test.third_entry, test.request);
    const bool ran = test.run_until([&] { return test.region.checker().starts(test.key, 0) > 0; });
    return test.end(stored && ran);
}

schedule_outcome start_of_dead_coordinator(rule_removed mutation)
{
    scenario test(mutation);
    test.plan_for_agents(call_fault::delay);
    test.region.submit(test.coordinator, test.request);
    const bool sent =
        test.step_until([&] { return test.region.network().delayed_message_count() > 0; });
    test.region.kill_entry(test.coordinator);
    test.region.kill_entry(test.witness);
    test.region.network().choose_fault = nullptr;
    const std::string target = test.fault_receiver;
    test.restart_until_healthy();
    const int delayed_start_agent = target.empty() ? 0 : target.back() - '0';
    test.stop_backend_of(delayed_start_agent);
    test.region.run(view_change_rounds);
    test.region.submit(test.third_entry, test.request);
    return end_after_delayed_start(test, delayed_start_agent, sent);
}

schedule_outcome start_after_revoke(rule_removed mutation)
{
    scenario test(mutation);
    test.plan_for_agents(call_fault::delay);
    test.region.submit(test.coordinator, test.request);
    const bool sent =
        test.step_until([&] { return test.region.network().delayed_message_count() == 1; });
    // The next attempt must not be placed on the agent that the delayed start was sent to.
    const int delayed_start_agent =
        test.fault_receiver.empty() ? 0 : test.fault_receiver.back() - '0';
    test.stop_backend_of(delayed_start_agent);
    return end_after_delayed_start(test, delayed_start_agent, sent);
}

schedule_outcome restarted_entries(rule_removed mutation)
{
    scenario test(mutation);
    test.region.submit(test.coordinator, test.request);
    const bool ran = test.run_until([&] { return test.region.checker().starts(test.key, 0) > 0; });
    test.region.run(2);
    test.region.kill_entry(test.coordinator);
    test.region.kill_entry(test.witness);
    test.isolate_record_holder();
    test.region.start_entry(test.coordinator);
    test.region.start_entry(test.witness);
    test.region.run(silent_agent_rounds);
    for (int round = 0; round < view_change_rounds; ++round) {
        test.region.run(1);
        for (int i = 0; i < entry_count; ++i) {
            test.region.submit(i, test.request);
        }
    }
    return test.end(ran);
}

schedule_outcome lowered_deadline(rule_removed mutation, bool in_outage)
{
    scenario test(mutation);
    if (in_outage) {
        // The change is committed, but the entries work without it. The outage lasts longer than
        // the earlier value of the bound applies after a confirmed change.
        test.region.declare(short_deadline);
        test.region.table().set_outage(true);
        test.region.run(rounds_of(long_deadline + 2 * record_retention), heartbeat_interval);
        test.request.set_deadline_unix_ms(to_unix_ms(test.region.now() + long_deadline));
    }
    test.region.submit(test.coordinator, test.request);
    const bool ran = test.run_until([&] { return test.region.checker().starts(test.key, 0) > 0; });
    const bool confirmed = in_outage || test.lower_deadlines();
    for (int i = 0; i < entry_count; ++i) {
        test.region.kill_entry(i);
    }
    test.region.table().set_outage(false);
    test.isolate_record_holder();
    for (int i = 0; i < entry_count; ++i) {
        test.region.start_entry(i);
    }
    test.run_until([&] {
        return to_unix_ms(test.region.now() + short_deadline) > test.request.deadline_unix_ms();
    });
    const bool incomplete = test.region.entry(test.third_entry)->members->snapshot().usable() &&
                            !test.region.entry(test.third_entry)->members->snapshot().complete;
    for (int round = 0; round < rounds_of(short_deadline); ++round) {
        test.region.run(1);
        for (int i = 0; i < entry_count; ++i) {
            test.region.submit(i, test.request);
        }
    }
    return test.end(ran && confirmed && incomplete);
}

schedule_outcome dead_coordinator(rule_removed mutation)
{
    scenario test(mutation);
    test.region.submit(test.coordinator, test.request);
    const bool ran = test.run_until([&] { return test.region.checker().starts(test.key, 0) > 0; });
    test.region.kill_entry(test.coordinator);
    test.isolate_record_holder();
    test.region.run(silent_agent_rounds);
    for (int round = 0; round < view_change_rounds; ++round) {
        test.region.run(1);
        test.region.submit(test.witness, test.request);
    }
    return test.end(ran);
}

schedule_outcome paused_agent(rule_removed mutation)
{
    scenario test(mutation);
    test.region.submit(test.coordinator, test.request);
    const bool queued = test.step_until([&] { return test.record_holder() >= 0; });
    if (!queued) {
        return test.end(false);
    }
    const int agent = test.record_holder();
    const std::string data_centre = test.region.agent(agent)->info().data_centre();
    test.region.pause_agent(agent, true);
    test.region.change_data_centre(test.third_entry, data_centre, true);
    const bool accepted =
        test.run_until([&] { return test.region.checker().accepted_version() > 0; });
    test.region.run(1, data_centre_out_grace + absl::Seconds(1));
    test.region.pause_agent(agent, false);
    test.region.agent(agent)->announce_backend();
    // After a resume the executor runs before the reply to the next heartbeat arrives.
    test.region.agent(agent)->take_tasks();
    test.region.agent(agent)->confirm_tasks();
    return test.end(accepted);
}

schedule_outcome left_backend_server(rule_removed mutation)
{
    scenario test(mutation);
    test.region.agent(0)->set_backend(backend_state::leaves);
    test.region.run(rounds_of(leave_grace) + 1, heartbeat_interval);
    for (int id = 0; id < 24; ++id) {
        test.region.submit(id % entry_count, test.region.request_for(id, 0));
    }
    test.region.run(10);
    // `end` is not called because it would restore the backend server.
    return {test.healthy && test.region.checker().total_starts() > 0, test.region.violation(), 0};
}

schedule_outcome other_body(rule_removed mutation)
{
    scenario test(mutation);
    rpc::submission_request other = test.region.request_for(single_task_id, 1);
    other.set_deadline_unix_ms(test.request.deadline_unix_ms());
    test.region.submit(test.coordinator, test.request);
    const bool started =
        test.run_until([&] { return test.region.checker().starts(test.key, 0) > 0; });
    test.region.submit(test.third_entry, other);
    test.region.run(10);
    return test.end(started);
}

schedule_outcome change_at_isolated_entry(rule_removed mutation)
{
    scenario test(mutation);
    const std::string& isolated =
        test.region.entry_names()[static_cast<std::size_t>(test.third_entry)];
    for (const std::string& entry : test.region.entry_names()) {
        if (entry != isolated) {
            test.region.network().cut(isolated, entry);
        }
    }
    for (int i = 0; i < agent_count; ++i) {
        test.region.network().cut(isolated, test.region.agent(i)->info().name());
    }
    test.region.change_data_centre(test.third_entry, test.region.agent(0)->info().data_centre(),
                                   true);
    // The change is committed, and no other entry has read it yet.
    const bool committed = test.step_until(
        [&] { return test.region.table().rows().contains(configuration_log_key(1)); });
    test.region.table().set_outage(true);
    test.region.scheduler().resume_all(100);
    test.region.run(rounds_of(data_centre_out_grace) + 1, heartbeat_interval);
    for (int id = 0; id < 24; ++id) {
        test.region.submit(test.coordinator, test.region.request_for(id, 0));
    }
    test.region.run(10);
    return test.end(committed);
}

schedule_outcome lost_region(rule_removed mutation)
{
    scenario test(mutation);
    test.region.submit(test.coordinator, test.request);
    const bool ran = test.run_until([&] { return test.region.checker().starts(test.key, 0) > 0; });
    test.region.run(2);
    for (int i = 0; i < entry_count; ++i) {
        test.region.kill_entry(i);
    }
    test.region.start_entry(test.third_entry);
    const bool alone = test.run_until([&] {
        const ownership_snapshot snapshot =
            test.region.entry(test.third_entry)->members->snapshot();
        return snapshot.usable() && snapshot.complete && snapshot.view.members_size() == 1;
    });
    const bool joined = test.restart_until_healthy();
    const rpc::entry_view view = test.region.entry(test.third_entry)->members->snapshot().view;
    const bool moved = scenario::index_of(*coordinator_of(view, test.key)) != test.third_entry;
    // Prevents a second run on the agent with the record, which would report the record. Other
    // agents have no record of the task.
    test.region.agent(test.record_holder())->set_backend(backend_state::leaves);
    test.region.run(silent_agent_rounds);
    for (int i = 0; i < entry_count; ++i) {
        test.region.submit(i, test.request);
    }
    test.region.run(20);
    return test.end(ran && alone && joined && moved);
}

schedule_outcome moved_ownership(bool stored)
{
    scenario test(rule_removed::none);
    test.region.kill_entry(test.coordinator);
    const int second = test.witness;
    const auto members = [&](int count) {
        const ownership_snapshot snapshot = test.region.entry(second)->members->snapshot();
        return snapshot.usable() && snapshot.complete && snapshot.view.members_size() == count;
    };
    const bool alone = test.run_until([&] { return members(entry_count - 1); });
    test.region.run(rounds_of(absl::Seconds(5)), heartbeat_interval);
    test.region.submit(second, test.request);
    const bool begun = test.step_until([&] {
        return stored ? test.region.entry(test.third_entry)->claims.find(test.key).has_value()
                      : test.region.entry(second)->submissions->running_jobs() == 1;
    });
    test.region.start_entry(test.coordinator);
    // Parked threads are not resumed, so that the job makes no progress while the processes do
    // their periodic work.
    for (int round = 0; round < view_change_rounds && !members(entry_count); ++round) {
        test.region.advance(heartbeat_interval);
        for (int i = 0; i < entry_count; ++i) {
            test.region.step_entry(i);
        }
        for (int i = 0; i < agent_count; ++i) {
            test.region.step_agent(i);
        }
    }
    const bool moved = members(entry_count);
    test.region.submit(test.coordinator, test.request);
    test.region.run(rounds_of(absl::Seconds(5)), heartbeat_interval);
    test.region.submit(second, test.request);
    test.region.submit(test.coordinator, test.request);
    test.region.run(10);
    return test.end(alone && begun && moved);
}

schedule_outcome start_in_data_centre_out(rule_removed mutation)
{
    scenario test(mutation);
    test.plan_for_agents(call_fault::delay);
    test.region.submit(test.coordinator, test.request);
    const bool sent =
        test.step_until([&] { return test.region.network().delayed_message_count() == 1; });
    const auto agent = test.region.agent(test.fault_receiver);
    if (!sent || agent == nullptr) {
        return test.end(false);
    }
    // A revoke would create a tombstone, which also refuses the start.
    test.region.network().cut(test.fault_receiver,
                              test.region.entry(test.coordinator)->self.name());
    test.region.change_data_centre(test.third_entry, agent->info().data_centre(), true);
    const bool accepted =
        test.run_until([&] { return test.region.checker().accepted_version() > 0; });
    test.region.run(rounds_of(data_centre_out_grace) + 2, heartbeat_interval);
    test.region.network().heal();
    test.region.network().deliver_delayed_message(0);
    agent->take_tasks();
    agent->confirm_tasks();
    return test.end(accepted);
}

schedule_outcome replaced_agent(rule_removed mutation)
{
    scenario test(mutation);
    test.region.submit(test.coordinator, test.request);
    const bool ran = test.run_until([&] { return test.region.checker().starts(test.key, 0) > 0; });
    test.region.restart_agent(test.record_holder());
    test.region.run(silent_agent_rounds);
    return test.end(ran);
}

} // namespace carobfall::stateful
