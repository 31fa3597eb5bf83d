#pragma once

#include "carobfall/base/async_event.h"

#include <absl/time/time.h>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <google/protobuf/message_lite.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace carobfall {

/// Sends and receives Protobuf messages over a TCP connection, each after its length in four bytes
/// (big-endian). Not thread-safe. Queued messages are sent only while `write_all` runs.
class frame_channel {
public:
    explicit frame_channel(boost::asio::ip::tcp::socket socket);

    /// Reads one message. False if the connection has ended or the frame is malformed or too large.
    boost::asio::awaitable<bool> read(google::protobuf::MessageLite& message);
    /// Queues the message. Closes the connection if the peer reads too slowly.
    void send(const google::protobuf::MessageLite& message);
    /// Writes queued messages until the connection ends.
    boost::asio::awaitable<void> write_all();
    void close();

    [[nodiscard]] bool is_open() const { return socket_.is_open(); }

private:
    boost::asio::ip::tcp::socket socket_;
    async_event queue_changed_;
    std::string unsent_;
    std::string incoming_;
};

/// Each side sends a frame at least this often. A peer that has sent no frame for some hundred
/// milliseconds is therefore considered lost.
inline constexpr std::int64_t link_frame_interval_ms = 100;
inline constexpr absl::Duration link_frame_interval = absl::Milliseconds(link_frame_interval_ms);

/// Opens a channel between an entry and an agent and writes its queued messages until the
/// connection ends. The connection also ends if the peer vanishes without closing it.
[[nodiscard]] std::shared_ptr<frame_channel> open_frame_channel(boost::asio::ip::tcp::socket socket);

} // namespace carobfall
