#pragma once

#include "region_fixture.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <cstdint>
#include <memory>
#include <utility>
#include <vector>

namespace carobfall::test {

/// Forwards connections of agents to an entry, and breaks them on request.
class relay {
public:
    using shared_socket = std::shared_ptr<asio::ip::tcp::socket>;

    /// `bytes_per_s`: rate that all connections share in the direction to the entry; 0: unlimited.
    relay(asio::io_context& context, const asio::ip::tcp::endpoint& address,
          asio::ip::tcp::endpoint entry, std::int64_t bytes_per_s = 0)
        : context_(context),
          acceptor_(context, address),
          entry_(std::move(entry)),
          bytes_per_s_(bytes_per_s)
    {
        asio::co_spawn(context_, accept(), asio::detached);
    }

    /// Resets the connection that was made first.
    void reset_first()
    {
        for (const shared_socket& socket : {agents_.front(), entries_.front()}) {
            boost::system::error_code ignored; // the other side may have closed it already
            socket->close(ignored);
        }
    }

private:
    asio::awaitable<void> accept()
    {
        while (true) {
            auto agent = std::make_shared<asio::ip::tcp::socket>(
                co_await acceptor_.async_accept(asio::use_awaitable));
            auto entry = std::make_shared<asio::ip::tcp::socket>(context_);
            co_await entry->async_connect(entry_, asio::use_awaitable);
            agents_.push_back(agent);
            entries_.push_back(entry);
            asio::co_spawn(context_, forward(agent, entry, bytes_per_s_), asio::detached);
            asio::co_spawn(context_, forward(entry, agent, 0), asio::detached);
        }
    }

    asio::awaitable<void> forward(shared_socket from, shared_socket to, std::int64_t bytes_per_s)
    {
        std::array<char, 4096> buffer{};
        boost::system::error_code error;
        while (!error) {
            const std::size_t size = co_await from->async_read_some(
                asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, error));
            if (bytes_per_s > 0) {
                link_free_at_ = std::max(link_free_at_, boot_now()) +
                                absl::Seconds(static_cast<double>(size) / bytes_per_s);
                asio::steady_timer pause(context_, timer_duration(link_free_at_ - boot_now()));
                co_await pause.async_wait(asio::use_awaitable);
            }
            if (!error) {
                co_await asio::async_write(*to, asio::buffer(buffer, size),
                                           asio::redirect_error(asio::use_awaitable, error));
            }
        }
        to->close(error);
    }

    asio::io_context& context_;
    asio::ip::tcp::acceptor acceptor_;
    const asio::ip::tcp::endpoint entry_;
    const std::int64_t bytes_per_s_;
    absl::Time link_free_at_{absl::InfinitePast()};
    std::vector<shared_socket> agents_;  ///< sockets to the agents, in the order of connecting
    std::vector<shared_socket> entries_; ///< sockets to the entry
};

} // namespace carobfall::test
