#pragma once

#include "carobfall/base/async_event.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <google/protobuf/message_lite.h>

#include <cstddef>
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

/// Sets the options of a connection between our processes: no delay, and an end to connections
/// whose peer is gone without a word.
void configure_link_socket(boost::asio::ip::tcp::socket& socket);

} // namespace carobfall
