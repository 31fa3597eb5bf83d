#include "decoded_rows.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <string>

using namespace carobfall;
using namespace carobfall::platform;
using namespace carobfall::platform::test;

namespace {

const std::string configuration = R"({"version":7,"routes":[
  {"name":"r-1","host":"a.example","prefix":"/x/","type":"non_idempotent","timeout_ms":1500,
   "target_completion_ms":60,"priority":2,"service":"s1","max_attempts":3,"slack_factor":1.6},
  {"name":"broken","host":5}],
  "limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,
   "idle_timeout_ms":15000}})";

} // namespace

TEST_CASE("rows of operators are decoded to routes, limits and data centres out of service")
{
    const fleet::operator_state state = decode_operator_rows(
        {{"config", configuration}, {"evacuate/guro", "{}"}, {"wave/1", "{}"}}, 12);
    CHECK(state.version() == 12);
    CHECK(state.configuration_version() == 7);
    REQUIRE(state.routes_size() == 1);
    CHECK(state.routes(0).prefix() == "/x/");
    CHECK(state.routes(0).target_ms() == 60);
    CHECK(state.routes(0).slack_factor() == doctest::Approx(1.6));
    CHECK(state.limits().max_body_bytes() == 262144);
    REQUIRE(state.data_centres_out_size() == 1);
    CHECK(state.data_centres_out(0) == "guro");
}

TEST_CASE("a malformed configuration is left out")
{
    CHECK(decode_operator_rows({{"config", "{"}}, 3).configuration_version() == 0);
    CHECK(decode_operator_rows({{"config", R"({"version":"7"})"}}, 3).configuration_version() == 0);
}

// Guards against a crash on rows that another program has written.
TEST_CASE("decoding arbitrary bytes does not crash")
{
    CHECK(rc::check([](const std::string& text) {
        static_cast<void>(decode_operator_rows({{"config", text}, {text, text}}, 1));
    }));
}
