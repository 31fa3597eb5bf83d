#pragma once

#include "carobfall/base/async_event.h"

#include <absl/time/time.h>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <google/protobuf/message_lite.h>

#include <cstddef>
#include <memory>
#include <string>

namespace carobfall {

/// Protobuf messages over one TCP connection, each after its length in four bytes (big-endian).
/// Used on one thread; `write_all` has to run while messages are sent.
class frame_channel {
public:
    explicit frame_channel(boost::asio::ip::tcp::socket socket);

    /// False if the connection has ended or the peer sent something that is no frame.
    boost::asio::awaitable<bool> read(google::protobuf::MessageLite& message);
    /// Queues the message. Closes the connection if the peer reads too slowly.
    void send(const google::protobuf::MessageLite& message);
    /// Writes what is queued until the connection ends.
    boost::asio::awaitable<void> write_all();
    void close();

    [[nodiscard]] bool is_open() const { return socket_.is_open(); }

private:
    boost::asio::ip::tcp::socket socket_;
    async_event queued_;
    std::string outgoing_;
    std::string incoming_;
};

/// Longest pause between two frames in either direction, so that silence of some hundred
/// milliseconds means a lost peer.
inline constexpr absl::Duration link_frame_interval = absl::Milliseconds(100);

/// Channel over a connection between our processes, whose queue is written until the connection
/// ends. A peer that is gone without a word ends it as well.
[[nodiscard]] std::shared_ptr<frame_channel> open_frame_channel(boost::asio::ip::tcp::socket socket);

} // namespace carobfall
