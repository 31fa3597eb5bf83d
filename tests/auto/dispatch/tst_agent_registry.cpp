#include "fakes.h"

#include "carobfall/base/ids.h"
#include "carobfall/dispatch/agent_selection.h"

#include <doctest/doctest.h>

using namespace carobfall;
using namespace carobfall::testing;

namespace {

rpc::beat_request beat_of(const std::string& name, const std::string& incarnation)
{
    rpc::beat_request beat;
    beat.mutable_agent()->set_name(name);
    beat.mutable_agent()->set_incarnation(incarnation);
    beat.set_send_time_us(4711);
    beat.set_backend_available(true);
    return beat;
}

rpc::register_request registration_of(const std::string& name, const std::string& incarnation)
{
    rpc::register_request request;
    *request.mutable_agent() = agent_named(name, incarnation);
    return request;
}

} // namespace

// Guards against tasks at an agent that the store, and thus a successor of the entry, doesn't know.
TEST_CASE("an agent is registered only when its join is durable")
{
    dispatch_fixture fixture;
    fixture.membership.store_down = true;
    const absl::Time now = monotonic_now();
    CHECK(!fixture.registry.on_register(registration_of("a1", "1"), now).registered());
    CHECK(!fixture.registry.on_beat(beat_of("a1", "1"), now).registered());
    fixture.membership.store_down = false;
    CHECK(fixture.registry.on_register(registration_of("a1", "1"), now).registered());
    CHECK(fixture.registry.on_beat(beat_of("a1", "1"), now).registered());
}

// Guards against leases that outlast the confirmed configuration or view of the entry.
TEST_CASE("a lease ends when the configuration is no longer fresh, after two seconds at most")
{
    dispatch_fixture fixture;
    fixture.add_agent("a1");
    const auto reply = [&] {
        return fixture.registry.on_beat(beat_of("a1", "1"), monotonic_now());
    };
    CHECK(reply().lease_ms() == 2000);
    CHECK(reply().send_time_us() == 4711);
    CHECK(reply().configuration_version() == 7);
    CHECK(reply().view().number() == 1);
    fixture.source.set_fresh_for(absl::Milliseconds(300));
    CHECK(reply().lease_ms() == 300);
    fixture.source.set_fresh_for(absl::Milliseconds(-5));
    CHECK(reply().lease_ms() == 0);
    fixture.source.set_fresh_for(absl::Seconds(2));
    fixture.owner.change([](ownership_snapshot& snapshot) { snapshot.in_transition = true; });
    CHECK(reply().lease_ms() == 0);
    fixture.owner.set_view(2, {entry_named("e2")});
    CHECK(reply().lease_ms() == 0);
}

// Guards against a reply that omits a change: the agent would keep a replaced view or start tasks
// in a data centre that is out of service.
TEST_CASE("a reply omits the view or the data centres out of service only if the agent has them")
{
    dispatch_fixture fixture;
    fixture.add_agent("a1");
    fixture.source.change([](configuration& current) { current.data_centres_out.insert("mapo"); });
    const std::uint64_t version = fixture.source.current()->version;
    const auto reply = [&](std::uint64_t view, std::uint64_t held, bool keeps) {
        rpc::beat_request beat = beat_of("a1", "1");
        beat.set_view_number(view);
        beat.set_configuration_version(held);
        beat.set_keeps_data_centres_out(keeps);
        return fixture.registry.on_beat(beat, monotonic_now());
    };
    CHECK(reply(0, version - 1, true).view().members_size() == 1);
    CHECK(reply(2, version - 1, true).view().members_size() == 1);
    CHECK_FALSE(reply(1, version - 1, true).has_view());
    CHECK(reply(1, version - 1, true).data_centres_out_size() == 1);
    CHECK(reply(1, version, false).data_centres_out_size() == 1);
    CHECK(reply(1, version, true).data_centres_out_size() == 0);
}

