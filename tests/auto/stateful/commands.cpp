#include "commands.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>
#include <functional>

namespace carobfall::stateful {
namespace {

constexpr int id_count = 16;
constexpr std::array<const char*, 3> data_centres{"mapo", "guro", "gangnam"};

struct command_row {
    std::size_t weight;
    const char* name;
    std::function<void(simulated_region&, int, int)> run;
};

std::string node_name(const simulated_region& region, int number)
{
    const int index = number % (region.entries() + agent_count);
    return index < region.entries() ? absl::StrCat("entry-", index)
                                    : absl::StrCat("agent-", index - region.entries());
}

submission_key key_of(int id)
{
    return {"dambi", absl::StrCat("s", id)};
}

void step_thread(simulated_region& region, int first, int second)
{
    const std::size_t parked_count = region.scheduler().parked_count();
    if (parked_count > 0) {
        region.scheduler().resume(static_cast<std::size_t>(first) % parked_count, 1 + second % 12);
    }
}

void cut(simulated_region& region, int first, int second)
{
    const std::string left = node_name(region, first);
    const std::string right = node_name(region, second);
    if (left != right) {
        region.network().refuse_cut_calls = second % 2 == 0;
        region.network().cut(left, right);
    }
}

void cut_one_way(simulated_region& region, int first, int second)
{
    const std::string from = node_name(region, first);
    const std::string to = node_name(region, second);
    if (from != to) {
        region.network().cut_one_way(from, to);
    }
}

/// Partitions a data centre, with its entries and agents, from the others.
void isolate(simulated_region& region, int first, int)
{
    const int centre = first % 3;
    const int entries = region.entries();
    const auto centre_of = [&](int node) { return (node < entries ? node : node - entries) % 3; };
    for (int left = 0; left < entries + agent_count; ++left) {
        for (int right = 0; right < left; ++right) {
            if ((centre_of(left) == centre) != (centre_of(right) == centre)) {
                region.network().cut(node_name(region, left), node_name(region, right));
            }
        }
    }
}

void plan_fault(simulated_region& region, int first, int second)
{
    constexpr std::array faults{call_fault::lose_request, call_fault::lose_answer,
                                call_fault::duplicate, call_fault::delay};
    region.network().plan_fault(faults[static_cast<std::size_t>(first) % faults.size()],
                                second % 8);
}

void cancel_wave(simulated_region& region, int first, int)
{
    for (int id = 0; id < id_count; ++id) {
        region.cancel(first % region.entries(), key_of(id));
    }
}

void change(simulated_region& region, int first, int second, bool out)
{
    region.change_data_centre(first % region.entries(),
                              data_centres[static_cast<std::size_t>(second) % 3], out);
}

const std::vector<command_row>& rows()
{
    static const std::vector<command_row> table{
        {40, "run", [](simulated_region& region, int, int second) { region.run(1 + second % 6); }},
        {8, "step_entry",
         [](simulated_region& region, int first, int) {
             region.step_entry(first % region.entries());
         }},
        {8, "step_agent",
         [](simulated_region& region, int first, int) { region.step_agent(first % agent_count); }},
        {40, "step_thread", step_thread},
        {6, "take_tasks",
         [](simulated_region& region, int first, int) {
             if (!region.agent(first % agent_count)->control.is_paused) {
                 region.agent(first % agent_count)->take_tasks();
             }
         }},
        {36, "submit",
         [](simulated_region& region, int first, int second) {
             auto request = region.request_for(second % id_count, 0);
             request.set_wait(second / id_count % 2 == 1);
             region.submit(first % region.entries(), request);
         }},
        {3, "submit_other_body",
         [](simulated_region& region, int first, int second) {
             region.submit(first % region.entries(), region.request_for(second % id_count, 1));
         }},
        {6, "status",
         [](simulated_region& region, int first, int second) {
             region.query_status(first % region.entries(),
                                 region.request_for(second % id_count, 0));
         }},
        {3, "cancel",
         [](simulated_region& region, int first, int second) {
             region.cancel(first % region.entries(), key_of(second % id_count));
         }},
        {1, "cancel_wave", cancel_wave},
        {24, "fault", plan_fault},
        {4, "lose_entry_requests",
         [](simulated_region& region, int, int second) {
             region.network().plan_entry_faults(call_fault::lose_request, 1 + second % 5);
         }},
        {4, "lose_entry_answers",
         [](simulated_region& region, int, int second) {
             region.network().plan_entry_faults(call_fault::lose_answer, 1 + second % 5);
         }},
        {14, "deliver_delayed_message",
         [](simulated_region& region, int first, int) {
             region.network().deliver_delayed_message(static_cast<std::size_t>(first));
         }},
        {2, "drop_delayed_message",
         [](simulated_region& region, int first, int) {
             region.network().drop_delayed_message(static_cast<std::size_t>(first));
         }},
        {5, "kill",
         [](simulated_region& region, int first, int) {
             region.kill_entry(first % region.entries());
         }},
        {1, "kill_all",
         [](simulated_region& region, int, int) {
             for (int i = 0; i < region.entries(); ++i) {
                 region.kill_entry(i);
             }
         }},
        {3, "leave",
         [](simulated_region& region, int first, int) {
             region.leave_entry(first % region.entries());
         }},
        {9, "restart",
         [](simulated_region& region, int first, int) {
             region.start_entry(first % region.entries());
         }},
        {4, "pause",
         [](simulated_region& region, int first, int) {
             region.pause_entry(first % region.entries(), true);
         }},
        {7, "resume",
         [](simulated_region& region, int first, int) {
             region.pause_entry(first % region.entries(), false);
         }},
        {5, "cut", cut},
        {4, "cut_one_way", cut_one_way},
        {1, "isolate", isolate},
        {9, "heal", [](simulated_region& region, int, int) { region.network().heal(); }},
        {2, "toggle_refusals",
         [](simulated_region& region, int, int) {
             region.network().dead_hosts_refuse = !region.network().dead_hosts_refuse;
         }},
        {3, "toggle_hidden_agent",
         [](simulated_region& region, int first, int) {
             region.network().toggle_isolated(region.agent(first % agent_count)->info().name());
         }},
        {2, "restart_agent",
         [](simulated_region& region, int first, int) {
             region.restart_agent(first % agent_count);
         }},
        {2, "leave_agent",
         [](simulated_region& region, int first, int) {
             region.agent(first % agent_count)->leave();
         }},
        {3, "pause_agent",
         [](simulated_region& region, int first, int) {
             region.pause_agent(first % agent_count, true);
         }},
        {5, "resume_agent",
         [](simulated_region& region, int first, int) {
             region.pause_agent(first % agent_count, false);
         }},
        {4, "backend",
         [](simulated_region& region, int first, int second) {
             region.agent(first % agent_count)->set_backend(static_cast<backend_state>(second % 4));
         }},
        {3, "outage",
         [](simulated_region& region, int first, int) {
             region.table().set_outage(first % 2 == 0);
         }},
        {3, "lose_store_answer",
         [](simulated_region& region, int, int) { region.table().lose_answers(1); }},
        {2, "delay_store",
         [](simulated_region& region, int, int) { region.table().delay_commits(1); }},
        {2, "release_store",
         [](simulated_region& region, int, int) { region.table().release_commits(); }},
        {3, "data_centre_out",
         [](simulated_region& region, int first, int second) {
             change(region, first, second, true);
         }},
        {4, "data_centre_in",
         [](simulated_region& region, int first, int second) {
             change(region, first, second, false);
         }},
        {2, "operators_race",
         [](simulated_region& region, int first, int second) {
             change(region, first, second, true);
             change(region, first + 1, second, false);
         }},
        {2, "wait",
         [](simulated_region& region, int, int second) {
             region.advance(absl::Seconds(1 + second % 6));
         }},
        {1, "long_wait",
         [](simulated_region& region, int, int second) {
             region.advance(absl::Seconds(second * 4));
         }},
    };
    return table;
}

} // namespace

std::vector<std::size_t> command_weights()
{
    std::vector<std::size_t> weights;
    for (const command_row& row : rows()) {
        weights.push_back(row.weight);
    }
    return weights;
}

std::ostream& operator<<(std::ostream& stream, const command& value)
{
    return stream << rows()[value.row].name << "(" << value.first << "," << value.second << ")";
}

std::istream& operator>>(std::istream& stream, command& value)
{
    std::string name;
    char punctuation = 0;
    std::getline(stream >> std::ws, name, '(');
    stream >> value.first >> punctuation >> value.second >> punctuation;
    const auto found = std::find_if(rows().begin(), rows().end(),
                                    [&](const command_row& row) { return row.name == name; });
    if (stream && found == rows().end()) {
        stream.setstate(std::ios::failbit);
    }
    value.row = static_cast<std::size_t>(found - rows().begin());
    return stream;
}

void apply(simulated_region& region, const command& value)
{
    rows()[value.row].run(region, value.first, value.second);
    region.scheduler().settle();
    region.end_superseded();
}

} // namespace carobfall::stateful
