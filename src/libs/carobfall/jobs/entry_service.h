#pragma once

#include "carobfall/base/event_log.h"
#include "carobfall/base/histogram.h"
#include "carobfall/fleet/fleet.pb.h"
#include "carobfall/fleet/frame_channel.h"
#include "carobfall/jobs/agent_table.h"
#include "carobfall/jobs/entry_addresses.h"
#include "carobfall/jobs/operator_state_fetcher.h"
#include "carobfall/jobs/operator_state_provider.h"
#include "carobfall/jobs/operator_view.h"

#include <absl/time/time.h>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace carobfall {

/// Service of an entry for the connections of agents: accepts connections, keeps the state of each
/// agent, sends orders and receives events.
class entry_service {
public:
    struct hooks {
        std::function<void(const std::string& agent, const fleet::task_event&)> on_event;
        /// The agent is lost. Its last frame arrived at `last_frame_at`, and all its runs end
        /// within `runs_ended_after` of that time.
        std::function<void(const std::string& agent, absl::Time last_frame_at)> on_lost;
        /// The agent has reconnected, and all runs that were ordered on its earlier connections
        /// have ended.
        std::function<void(const std::string& agent)> on_past_runs_ended;
    };

    entry_service(const boost::asio::any_io_executor& executor, std::string name,
                  std::string address, operator_view& operators, event_log& log,
                  metrics_registry& metrics);

    void set_hooks(hooks handlers) { hooks_ = std::move(handlers); }
    /// Accepts agents at `address`. Throws `boost::system::system_error` if it can't listen.
    void start(const boost::asio::ip::tcp::endpoint& address);
    /// Sends the addresses of further entries to the agents.
    void add_entries(const std::vector<std::string>& addresses);

    [[nodiscard]] const agent_table& agents() const { return table_; }
    /// Sends the order in one frame with the other orders of this event loop iteration. Returns
    /// false if the agent is lost.
    bool order(const std::string& agent, fleet::task_order task);
    void stop(const std::string& agent, fleet::task_stop task);
    [[nodiscard]] std::size_t usable_agents() const { return table_.usable(); }
    /// Age of the last frame of the agent that has been silent for the longest time.
    [[nodiscard]] absl::Duration oldest_report(absl::Time now) const;
    /// Age of the last frame of the agent, infinite if it isn't connected. Every frame of an agent
    /// has its state.
    [[nodiscard]] absl::Duration report_age(const std::string& agent, absl::Time now) const;
    /// Returns the gauges of the agents as text, one per line.
    [[nodiscard]] std::string state_text(absl::Time now) const;
    /// Whether runs at the agent take much longer than expected.
    [[nodiscard]] bool is_slow(const std::string& agent) const;

private:
    struct connection {
        peer_number number{0};
        std::shared_ptr<frame_channel> channel;
        std::string agent; ///< empty until its description arrives
        std::string incarnation;
        bool accepting{false};
        bool past_runs_gone{false}; ///< reported on this connection
        std::int64_t echo_us{0};
        absl::Time last_frame_at;
        absl::Time last_sent{absl::InfinitePast()};
        fleet::entry_frame pending;
        bool has_pending{false};
        std::uint64_t entries_revision_sent{0}; ///< of the addresses sent to the agent
    };

    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);
    boost::asio::awaitable<void> run_periodic_checks();
    void handle_frame(const std::shared_ptr<connection>& peer, fleet::agent_frame& frame);
    void adopt_description(const std::shared_ptr<connection>& peer,
                           const fleet::agent_status& description, absl::Time now);
    void adopt_status(connection& peer, const fleet::agent_status& status);
    /// Answers a request of the agent for the operator state, or takes a part of it.
    void exchange_operator_state(connection& peer, const fleet::agent_frame& frame, absl::Time now);
    void request_operator_state(absl::Time now);
    void drop_agent(const std::string& agent, const std::string& reason);
    void post_flush();
    void flush(absl::Time now);
    void send(connection& peer, absl::Time now);

    boost::asio::any_io_executor executor_;
    const std::string name_;
    operator_view& operators_;
    event_log& log_;
    metrics_registry& metrics_;
    hooks hooks_;
    std::map<std::string, std::shared_ptr<connection>> agents_; ///< by name
    agent_table table_;
    operator_state_fetcher state_fetcher_;
    operator_state_provider state_provider_;
    peer_number last_connection_{0};
    const std::string own_address_;
    entry_addresses entries_;
    bool flush_posted_{false};
};

} // namespace carobfall
