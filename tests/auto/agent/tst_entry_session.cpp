#include "../support/wait.h"
#include "carobfall/agent/entry_session_set.h"
#include "carobfall/base/ids.h"

#include <doctest/doctest.h>
#include <doctest/trompeloeil.hpp>

#include <atomic>
#include <future>
#include <map>

using namespace carobfall;
using carobfall::testing::becomes_true;
using trompeloeil::_;

namespace {

constexpr absl::Duration timeout = absl::Seconds(10);

bool becomes_set(std::promise<void>& promise)
{
    return promise.get_future().wait_for(absl::ToChronoSeconds(timeout)) ==
           std::future_status::ready;
}

class mock_channel : public entry_channel {
public:
    MAKE_MOCK2(register_agent,
               result<rpc::register_reply>(const rpc::register_request&, absl::Duration), override);
    MAKE_MOCK2(beat, result<rpc::beat_reply>(const rpc::beat_request&, absl::Duration), override);
    MAKE_MOCK2(report, result<rpc::report_reply>(const rpc::report_request&, absl::Duration),
               override);
};

result<rpc::register_reply> registered()
{
    rpc::register_reply reply;
    reply.set_registered(true);
    return reply;
}

result<rpc::beat_reply> beat_reply_to(const rpc::beat_request& request, bool is_registered)
{
    rpc::beat_reply reply;
    reply.set_send_time_us(request.send_time_us());
    reply.set_registered(is_registered);
    return reply;
}

template <typename Reply>
result<Reply> call_failure()
{
    return failure(error_kind::outcome_unknown, "lost", "try again");
}

session_environment make_environment()
{
    session_environment environment;
    environment.agent = [] { return rpc::agent_info(); };
    environment.heartbeat = [] { return rpc::beat_request(); };
    environment.heartbeat_reply_received = [](const rpc::beat_reply&, absl::Time) {};
    environment.view_received = [](const rpc::entry_view&) {};
    environment.report = [](const pending_report& pending) {
        rpc::task_report report;
        report.mutable_status()->set_index(pending.key.index);
        return report;
    };
    environment.clock = monotonic_now;
    environment.heartbeat_interval = absl::Milliseconds(10);
    environment.standby_interval = absl::Milliseconds(20);
    return environment;
}

pending_report report_to(const std::string& address, std::uint32_t index)
{
    rpc::entry_member coordinator;
    coordinator.set_address(address);
    return {{{"dambi", "s-1"}, index}, 1, coordinator, absl::InfiniteFuture()};
}

} // namespace

// Guards against reports that are lost when a call fails, and against endless retries.
TEST_CASE("reports are resent until they are acknowledged or expire")
{
    const session_environment environment = make_environment();
    std::promise<void> delivered;
    auto channel = std::make_unique<mock_channel>();
    ALLOW_CALL(*channel, register_agent(_, _)).RETURN(registered());
    ALLOW_CALL(*channel, beat(_, _)).RETURN(beat_reply_to(_1, true));
    trompeloeil::sequence order;
    REQUIRE_CALL(*channel, report(_, _))
        .TIMES(2)
        .IN_SEQUENCE(order)
        .RETURN(call_failure<rpc::report_reply>());
    REQUIRE_CALL(*channel, report(_, _))
        .WITH(_1.reports_size() == 1 && _1.reports(0).status().index() == 1)
        .IN_SEQUENCE(order)
        .LR_SIDE_EFFECT(delivered.set_value())
        .RETURN(rpc::report_reply());
    entry_session session("a", std::move(channel), environment, false);
    pending_report expired = report_to("a", 2);
    expired.expires_at = absl::InfinitePast();
    session.post(expired);
    session.post(report_to("a", 1));
    REQUIRE(becomes_set(delivered));
    CHECK(becomes_true([&] { return session.pending_reports() == 0; }));
}

// Guards against an agent that gets no lease any more after an entry has lost its registration.
TEST_CASE("a session registers again when the entry replies that it isn't registered")
{
    const session_environment environment = make_environment();
    std::promise<void> again;
    auto channel = std::make_unique<mock_channel>();
    trompeloeil::sequence order;
    REQUIRE_CALL(*channel, register_agent(_, _)).IN_SEQUENCE(order).RETURN(registered());
    REQUIRE_CALL(*channel, beat(_, _)).IN_SEQUENCE(order).RETURN(beat_reply_to(_1, false));
    REQUIRE_CALL(*channel, register_agent(_, _)).IN_SEQUENCE(order).RETURN(registered());
    REQUIRE_CALL(*channel, beat(_, _))
        .IN_SEQUENCE(order)
        .LR_SIDE_EFFECT(again.set_value())
        .RETURN(beat_reply_to(_1, true));
    ALLOW_CALL(*channel, beat(_, _)).IN_SEQUENCE(order).RETURN(beat_reply_to(_1, true));
    entry_session session("a", std::move(channel), environment, false);
    CHECK(becomes_set(again));
}

