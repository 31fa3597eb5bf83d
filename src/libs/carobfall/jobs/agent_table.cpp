#include "carobfall/jobs/agent_table.h"

#include "carobfall/base/strings.h"
#include "carobfall/jobs/run_queue.h"

#include <algorithm>

namespace carobfall {
namespace {

// Interruptions are reported per 1000 s.
constexpr double interruption_unit = 1000;

resource_amounts amounts_of(const fleet::room& room)
{
    return {room.cpu_millicores(), room.memory_mib(), room.accelerators()};
}

task_time time_of(const fleet::task_order& order)
{
    const absl::Duration slack = absl::Milliseconds(order.start_by_ms());
    return {absl::Milliseconds(order.expected_run_ms()), slack,
            queue_rank(order.priority(), slack)};
}

} // namespace

void agent_table::describe(const fleet::agent_status& description)
{
    const auto [known, added] = records_.try_emplace(description.name());
    if (added) {
        known->second.position = views_.size();
        views_.emplace_back().name = description.name();
    }
    agent_view& view = views_[known->second.position];
    view.data_centre = description.data_centre();
    view.rack = description.rack();
    view.labels.assign(description.labels().begin(), description.labels().end());
    view.service = description.service();
    view.capacity = amounts_of(description.capacity());
}

void agent_table::report(const std::string& agent, const fleet::agent_status& status,
                         absl::Time now)
{
    const auto found = records_.find(agent);
    if (found == records_.end()) {
        return;
    }
    record& known = found->second;
    known.accepting = status.accepting();
    while (!known.unreported.empty() &&
           known.unreported.front().number <= status.orders_received()) {
        known.unreported.pop_front();
    }
    agent_view& view = views_[known.position];
    view.reported_at = now;
    view.usable = known.accepting && !is_out_(view.data_centre);
    view.load.free = amounts_of(status.free());
    view.load.waiting = waiting_profile::from_classes(
        {status.waiting_millicores().begin(), status.waiting_millicores().end()});
    view.load.released_millicores_per_s = static_cast<double>(status.released_millicores_per_s());
    view.failure_share = static_cast<double>(status.failure_percent()) / 100;
    view.interruptions_per_s = status.interruptions_per_1000_s() / interruption_unit;
    view.slowness = std::max<double>(status.slowness_percent(), 1) / 100;
    for (const sent_order& order : known.unreported) {
        count_order(view.load, order.demand, order.time);
    }
}

void agent_table::add_order(const std::string& agent, const fleet::task_order& order)
{
    const auto known = records_.find(agent);
    if (known == records_.end()) {
        return;
    }
    const resource_amounts demand{order.cpu_millicores(), order.memory_mib(), order.accelerators()};
    const task_time time = time_of(order);
    known->second.unreported.push_back({++known->second.orders_sent, demand, time});
    count_order(views_[known->second.position].load, demand, time);
}

void agent_table::remove(const std::string& agent)
{
    const auto known = records_.find(agent);
    if (known == records_.end()) {
        return;
    }
    const std::size_t position = known->second.position;
    records_.erase(known);
    if (position + 1 < views_.size()) {
        views_[position] = std::move(views_.back());
        records_.at(views_[position].name).position = position;
    }
    views_.pop_back();
}

void agent_table::refresh()
{
    for (agent_view& view : views_) {
        view.usable = records_[view.name].accepting && !is_out_(view.data_centre);
    }
}

const agent_view* agent_table::find(std::string_view agent) const
{
    const auto known = records_.find(to_absl(agent));
    return known == records_.end() ? nullptr : &views_[known->second.position];
}

std::size_t agent_table::usable() const
{
    return static_cast<std::size_t>(std::count_if(
        views_.begin(), views_.end(), [](const agent_view& view) { return view.usable; }));
}

} // namespace carobfall
