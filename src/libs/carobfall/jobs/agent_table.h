#pragma once

#include "carobfall/fleet/fleet.pb.h"
#include "carobfall/jobs/agent_choice.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace carobfall {

/// What an entry knows of its agents: the last report of each and the orders that the report
/// doesn't cover yet.
class agent_table {
public:
    /// Tells whether operators have taken a data centre out of service.
    using out_of_service = std::function<bool(std::string_view data_centre)>;

    explicit agent_table(out_of_service is_out) : is_out_(std::move(is_out)) {}

    /// What the agent and its worker are.
    void describe(const fleet::agent_status& description);
    /// Room, queue and speed of an agent that has been described; others are left out.
    void report(const std::string& agent, const fleet::agent_status& status);
    /// Counts an order that was sent on the agent's connection.
    void add_order(const std::string& agent, const fleet::task_order& order);
    void remove(const std::string& agent);
    /// Operators have decided something.
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
        bool accepting{false};
        std::uint64_t orders_sent{0};
        std::deque<sent_order> unreported; ///< orders that the last report doesn't cover
    };

    [[nodiscard]] agent_view& view_of(const std::string& agent);

    out_of_service is_out_;
    std::map<std::string, record> records_; ///< by name
    std::vector<agent_view> views_;
};

} // namespace carobfall
