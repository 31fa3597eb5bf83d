#include "carobfall/backend/announcement_server.h"

#include "carobfall/backend/announcement.h"
#include "carobfall/base/log_fields.h"

#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include <utility>

namespace carobfall {
namespace {

/// Maximum size of a request body. An announcement takes less than 300 bytes.
constexpr std::size_t max_body_bytes = 4096;

/// Connections served concurrently. Only one backend server connects, but each connection that it
/// leaves open occupies a thread until the keep-alive timeout.
constexpr std::size_t server_threads = 4;
constexpr absl::Duration keep_alive_timeout = absl::Seconds(1);

/// Renewals within the validity of an announcement; one lost renewal doesn't end the validity.
constexpr int renewals_per_validity = 3;

} // namespace

announcement_server::announcement_server(backend_registration& registration, clock_function clock,
                                         std::string host, int port)
    : registration_(registration),
      clock_(std::move(clock)),
      http_("announcement_request", {.host = std::move(host),
                                     .port = port,
                                     .threads = server_threads,
                                     .max_body_bytes = max_body_bytes,
                                     .keep_alive = keep_alive_timeout,
                                     .log_successes = false})
{
    http_.add_route("POST", "/v1/announce", [this](http_call& call) { announce(call); });
    http_.add_route("POST", "/v1/leave", [this](http_call& call) { leave(call); });
}

void announcement_server::announce(http_call& call)
{
    const result<std::string> body = call.read_body();
    if (!body) {
        return refuse(call, body.error());
    }
    const result<announcement> parsed = parse_announcement(body.value());
    if (!parsed) {
        return refuse(call, parsed.error());
    }
    const result<void> announced = registration_.announce(parsed.value(), clock_());
    if (!announced) {
        return refuse(call, announced.error());
    }
    const absl::Duration validity = registration_.validity();
    respond(call, {{"interval_ms", absl::ToInt64Milliseconds(validity / renewals_per_validity)},
                   {"expires_after_ms", absl::ToInt64Milliseconds(validity)}});
}

void announcement_server::leave(http_call& call)
{
    const result<std::string> body = call.read_body();
    if (!body) {
        return refuse(call, body.error());
    }
    const result<std::string> name = parse_leave(body.value());
    if (!name) {
        return refuse(call, name.error());
    }
    const result<void> left = registration_.leave(name.value(), clock_());
    if (!left) {
        return refuse(call, left.error());
    }
    LOG(INFO) << log_fields("backend_left").add("name", name.value());
    respond(call, nlohmann::json::object());
}

} // namespace carobfall