// Guards against a delayed registration of a process that has ended.
TEST_CASE("a later incarnation replaces the earlier one permanently")
{
    dispatch_fixture fixture;
    fixture.add_agent("a1");
    const absl::Time now = monotonic_now();
    CHECK(fixture.registry.on_register(registration_of("a1", "2"), now).registered());
    CHECK(fixture.registry.is_lost(ref_of(agent_named("a1", "1"))));
    CHECK(!fixture.registry.on_beat(beat_of("a1", "1"), now).registered());
    CHECK(!fixture.registry.on_register(registration_of("a1", "1"), now).registered());
    CHECK(fixture.registry.on_beat(beat_of("a1", "2"), now).registered());
}

namespace {

/// Agent a1 as registered at entry e1, with e2 as its lease entry.
struct standby_agent {
    explicit standby_agent(dispatch_fixture& fixture) : registry(fixture.registry)
    {
        fixture.add_agent("a1");
        now = monotonic_now();
    }
    void receive_entry_heartbeat(const std::vector<std::string>& silent = {},
                                 const std::string& from = "e2-1")
    {
        rpc::entry_beat_request beat;
        beat.mutable_member()->set_incarnation(from);
        beat.set_names_silent_agents(true);
        for (const std::string& name : silent) {
            *beat.add_silent_agents() = ref_of(agent_named(name, "1"));
        }
        registry.on_entry_beat(beat, now);
    }
    std::uint32_t send_heartbeat(const std::string& lease_entry = "e2-1")
    {
        rpc::beat_request beat = beat_of("a1", "1");
        beat.set_lease_entry(stable_hash(lease_entry));
        return registry.on_beat(beat, now).standby_ms();
    }
    absl::Duration age() const { return now - registry.agents().front().last_beat; }
    void pass(absl::Duration time) { now += time; }

    agent_registry& registry;
    absl::Time now;
};

} // namespace

