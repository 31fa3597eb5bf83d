#pragma once

#include "carobfall/fleet/fleet.pb.h"
#include "carobfall/jobs/task_placement.h"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace carobfall {

/// The agents of an entry: the last report of each agent, and the orders that the agent had not
/// received when it sent the report.
class agent_table {
public:
    /// Returns whether operators have taken a data centre out of service.
    using out_of_service = std::function<bool(std::string_view data_centre)>;

    explicit agent_table(out_of_service is_out) : is_out_(std::move(is_out)) {}

    /// Adds the agent, or updates the description of the agent and its worker.
    void describe(const fleet::agent_status& description);
    /// Updates room, queue, speed and failures of an agent that has been described. Reports of
    /// other agents are ignored.
    void report(const std::string& agent, const fleet::agent_status& status, absl::Time now);
    /// Adds an order that was sent to the agent to its load.
    void add_order(const std::string& agent, const fleet::task_order& order);
    void remove(const std::string& agent);
    /// Applies a change of the data centres that are out of service.
    void refresh();

    [[nodiscard]] const std::vector<agent_view>& views() const { return views_; }
    [[nodiscard]] const agent_view* find(std::string_view agent) const;
    [[nodiscard]] std::size_t usable() const;

private:
    struct sent_order {
        std::uint64_t number{0};
        resource_amounts demand;
        task_time time;
    };
    struct record {
        std::size_t position{0}; ///< in `views_`
        bool accepting{false};
        std::uint64_t orders_sent{0};
        std::deque<sent_order> unreported; ///< orders not received before the last report
    };

    out_of_service is_out_;
    absl::flat_hash_map<std::string, record> records_; ///< by name
    std::vector<agent_view> views_;
};

} // namespace carobfall
