#include "carobfall/jobs/agent_table.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace carobfall;

namespace {

void add_agent(agent_table& table, const std::string& name, std::int64_t free_millicores)
{
    fleet::agent_status status;
    status.set_name(name);
    status.set_service("adviser");
    status.mutable_capacity()->set_cpu_millicores(64000);
    status.set_accepting(true);
    status.mutable_free()->set_cpu_millicores(free_millicores);
    table.describe(status);
    table.report(name, status, absl::FromUnixSeconds(1000));
}

} // namespace

// Guards against a report or an order that is counted for another agent after one was removed.
TEST_CASE("the state of each agent is kept when others are removed")
{
    agent_table table([](std::string_view) { return false; });
    const std::vector<std::string> names = {"a", "b", "c", "d", "e"};
    for (std::size_t i = 0; i < names.size(); ++i) {
        add_agent(table, names[i], static_cast<std::int64_t>(1000 * (i + 1)));
    }
    table.remove("b");
    table.remove("e");
    table.remove("unknown");
    CHECK(table.views().size() == 3);
    CHECK(table.usable() == 3);
    CHECK(table.find("b") == nullptr);
    CHECK(table.find("a")->load.free.cpu_millicores == 1000);
    CHECK(table.find("c")->reported_at == absl::FromUnixSeconds(1000));
    CHECK(table.find("c")->load.free.cpu_millicores == 3000);
    CHECK(table.find("d")->load.free.cpu_millicores == 4000);
    fleet::task_order order;
    order.set_cpu_millicores(500);
    order.set_expected_run_ms(100);
    table.add_order("d", order);
    CHECK(table.find("d")->load.free.cpu_millicores == 3500);
    add_agent(table, "b", 7000);
    CHECK(table.find("b")->load.free.cpu_millicores == 7000);
    CHECK(table.find("a")->load.free.cpu_millicores == 1000);
}
