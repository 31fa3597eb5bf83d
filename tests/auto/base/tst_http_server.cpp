#include "carobfall/base/http_server.h"

#include <doctest/doctest.h>

using namespace carobfall;

// Guards against two processes that share a port, each of which gets a part of the connections.
TEST_CASE("a second server on a port in use fails with an error that names the port")
{
    http_server first("first", {});
    REQUIRE(first.start());
    http_server second("second", {.port = first.port()});
    const result<void> started = second.start();
    REQUIRE_FALSE(started);
    CHECK(started.error().kind == error_kind::unavailable);
    CHECK(started.error().message.find(std::to_string(first.port())) != std::string::npos);
}
