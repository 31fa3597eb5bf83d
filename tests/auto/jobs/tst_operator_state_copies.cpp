#include "region_fixture.h"
#include "relay.h"

#include <doctest/doctest.h>

using namespace carobfall;
using namespace carobfall::test;

namespace {

constexpr std::size_t agent_count = 20;
/// Rate of the link of a small entry, 19 Mbit/s.
constexpr std::int64_t small_link_bytes_per_s = 19'000'000 / 8;

fleet::operator_state large_state(std::uint64_t version)
{
    fleet::operator_state state;
    state.set_version(version);
    state.set_configuration_version(version);
    for (int i = 0; i < 3000; ++i) {
        fleet::route* route = state.add_routes();
        route->set_name(absl::StrCat("route-", i));
        route->set_host(absl::StrCat("host-", i, ".example"));
        route->set_prefix(absl::StrCat("/prefix-", i, "/"));
        route->set_service("retour-labels");
        route->set_timeout_ms(1500);
    }
    return state;
}

std::uint64_t received_bytes(const metrics_registry& metrics, const std::string& peer)
{
    return metrics.counter(
        absl::StrCat("operator_state_bytes_total{direction=\"received\",peer=\"", peer, "\"}"));
}

void add_agents(region& test)
{
    for (std::size_t i = 0; i < agent_count; ++i) {
        test.add_agent(absl::StrCat("agent-", i));
    }
    REQUIRE(test.run_until([&] { return test.entry.usable_agents() == agent_count; }));
}

} // namespace

// Load pattern: a large configuration changes while the store does not answer an entry. Guards
// against a copy from each agent.
TEST_CASE("an entry that is behind all agents receives the operator state once")
{
    region test;
    add_agents(test);
    for (const auto& agent : test.agents) {
        REQUIRE(agent->operators.adopt(large_state(7), boot_now()));
    }
    REQUIRE(test.run_until([&] { return test.operators.version() == 7; }, absl::Seconds(3)));
    test.run_until([] { return false; }, absl::Milliseconds(500));
    CHECK(received_bytes(test.metrics, "agent") < 2 * large_state(7).ByteSizeLong());
}

// Load pattern: as above, over the link of a small entry. Guards against links that are given up as
// silent because their frames wait behind copies of the operator state.
TEST_CASE("a large operator state reaches an entry on a slow link without the loss of an agent")
{
    asio::io_context probe;
    const asio::ip::tcp::endpoint address = free_endpoint(probe);
    region test(address);
    const relay link(test.context, address, test.endpoint, small_link_bytes_per_s);
    add_agents(test);
    for (const auto& agent : test.agents) {
        REQUIRE(agent->operators.adopt(large_state(7), boot_now()));
    }
    CHECK(test.run_until([&] { return test.operators.version() == 7; }, absl::Seconds(2)));
    test.run_until([] { return false; }, absl::Seconds(2));
    CHECK(test.metrics.counter("agents_lost_total{reason=\"silent\"}") == 0);
    CHECK(test.entry.usable_agents() == agent_count);
}

// Load pattern: an entry takes a large configuration while the store does not answer the agents.
// Guards against a copy to each agent at the same time, which delays the orders on all links.
TEST_CASE("an entry sends the operator state to few agents at a time")
{
    region test;
    add_agents(test);
    const auto sent = [&] {
        return test.metrics.counter(
            "operator_state_bytes_total{direction=\"sent\",peer=\"agent\"}");
    };
    REQUIRE(test.operators.adopt(large_state(7), boot_now()));
    const std::uint64_t size = large_state(7).ByteSizeLong();
    std::uint64_t most_in_one_step = 0;
    const auto all_hold_it = [&] {
        return std::all_of(test.agents.begin(), test.agents.end(),
                           [](const auto& agent) { return agent->operators.version() == 7; });
    };
    const absl::Time end = boot_now() + absl::Seconds(10);
    while (!all_hold_it() && boot_now() < end) {
        const std::uint64_t before = sent();
        test.context.poll_one();
        most_in_one_step = std::max(most_in_one_step, sent() - before);
    }
    CHECK(all_hold_it());
    CHECK(most_in_one_step < size);
    CHECK(sent() < (agent_count + 1) * size);
}
