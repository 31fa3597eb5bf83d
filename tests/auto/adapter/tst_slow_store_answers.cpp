#include "reader_fixture.h"

#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <string>

using namespace carobfall;
using namespace carobfall::platform;
namespace asio = boost::asio;

namespace {

constexpr absl::Duration feed_wait = absl::Milliseconds(200);

/// Store whose answers arrive in pieces, as over a slow link. Serves one configuration.
class slow_store {
public:
    explicit slow_store(asio::io_context& context)
        : context_(context), acceptor_(context, {asio::ip::make_address_v4("127.0.0.1"), 0})
    {
        spawn(context.get_executor(), accept());
    }

    [[nodiscard]] asio::ip::tcp::endpoint endpoint() const { return acceptor_.local_endpoint(); }

    std::size_t pieces{1};
    absl::Duration pause{absl::Milliseconds(100)};
    std::size_t stalled_answers{0}; ///< so many answers end after their first piece
    std::uint64_t version{1};

private:
    asio::awaitable<void> accept()
    {
        while (true) {
            spawn(context_.get_executor(),
                  serve(co_await acceptor_.async_accept(asio::use_awaitable)));
        }
    }
    asio::awaitable<void> serve(asio::ip::tcp::socket socket)
    {
        std::string request;
        boost::system::error_code error;
        while (!error) {
            const std::size_t size =
                co_await asio::async_read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n",
                                                asio::redirect_error(asio::use_awaitable, error));
            if (error) {
                break;
            }
            const std::size_t after = request.find("&after=");
            if (after != std::string::npos) {
                co_await wait_for_change(std::stoull(request.substr(after + 7)));
            }
            request.erase(0, size);
            co_await answer(socket, error);
        }
    }
    asio::awaitable<void> wait_for_change(std::uint64_t after)
    {
        while (version <= after) {
            co_await wait(absl::Milliseconds(5));
        }
    }
    asio::awaitable<void> answer(asio::ip::tcp::socket& socket, boost::system::error_code& error)
    {
        const std::string configuration =
            absl::StrCat(R"({"version":)", version, R"(,"routes":[]})");
        const std::string body =
            absl::StrCat(R"({"schema_version":)", version, R"(,"rows":[{"key":"config","value":")",
                         absl::Base64Escape(configuration), R"(","schema_version":)", version,
                         "}],\"padding\":\"", std::string(100'000, 'x'), "\"}");
        const std::string text =
            absl::StrCat("HTTP/1.1 200 OK\r\nContent-Length: ", body.size(), "\r\n\r\n", body);
        const bool stalls = stalled_answers > 0;
        stalled_answers -= stalls ? 1 : 0;
        const std::size_t piece = text.size() / pieces + 1;
        for (std::size_t sent = 0; sent < text.size() && !error; sent += piece) {
            co_await asio::async_write(socket, asio::buffer(text.substr(sent, piece)),
                                       asio::redirect_error(asio::use_awaitable, error));
            co_await wait(stalls ? absl::Seconds(20) : pause);
        }
    }
    asio::awaitable<void> wait(absl::Duration duration)
    {
        asio::steady_timer timer(context_, timer_duration(duration));
        co_await timer.async_wait(asio::use_awaitable);
    }

    asio::io_context& context_;
    asio::ip::tcp::acceptor acceptor_;
};

using slow_store_fixture = test::reader_fixture<slow_store>;

} // namespace

// Load pattern: a configuration of hundreds of kilobytes over a link of 19 Mbit/s that other
// traffic shares. Guards against an answer that is dropped and requested again while it arrives.
TEST_CASE("an answer of the store that arrives slowly is read to its end")
{
    slow_store_fixture test;
    test.store.pieces = 15;
    test.start(feed_wait);
    CHECK(test.run_until_configuration(1));
    test.store.version = 2;
    CHECK(test.run_until_configuration(2));
    CHECK(test.metrics.counter("store_reads_total{outcome=\"failed\"}") == 0);
}

// Guards against a process that waits without end for the rest of an answer.
TEST_CASE("an answer of the store that stops arriving is requested again")
{
    slow_store_fixture test;
    test.store.pieces = 2;
    test.store.stalled_answers = 1;
    test.start(feed_wait);
    CHECK(test.run_until_configuration(1));
    test.store.stalled_answers = 1;
    test.store.version = 2;
    CHECK(test.run_until_configuration(2));
}
