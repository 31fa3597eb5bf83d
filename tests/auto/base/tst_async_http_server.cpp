#include "carobfall/base/async_http_server.h"

#include "carobfall/base/boot_clock.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <array>
#include <string>
#include <vector>

using namespace carobfall;

namespace {

namespace asio = boost::asio;

constexpr const char* whole_request = "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n";

/// A server that answers each request with status 200.
class running_server {
public:
    explicit running_server(const async_http_limits& limits = {})
    {
        server_.set_limits(limits);
        server_.start(address_);
    }

    asio::ip::tcp::socket connect()
    {
        asio::ip::tcp::socket socket(context_);
        socket.connect(address_);
        return socket;
    }

    /// Sends `request` and returns what the server has sent after `duration`.
    std::string exchange(asio::ip::tcp::socket& socket, const std::string& request,
                         absl::Duration duration = absl::Milliseconds(100))
    {
        asio::write(socket, asio::buffer(request));
        run(duration);
        std::array<char, 16384> answer{};
        boost::system::error_code error;
        socket.non_blocking(true);
        const std::size_t size = socket.read_some(asio::buffer(answer), error);
        return std::string(answer.data(), size);
    }

    std::string exchange(const std::string& request)
    {
        asio::ip::tcp::socket socket = connect();
        return exchange(socket, request);
    }

    void run(absl::Duration duration) { context_.run_for(timer_duration(duration)); }

    void closing(bool closing) { server_.set_closing(closing); }

    std::size_t handled{0};

private:
    static asio::ip::tcp::endpoint free_address(asio::io_context& context)
    {
        return asio::ip::tcp::acceptor(context, {asio::ip::make_address_v4("127.0.0.1"), 0})
            .local_endpoint();
    }

    asio::io_context context_{1};
    asio::ip::tcp::endpoint address_{free_address(context_)};
    event_log log_{"server", "mapo"};
    async_http_server server_{
        context_.get_executor(),
        [this](const async_http_request&, caller_watch&) -> asio::awaitable<async_http_response> {
            ++handled;
            co_return async_http_response{200, std::string(3000, 'b'), "application/json", ""};
        },
        log_};
};

} // namespace

// Guards against requests that a paused process reads after their callers have sent them elsewhere.
TEST_CASE("a request whose caller has left is not handled")
{
    running_server server;
    {
        asio::ip::tcp::socket caller = server.connect();
        asio::write(caller, asio::buffer(std::string_view(whole_request)));
    }
    server.run(absl::Milliseconds(100));
    CHECK(server.handled == 0);
    CHECK(absl::StartsWith(server.exchange(whole_request), "HTTP/1.1 200 "));
    CHECK(server.handled == 1);
}

// Guards against a process that is aborted by one request that can't be parsed.
TEST_CASE("a malformed request gets status 400 and the server goes on")
{
    running_server server;
    const std::vector<std::string> malformed = {
        "\x16\x03\x01\r\n\r\n",
        "GET / HTTP/9.9\r\n\r\n",
        "GET / HTTP/1.1\r\nno colon\r\n\r\n",
        "POST / HTTP/1.1\r\nContent-Length: many\r\n\r\n",
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
    };
    for (const std::string& request : malformed) {
        CHECK(absl::StartsWith(server.exchange(request), "HTTP/1.1 400 "));
    }
    CHECK(absl::StartsWith(server.exchange(whole_request), "HTTP/1.1 200 "));
}

// Guards against a process that is aborted by one request over a limit.
TEST_CASE("a request over a limit gets status 413 or 431 and the server goes on")
{
    async_http_limits limits;
    limits.max_header_bytes = 256;
    limits.max_body_bytes = 16;
    running_server server(limits);
    const std::string long_body =
        absl::StrCat("POST / HTTP/1.1\r\nContent-Length: 17\r\n\r\n", std::string(17, 'b'));
    const std::string long_header =
        absl::StrCat("GET / HTTP/1.1\r\nA: ", std::string(300, 'a'), "\r\n\r\n");
    CHECK(absl::StartsWith(server.exchange(long_body), "HTTP/1.1 413 "));
    CHECK(absl::StartsWith(server.exchange(long_header), "HTTP/1.1 431 "));
    CHECK(absl::StartsWith(server.exchange(whole_request), "HTTP/1.1 200 "));
}

// Guards against a process that is aborted by one connection too many.
TEST_CASE("a connection beyond the limit gets status 503 and the server goes on")
{
    async_http_limits limits;
    limits.max_connections = 1;
    running_server server(limits);
    asio::ip::tcp::socket first = server.connect();
    CHECK(absl::StartsWith(server.exchange(first, whole_request), "HTTP/1.1 200 "));
    const std::string refused = server.exchange(whole_request);
    CHECK(absl::StartsWith(refused, "HTTP/1.1 503 "));
    CHECK(absl::StrContains(refused, "Retry-After: 1"));
    CHECK(absl::StartsWith(server.exchange(first, whole_request), "HTTP/1.1 200 "));
}

// Guards against callers that stay at an overloaded process, and against answers that are cut off.
TEST_CASE("a server that is closing its connections completes the answers first")
{
    running_server server;
    asio::ip::tcp::socket caller = server.connect();
    CHECK_FALSE(absl::StrContains(server.exchange(caller, whole_request), "Connection: close"));
    server.closing(true);
    const std::string answers = server.exchange(caller, absl::StrCat(whole_request, whole_request));
    CHECK(server.handled == 3);
    CHECK(absl::StrContains(answers, "Connection: close"));
    CHECK(answers.find("Connection: close") > answers.rfind("HTTP/1.1 200 "));
    CHECK(absl::EndsWith(answers, "\r\n\r\n" + std::string(3000, 'b')));
    boost::system::error_code error;
    std::array<char, 1> rest{};
    caller.read_some(asio::buffer(rest), error);
    CHECK(error == asio::error::eof);
}