namespace {

/// Channel to an entry that accepts every registration, heartbeat and report.
class acknowledging_channel : public entry_channel {
public:
    result<rpc::register_reply> register_agent(const rpc::register_request&,
                                               absl::Duration) override
    {
        return registered();
    }
    result<rpc::beat_reply> beat(const rpc::beat_request& request, absl::Duration) override
    {
        return beat_reply_to(request, true);
    }
    result<rpc::report_reply> report(const rpc::report_request&, absl::Duration) override
    {
        return rpc::report_reply();
    }
};

/// Grants leases while `replies` is set, counts the heartbeats and records their lease entry.
struct granting_entry {
    std::atomic<bool> replies{true};
    std::atomic<int> heartbeats{0};
    std::atomic<std::uint64_t> lease_entry{0}; ///< of the last heartbeat
};

class granting_channel final : public acknowledging_channel {
public:
    explicit granting_channel(granting_entry& entry) : entry_(entry) {}
    result<rpc::beat_reply> beat(const rpc::beat_request& request, absl::Duration) override
    {
        ++entry_.heartbeats;
        entry_.lease_entry = request.lease_entry();
        if (!entry_.replies) {
            return call_failure<rpc::beat_reply>();
        }
        auto reply = beat_reply_to(request, true);
        reply.value().set_lease_ms(2000);
        reply.value().set_standby_ms(3600000);
        return reply;
    }

private:
    granting_entry& entry_;
};

/// Concatenated addresses of the sessions that send heartbeats at the interval for the lease entry.
std::string lease_entries_of(const entry_session_set& sessions)
{
    std::string text;
    for (const session_state& state : sessions.states()) {
        text += state.renews_lease ? state.address : "";
    }
    return text;
}

/// Addresses of the sessions. A question mark follows the address of a report-only session.
std::string addresses_of(const entry_session_set& sessions)
{
    std::string text;
    for (const session_state& state : sessions.states()) {
        text += state.address + (state.report_only ? "? " : " ");
    }
    return text;
}

rpc::entry_view view_of(std::uint64_t number, const std::vector<std::string>& addresses)
{
    rpc::entry_view view;
    view.set_number(number);
    for (const std::string& address : addresses) {
        view.add_members()->set_address(address);
        view.mutable_members()->rbegin()->set_incarnation(address);
    }
    return view;
}

} // namespace

// Guards against sessions with entries that have left the view, and against an older view that
// arrives late.
TEST_CASE("sessions follow the highest view and keep the seeds")
{
    const session_environment environment = make_environment();
    entry_session_set sessions(
        {"seed"}, [](const auto&) { return std::make_unique<acknowledging_channel>(); },
        environment);
    sessions.start();
    CHECK(sessions.adopt_view(view_of(2, {"a", "b"})));
    CHECK(addresses_of(sessions) == "a b seed ");
    CHECK_FALSE(sessions.adopt_view(view_of(1, {"x"})));
    sessions.post(report_to("c", 1));
    CHECK(addresses_of(sessions) == "a b c? seed ");
    CHECK(sessions.adopt_view(view_of(3, {"b", "c"})));
    CHECK(addresses_of(sessions) == "b c seed ");
    sessions.post(report_to("d", 1));
    CHECK(becomes_true([&] {
        sessions.reap_sessions(monotonic_now() + absl::Minutes(1));
        return addresses_of(sessions) == "b c seed ";
    }));
}

// Guards against frequent heartbeats to every entry and against an agent that loses its lease when
// the lease entry fails or leaves the view. Also guards against advertising an entry as the lease
// entry although it doesn't renew the lease.
TEST_CASE("one entry renews the lease and is replaced as soon as it fails")
{
    session_environment environment = make_environment();
    std::map<std::string, granting_entry> entries;
    for (const char* name : {"a", "b", "c"}) {
        entries[name];
    }
    entry_session_set sessions(
        {"a"}, [&](const auto& to) { return std::make_unique<granting_channel>(entries.at(to)); },
        environment);
    sessions.start();
    sessions.adopt_view(view_of(1, {"a", "b", "c"}));
    // The members have no names and thus equal rendezvous hashes, so they are ordered by address.
    REQUIRE(becomes_true([&] { return lease_entries_of(sessions) == "a"; }, timeout));
    const auto is_advertised = [&](const char* renewing) {
        const std::uint64_t hash = stable_hash(renewing);
        return becomes_true([&] { return entries.at("c").lease_entry == hash; }, timeout);
    };
    CHECK(is_advertised("a"));
    const int renewed = entries.at("a").heartbeats;
    const int standby = entries.at("c").heartbeats;
    REQUIRE(becomes_true([&] { return entries.at("a").heartbeats > renewed + 5; }, timeout));
    CHECK(entries.at("c").heartbeats <= standby + 1);
    entries.at("a").replies = false;
    REQUIRE(becomes_true([&] { return lease_entries_of(sessions) == "b"; }, timeout));
    CHECK(is_advertised("b"));
    const int taken_over = entries.at("b").heartbeats;
    CHECK(becomes_true([&] { return entries.at("b").heartbeats > taken_over + 5; }, timeout));
    entries.at("b").replies = false;
    entries.at("c").replies = false;
    REQUIRE(becomes_true([&] { return lease_entries_of(sessions) == "abc"; }, timeout));
    entries.at("c").replies = true;
    REQUIRE(becomes_true([&] { return lease_entries_of(sessions) == "c"; }, timeout));
    entries.at("a").replies = true;
    CHECK(becomes_true([&] { return lease_entries_of(sessions) == "a"; }, timeout));
    entries.at("b").replies = true;
    REQUIRE(becomes_true([&] { return entries.at("b").lease_entry == stable_hash("a"); }, timeout));
    sessions.adopt_view(view_of(2, {"b", "c"}));
    CHECK(becomes_true([&] { return lease_entries_of(sessions) == "b"; }, timeout));
    CHECK(is_advertised("b"));
}
