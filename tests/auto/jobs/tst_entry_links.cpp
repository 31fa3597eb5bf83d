#include "region_fixture.h"

#include "carobfall/jobs/entry_selection.h"

#include <doctest/doctest.h>

#include <limits>

using namespace carobfall;
using namespace carobfall::test;

namespace {

/// Returns the name of an agent that prefers most entries to the one at this address.
std::string agent_that_avoids(const std::string& address)
{
    constexpr std::uint64_t high_rank = std::numeric_limits<std::uint64_t>::max() / 4 * 3;
    for (int number = 0;; ++number) {
        const std::string name = absl::StrCat("agent-", number);
        if (entry_rank(name, address) > high_rank) {
            return name;
        }
    }
}

/// An entry at an address of its own, without callers.
struct idle_entry {
    explicit idle_entry(asio::io_context& context)
        : endpoint(free_endpoint(context)),
          address(absl::StrCat("127.0.0.1:", endpoint.port())),
          log(address, "mapo"),
          service(context.get_executor(), address, address, operators, log, metrics)
    {
        service.set_hooks({[](const std::string&, const fleet::task_event&) {},
                           [](const std::string&, absl::Time) {}, [](const std::string&) {}});
        service.start(endpoint);
    }

    asio::ip::tcp::endpoint endpoint;
    std::string address;
    operator_view operators;
    event_log log;
    metrics_registry metrics;
    entry_service service;
};

} // namespace

// Load pattern: more entries than an agent is linked to. Guards against a link for each pair of
// agent and entry, and against a job that loses its tasks because the agent ends the link to the
// entry, which it no longer selects, while they run.
TEST_CASE("a link that is no longer selected ends after its tasks")
{
    region test;
    const std::string name = agent_that_avoids(test.address);
    agent_fixture& agent = test.add_agent(name);
    agent.worker.run_time = absl::Seconds(8);
    REQUIRE(test.run_until([&] { return test.entry.usable_agents() == 1; }));
    std::optional<job_answer> answer;
    test.submit("00000000000000aa", 1, answer, absl::Seconds(30));
    REQUIRE(test.run_until([&] { return agent.worker.active() == 1; }));

    // Enough entries that precede the first one in the order of the agent.
    std::vector<std::unique_ptr<idle_entry>> entries;
    std::vector<std::string> addresses;
    const std::uint64_t first_rank = entry_rank(name, test.address);
    while (addresses.size() < max_entry_links) {
        auto entry = std::make_unique<idle_entry>(test.context);
        if (entry_rank(name, entry->address) < first_rank) {
            addresses.push_back(entry->address);
        }
        entries.push_back(std::move(entry));
    }
    agent.service.add_entries(addresses);
    REQUIRE(test.run_until([&] { return agent.service.open_links() == max_entry_links + 1; }));
    REQUIRE(test.run_until([&] { return test.entry.usable_agents() == 0; }));
    CHECK(agent.worker.active() == 1);
    REQUIRE(test.run_until([&] { return answer.has_value(); }, absl::Seconds(15)));
    CHECK(answer->outcome == job_outcome::succeeded);
    CHECK(agent.worker.starts == 1);
    CHECK(test.run_until([&] { return agent.service.open_links() == max_entry_links; }));
}