// Guards against an agent on standby whose failure is never reported. Its lease entry may send no
// heartbeats, list no silent agents, be this entry itself, or have restarted.
TEST_CASE("an agent is on standby only while heartbeats arrive from its lease entry")
{
    dispatch_fixture fixture;
    standby_agent agent(fixture);
    CHECK(agent.send_heartbeat() == 0);
    fixture.registry.on_entry_beat({}, agent.now);
    CHECK(agent.send_heartbeat("") == 0);
    agent.receive_entry_heartbeat();
    CHECK(agent.send_heartbeat() == 10'000);
    CHECK(agent.send_heartbeat("e2-2") == 0);
    agent.receive_entry_heartbeat({}, fixture.owner.self().incarnation());
    CHECK(agent.send_heartbeat(fixture.owner.self().incarnation()) == 0);
    agent.pass(absl::Seconds(2));
    CHECK(agent.send_heartbeat() == 0);
}

// Guards against a healthy agent that counts as failed between two of its heartbeats. Also guards
// against a failed agent that counts as usable although its lease entry is silent or has restarted,
// or although no heartbeat of the agent has arrived for too long.
TEST_CASE("an agent on standby counts as alive while its lease entry doesn't list it as silent")
{
    dispatch_fixture fixture;
    standby_agent agent(fixture);
    agent.receive_entry_heartbeat();
    REQUIRE(agent.send_heartbeat() > 0);
    agent.pass(absl::Seconds(9));
    agent.receive_entry_heartbeat();
    CHECK(agent.age() == absl::ZeroDuration());
    agent.receive_entry_heartbeat({"a1"});
    CHECK(agent.age() == absl::Seconds(9));
    agent.receive_entry_heartbeat({"a2"});
    CHECK(agent.age() == absl::ZeroDuration());
    agent.receive_entry_heartbeat({}, "e2-2");
    agent.pass(absl::Seconds(2));
    CHECK(agent.age() == absl::Seconds(2));
    agent.pass(absl::Seconds(4));
    agent.receive_entry_heartbeat();
    CHECK(agent.age() > heartbeat_timeout);
}

// Guards against a healthy agent that counts as failed because its lease entry is cut off from this
// entry, and against an agent that counts as usable although only other entries reach it.
TEST_CASE("a heartbeat is requested from an agent on standby without evidence that it is alive")
{
    dispatch_fixture fixture;
    standby_agent agent(fixture);
    agent.receive_entry_heartbeat();
    REQUIRE(agent.send_heartbeat() > 0);
    agent.pass(absl::Seconds(1));
    CHECK(fixture.registry.due_heartbeat_requests(agent.now).empty());
    agent.pass(absl::Seconds(1));
    CHECK(fixture.registry.due_heartbeat_requests(agent.now).size() == 1);
    CHECK(fixture.registry.due_heartbeat_requests(agent.now).empty());
    CHECK(agent.send_heartbeat() == 0);
    agent.pass(absl::Seconds(2));
    CHECK(fixture.registry.due_heartbeat_requests(agent.now).empty());
    agent.receive_entry_heartbeat();
    REQUIRE(agent.send_heartbeat() > 0);
    fixture.registry.mark_suspected(ref_of(agent_named("a1", "1")));
    agent.pass(absl::Seconds(2));
    agent.receive_entry_heartbeat();
    CHECK(agent.age() == absl::Seconds(2));
    CHECK(fixture.registry.due_heartbeat_requests(agent.now).size() == 1);
    agent.send_heartbeat();
    agent.pass(absl::Seconds(2));
    agent.receive_entry_heartbeat();
    CHECK(agent.age() == absl::ZeroDuration());
}

// Guards against an entry that reports agents on standby as silent, or fails to report the agents
// whose lease entry it is.
TEST_CASE("an entry reports silent agents that are not on standby")
{
    dispatch_fixture fixture;
    standby_agent agent(fixture);
    const auto reported = [&] {
        rpc::entry_beat_request beat;
        fixture.registry.report_silent_agents(beat, agent.now);
        return beat.silent_agents_size();
    };
    agent.send_heartbeat(fixture.owner.self().incarnation());
    CHECK(reported() == 0);
    agent.pass(absl::Seconds(4));
    CHECK(reported() == 1);
    agent.receive_entry_heartbeat();
    REQUIRE(agent.send_heartbeat() > 0);
    agent.pass(absl::Seconds(4));
    CHECK(reported() == 0);
}

// Guards against starts that an agent would refuse or not receive.
TEST_CASE("silent, leaving, excluded and full agents get no tasks, but stay registered")
{
    dispatch_fixture fixture;
    fixture.add_agent("a1");
    const absl::Time now = monotonic_now();
    const configuration_ptr current = fixture.source.current();
    const dispatch_template* declaration = current->find_template("dambi", "check");
    agent_state state = fixture.registry.agents().front();
    const auto allowed = [&](absl::Time at) {
        return may_place(state, *current, *declaration, fixture.settings, at);
    };
    CHECK(allowed(now));
    CHECK(!allowed(now + absl::Seconds(4)));
    CHECK(room_at(state, fixture.settings) == 12);
    // The starts in flight must be added to the reported tasks of other entries.
    const rpc::agent_ref agent = ref_of(*state.info);
    rpc::agent_load load;
    load.set_running(4);
    fixture.registry.update_load(agent, load, now);
    fixture.registry.add_outstanding(agent, 3);
    CHECK(room_at(fixture.registry.agents().front(), fixture.settings) == 5);
    fixture.registry.update_load(agent, load, now);
    CHECK(room_at(fixture.registry.agents().front(), fixture.settings) == 5);
    load.set_running(7);
    fixture.registry.end_start(agent, 3, load, now);
    CHECK(room_at(fixture.registry.agents().front(), fixture.settings) == 5);
    fixture.registry.add_outstanding(agent, 2);
    fixture.registry.end_start(agent, 2, std::nullopt, now);
    CHECK(room_at(fixture.registry.agents().front(), fixture.settings) == 3);
    state.load.set_running(8);
    state.load.set_queued(9);
    CHECK(room_at(state, fixture.settings) == 0);
    // An old report must not prevent placement until the next heartbeat.
    CHECK(known_load(state, fixture.settings, now) == 17);
    CHECK(known_load(state, fixture.settings, now + absl::Seconds(3)) == 0);
    state.leaving = true;
    CHECK(!allowed(now));
    state.leaving = false;
    state.backend_available = false;
    CHECK(!allowed(now));
    CHECK(fixture.registry.agents().size() == 1);
}
