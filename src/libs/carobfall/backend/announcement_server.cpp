#include "carobfall/backend/announcement_server.h"

#include "carobfall/backend/http_listener.h"
#include "carobfall/base/log_fields.h"
#include "carobfall/base/strings.h"

#include <absl/strings/str_cat.h>
#include <glog/logging.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include <utility>

namespace carobfall {
namespace {

constexpr const char* json_type = "application/json";

/// Largest accepted body. An announcement takes less than 300 bytes.
constexpr std::size_t max_body_bytes = 4096;

/// Connections served at once. There is one backend server; a connection that it leaves open keeps
/// a thread until the keep-alive limit.
constexpr std::size_t server_threads = 4;
constexpr std::time_t keep_alive_limit_s = 1;

/// Renewals that may get lost before an announcement expires.
constexpr int renewals_per_validity = 3;

constexpr int status_ok = 200;

void respond(httplib::Response& response, int status, const nlohmann::json& body)
{
    response.status = status;
    response.set_content(body.dump(), json_type);
}

void respond(httplib::Response& response, const error& problem)
{
    respond(response, http_status_of(problem.kind),
            {{"error",
              {{"kind", name_of(problem.kind)},
               {"message", problem.message},
               {"remedy", problem.remedy}}}});
}

/// Body for errors that the HTTP library detects itself.
void respond_library_error(const httplib::Request& request, httplib::Response& response)
{
    if (!response.body.empty()) {
        return;
    }
    const int too_large = http_status_of(error_kind::payload_too_large);
    const bool is_too_large = response.status == too_large;
    const int status = response.status;
    respond(response, error{is_too_large ? error_kind::payload_too_large : error_kind::not_found,
                            absl::StrCat("cannot serve ", request.method, " ", request.path),
                            is_too_large ? absl::StrCat("send at most ", max_body_bytes, " bytes")
                                         : std::string("use POST /v1/announce or POST /v1/leave")});
    response.status = status;
}

} // namespace

announcement_server::announcement_server(backend_registration& registration, clock_function clock)
    : registration_(registration),
      clock_(std::move(clock)),
      server_(std::make_unique<httplib::Server>()),
      listener_(*server_)
{
    server_->set_payload_max_length(max_body_bytes);
    server_->new_task_queue = [] { return new httplib::ThreadPool(server_threads); };
    server_->set_keep_alive_timeout(keep_alive_limit_s);
    server_->set_error_handler(respond_library_error);
    add_routes();
}

announcement_server::~announcement_server() = default;

void announcement_server::add_routes()
{
    server_->Post(
        "/v1/announce", [this](const httplib::Request& request, httplib::Response& response) {
            const result<announcement> parsed = parse_announcement(request.body);
            if (!parsed) {
                return respond(response, parsed.error());
            }
            const result<void> announced = registration_.announce(parsed.value(), clock_());
            if (!announced) {
                return respond(response, announced.error());
            }
            const absl::Duration validity = registration_.validity();
            respond(response, status_ok,
                    {{"interval_ms", absl::ToInt64Milliseconds(validity / renewals_per_validity)},
                     {"expires_after_ms", absl::ToInt64Milliseconds(validity)}});
        });
    server_->Post("/v1/leave",
                  [this](const httplib::Request& request, httplib::Response& response) {
                      const result<std::string> name = parse_leave(request.body);
                      if (!name) {
                          return respond(response, name.error());
                      }
                      const result<void> left = registration_.leave(name.value(), clock_());
                      if (!left) {
                          return respond(response, left.error());
                      }
                      LOG(INFO) << log_fields("backend_left").add("name", name.value());
                      respond(response, status_ok, nlohmann::json::object());
                  });
}

result<void> announcement_server::start(const std::string& address, std::uint16_t port)
{
    return listener_.start(address, port);
}

} // namespace carobfall
