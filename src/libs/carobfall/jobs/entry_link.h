#pragma once

#include "carobfall/fleet/fleet.pb.h"
#include "carobfall/fleet/frame_channel.h"
#include "carobfall/jobs/worker_ledger.h"

#include <absl/time/time.h>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace carobfall {

/// Connection of the agent to one entry. Reconnects whenever the connection ends.
class entry_link : public std::enable_shared_from_this<entry_link> {
public:
    struct hooks {
        std::function<session_number()> new_session;
        std::function<void(entry_link&)> on_open;
        std::function<void(entry_link&, fleet::entry_frame&)> on_frame;
        /// `permitted_until`: end of the entry's permission for its runs. This time may have passed
        /// when the agent notices the end of the connection.
        std::function<void(session_number, absl::Time permitted_until)> on_closed;
    };

    entry_link(const boost::asio::any_io_executor& executor, std::string address, hooks handlers,
               absl::Time now);

    /// Connects and reads until `stop` is called.
    boost::asio::awaitable<void> run();
    void stop();
    void send(fleet::agent_frame& frame, absl::Time now);
    /// Closes the connection. Returns false if it is closed already.
    bool close();

    /// Whether the permission of the entry to start its tasks is valid. The permission counts from
    /// the time at which the agent sent the frame that the entry echoed, so that delayed frames do
    /// not extend it.
    [[nodiscard]] bool permits_starts(absl::Time now) const
    {
        return is_open() && now < permitted_until_;
    }
    [[nodiscard]] absl::Time permitted_until() const { return permitted_until_; }
    [[nodiscard]] bool is_open() const { return session_ != 0; }
    /// When the entry last sent a frame, or when this link was created.
    [[nodiscard]] absl::Time last_contact() const { return last_contact_; }
    /// Whether the entry may order tasks on this link; sent with each status.
    [[nodiscard]] bool takes_orders() const { return takes_orders_; }
    void set_takes_orders(bool takes_orders) { takes_orders_ = takes_orders; }
    [[nodiscard]] session_number session() const { return session_; }
    [[nodiscard]] const std::string& address() const { return address_; }
    [[nodiscard]] const std::string& entry_name() const { return entry_name_; }
    [[nodiscard]] std::uint64_t orders_received() const { return orders_received_; }
    [[nodiscard]] absl::Time last_sent() const { return last_sent_; }
    /// Number of the latest description of the agent that was sent on this connection, 0 if there
    /// is none.
    [[nodiscard]] std::uint64_t description_sent() const { return description_sent_; }
    void set_description_sent(std::uint64_t number) { description_sent_ = number; }

private:
    boost::asio::awaitable<bool> connect(boost::asio::ip::tcp::socket& socket);
    boost::asio::awaitable<void> read_frames();

    boost::asio::any_io_executor executor_;
    const std::string address_;
    const hooks hooks_;
    std::shared_ptr<frame_channel> channel_;
    session_number session_{0};
    std::string entry_name_;
    absl::Time permitted_until_{absl::InfinitePast()};
    absl::Time last_sent_{absl::InfinitePast()};
    absl::Time last_connected_{absl::InfinitePast()};
    std::uint64_t orders_received_{0};
    std::uint64_t description_sent_{0};
    absl::Time last_contact_;
    bool takes_orders_{true};
    bool stopped_{false};
};

} // namespace carobfall
