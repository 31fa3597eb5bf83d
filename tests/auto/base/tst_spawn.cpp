#include "carobfall/base/spawn.h"
#include "carobfall/base/tcp_listener.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <doctest/doctest.h>

#include <stdexcept>
#include <string>
#include <vector>

using namespace carobfall;
namespace asio = boost::asio;

namespace {

asio::awaitable<void> fail(std::string text)
{
    throw std::runtime_error(text);
    co_return;
}

asio::ip::tcp::endpoint free_endpoint(asio::io_context& context)
{
    asio::ip::tcp::acceptor acceptor(context, {asio::ip::make_address_v4("127.0.0.1"), 0});
    return acceptor.local_endpoint();
}

} // namespace

// Guards against a process that continues silently after the failure of the coroutine that renews
// its leases, reads the store or watches the time.
TEST_CASE("an exception of a detached coroutine propagates out of the event loop")
{
    asio::io_context context{1};
    spawn(context.get_executor(), fail("lease"));
    CHECK_THROWS_WITH(context.run(), "lease");
}

// Guards against a listener that stops, or a process that ends, after one failed connection.
TEST_CASE("a failure of one connection is reported and doesn't affect others")
{
    asio::io_context context{1};
    const asio::ip::tcp::endpoint address = free_endpoint(context);
    std::vector<std::string> failures;
    std::size_t accepted = 0;
    serve_connections(
        context.get_executor(), address,
        [&](const asio::ip::tcp::socket&) {
            ++accepted;
            return fail("broken " + std::to_string(accepted));
        },
        [&](std::string_view error) { failures.emplace_back(error); });
    std::vector<asio::ip::tcp::socket> callers;
    for (int i = 0; i < 2; ++i) {
        callers.emplace_back(context).connect(address);
    }
    for (int i = 0; i < 100 && failures.size() < 2; ++i) {
        context.run_for(std::chrono::milliseconds(10));
    }
    CHECK(failures == std::vector<std::string>{"broken 1", "broken 2"});
}
