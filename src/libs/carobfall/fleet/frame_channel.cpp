#include "carobfall/fleet/frame_channel.h"

#include "carobfall/base/spawn.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>

#include <netinet/tcp.h>

#include <array>
#include <cstdint>
#include <utility>

namespace carobfall {

namespace asio = boost::asio;

namespace {

// The largest configuration in the store fits, with a margin for the names that carobfall adds.
constexpr std::size_t max_frame_bytes = 4U << 20U;
// More unsent data than this closes the connection, because the peer reads too slowly.
constexpr std::size_t max_unsent_bytes = 8U << 20U;
constexpr std::size_t length_prefix_bytes = 4;
// The kernel closes the connection if sent data is not acknowledged for this long.
constexpr unsigned unacknowledged_timeout_ms = 1500;

} // namespace

frame_channel::frame_channel(asio::ip::tcp::socket socket)
    : socket_(std::move(socket)), queue_changed_(socket_.get_executor())
{}

asio::awaitable<bool> frame_channel::read(google::protobuf::MessageLite& message)
{
    std::array<unsigned char, length_prefix_bytes> prefix{};
    boost::system::error_code error;
    co_await asio::async_read(socket_, asio::buffer(prefix),
                              asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        co_return false;
    }
    const std::uint32_t size = boost::endian::load_big_u32(prefix.data());
    if (size > max_frame_bytes) {
        co_return false;
    }
    incoming_.resize(size);
    co_await asio::async_read(socket_, asio::buffer(incoming_),
                              asio::redirect_error(asio::use_awaitable, error));
    co_return !error && message.ParseFromString(incoming_);
}

void frame_channel::send(const google::protobuf::MessageLite& message)
{
    std::array<unsigned char, length_prefix_bytes> prefix{};
    boost::endian::store_big_u32(prefix.data(), static_cast<std::uint32_t>(message.ByteSizeLong()));
    unsent_.append(prefix.begin(), prefix.end());
    message.AppendToString(&unsent_);
    if (unsent_.size() > max_unsent_bytes) {
        close();
    }
    queue_changed_.notify();
}

asio::awaitable<void> frame_channel::write_all()
{
    std::string batch;
    while (socket_.is_open()) {
        if (unsent_.empty()) {
            co_await queue_changed_.wait();
            continue;
        }
        batch.clear();
        std::swap(batch, unsent_);
        boost::system::error_code error;
        co_await asio::async_write(socket_, asio::buffer(batch),
                                   asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            close();
        }
    }
}

void frame_channel::close()
{
    boost::system::error_code ignored;
    socket_.close(ignored); // the descriptor is closed also when an error is reported
    queue_changed_.notify();
}

static asio::awaitable<void> write_frames(std::shared_ptr<frame_channel> channel)
{
    co_await channel->write_all();
}

std::shared_ptr<frame_channel> open_frame_channel(asio::ip::tcp::socket socket)
{
    boost::system::error_code ignored; // the options only speed up the detection of lost peers
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    using user_timeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    socket.set_option(user_timeout(unacknowledged_timeout_ms), ignored);
    const asio::any_io_executor executor = socket.get_executor();
    auto channel = std::make_shared<frame_channel>(std::move(socket));
    spawn(executor, write_frames(channel));
    return channel;
}

} // namespace carobfall
