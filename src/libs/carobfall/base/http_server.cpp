#include "carobfall/base/http_server.h"

#include "carobfall/base/clock.h"
#include "carobfall/base/http_json.h"
#include "carobfall/base/http_limits.h"
#include "carobfall/base/ids.h"
#include "carobfall/base/log_fields.h"
#include "carobfall/base/strings.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <glog/logging.h>
#include <sys/socket.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <utility>

namespace carobfall {
namespace {

// The library listens with a backlog of 5; a burst of connections would wait for SYN retries.
constexpr int listen_backlog = 1024;
// Requests served on one connection before it is closed, so that connections spread over entries.
constexpr std::size_t max_requests_per_connection = 1000;
constexpr const char* any_path = R"([\s\S]*)";
constexpr std::string_view name_segment = "{}";
constexpr int http_method_not_allowed = 405;

std::vector<std::string> split_path(std::string_view path)
{
    return absl::StrSplit(to_absl(path), '/');
}

bool matches_path(const std::vector<std::string>& pattern, const std::vector<std::string>& path)
{
    return std::equal(pattern.begin(), pattern.end(), path.begin(), path.end(),
                      [](const std::string& wanted, const std::string& given) {
                          return wanted == name_segment || wanted == given;
                      });
}

// The library sets SO_REUSEPORT by default, with which a second process on the same port would
// start and get part of the connections.
void allow_reuse_after_close(socket_t socket)
{
    const int yes = 1;
    setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
}

// A body that was not read would be taken for the next request of the connection.
void close_after_response(httplib::Response& response)
{
    response.set_header("Connection", "close");
}

result<std::string> read_limited(const httplib::Request& request, httplib::Response& response,
                                 const httplib::ContentReader* reader, std::size_t limit)
{
    std::string body;
    if (reader == nullptr || !has_body(request)) {
        return body;
    }
    bool too_large = false;
    const bool complete = (*reader)([&](const char* data, std::size_t size) {
        too_large = size > limit - body.size();
        if (!too_large) {
            body.append(data, size);
        }
        return !too_large;
    });
    if (complete) {
        return body;
    }
    close_after_response(response);
    if (too_large || response.status == http_status_of(error_kind::payload_too_large)) {
        return failure(error_kind::payload_too_large,
                       absl::StrCat("the body is larger than ", limit, " bytes"),
                       "send a smaller body; a large submission can be split into several");
    }
    return failure(error_kind::invalid_request, "the body could not be read to its end",
                   "send the whole body within the read timeout, without or with gzip encoding");
}

// Reads the rest of the body, so that the connection stays usable after an early response.
void discard_body(httplib::Response& response, const httplib::ContentReader* reader,
                  std::size_t limit)
{
    std::size_t discarded = 0;
    const bool complete =
        reader != nullptr && (*reader)([&](const char* /*data*/, std::size_t size) {
            discarded += size;
            return discarded <= limit;
        });
    if (!complete) {
        close_after_response(response);
    }
}

} // namespace

void respond(http_call& call, nlohmann::json body, int status)
{
    body["request_id"] = call.request_id;
    send_json(call.response, status, body);
}

void refuse(http_call& call, const error& reason)
{
    send_error(call.response, reason, call.request_id);
}

class http_server::listener : public httplib::Server {
public:
    // Listening again on the bound socket changes its backlog.
    void raise_backlog() { ::listen(svr_sock_, listen_backlog); }
};

http_server::http_server(std::string log_name, http_server_settings settings)
    : log_name_(std::move(log_name)),
      settings_(std::move(settings)),
      listener_(std::make_unique<listener>())
{
    configure_listener();
    install_handlers();
}

http_server::~http_server()
{
    stop();
}

void http_server::configure_listener()
{
    listener_->new_task_queue = [threads = settings_.threads] {
        return new httplib::ThreadPool(threads); // the library deletes it
    };
    listener_->set_payload_max_length(settings_.max_body_bytes);
    listener_->set_keep_alive_max_count(max_requests_per_connection);
    // The library counts whole seconds; 0 would close every connection at once.
    listener_->set_keep_alive_timeout(
        std::max<std::int64_t>(1, absl::ToInt64Seconds(settings_.keep_alive)));
    listener_->set_read_timeout(absl::ToChronoMilliseconds(settings_.read_timeout));
    listener_->set_write_timeout(absl::ToChronoMilliseconds(settings_.write_timeout));
    listener_->set_tcp_nodelay(true);
    listener_->set_socket_options(allow_reuse_after_close);
}

void http_server::install_handlers()
{
    using httplib::Request;
    using httplib::Response;
    listener_->set_pre_routing_handler([](const Request& request, Response& response) {
        const std::string id = request_id_of(request);
        response.set_header("X-Request-Id", id);
        const auto shape = check_request_shape(request);
        if (shape) {
            return httplib::Server::HandlerResponse::Unhandled;
        }
        send_error(response, shape.error(), id);
        close_after_response(response);
        return httplib::Server::HandlerResponse::Handled;
    });
    listener_->set_error_handler([](const Request& request, Response& response) {
        if (response.body.empty()) {
            const int status = response.status;
            send_json(response, status,
                      error_document({error_kind::invalid_request,
                                      "the request is not valid HTTP or has no such route",
                                      "see docs/api.md for the requests"},
                                     request_id_of(request)));
        }
    });
    const auto without_body = [this](const Request& request, Response& response) {
        handle(request, response, nullptr);
    };
    const auto with_body = [this](const Request& request, Response& response,
                                  const httplib::ContentReader& reader) {
        handle(request, response, &reader);
    };
    listener_->Get(any_path, without_body);
    listener_->Options(any_path, without_body);
    listener_->Post(any_path, with_body);
    listener_->Put(any_path, with_body);
    listener_->Patch(any_path, with_body);
    listener_->Delete(any_path, with_body);
}

void http_server::add_route(std::string method, std::string_view pattern, http_handler handler)
{
    routes_.push_back({std::move(method), split_path(pattern), std::move(handler)});
}

result<void> http_server::start()
{
    port_ = settings_.port;
    const bool bound = settings_.port == 0
                           ? (port_ = listener_->bind_to_any_port(settings_.host)) > 0
                           : listener_->bind_to_port(settings_.host, settings_.port);
    if (!bound) {
        return failure(error_kind::unavailable,
                       absl::StrCat("can't listen on ", settings_.host, ":", settings_.port),
                       "choose a free port and an address of this host in the settings");
    }
    listener_->raise_backlog();
    thread_ = std::thread([this] { listener_->listen_after_bind(); });
    // `stop` has no effect on a listener that is not running yet.
    while (!listener_->is_running()) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    return success();
}

void http_server::stop()
{
    if (thread_.joinable()) {
        listener_->stop();
        thread_.join();
    }
}

result<const http_server::route*>
http_server::find_route(const std::string& method, const std::vector<std::string>& segments) const
{
    bool known_path = false;
    for (const route& candidate : routes_) {
        if (matches_path(candidate.segments, segments)) {
            if (candidate.method == method) {
                return &candidate;
            }
            known_path = true;
        }
    }
    if (known_path) {
        return failure(error_kind::invalid_request, "the method is not allowed for this path",
                       "see docs/api.md for the requests");
    }
    return failure(error_kind::not_found, "there is no such path",
                   "see docs/api.md for the requests");
}

void http_server::handle(const httplib::Request& request, httplib::Response& response,
                         const httplib::ContentReader* reader) const
{
    const absl::Time begin = monotonic_now();
    bool body_read = !has_body(request);
    http_call call{request, response, response.get_header_value("X-Request-Id"), {}, {}};
    call.read_body = [&] {
        body_read = true;
        return read_limited(request, response, reader, settings_.max_body_bytes);
    };
    try {
        serve(call);
    } catch (const std::exception& problem) {
        LOG(ERROR) << log_fields("http_handler_failed")
                          .add("request_id", call.request_id)
                          .add("what", problem.what());
        send_error(response,
                   {error_kind::internal, "the request could not be handled",
                    "report this with the request id; the state of a submission can be queried"},
                   call.request_id);
    }
    if (!body_read) {
        const int status = response.status; // changed by the library if reading fails
        discard_body(response, reader, settings_.max_body_bytes);
        response.status = status;
    }
    const log_fields line = log_fields(log_name_)
                                .add("request_id", call.request_id)
                                .add("method", request.method)
                                .add("path", request.path)
                                .add("status", response.status)
                                .add("ms", absl::ToDoubleMilliseconds(monotonic_now() - begin));
    const bool verbose_only = request.method == "GET" || !settings_.log_successes;
    if (verbose_only && response.status == 200) {
        VLOG(1) << line;
    } else {
        LOG(INFO) << line;
    }
}

void http_server::serve(http_call& call) const
{
    const std::vector<std::string> segments = split_path(call.request.path);
    const auto found = find_route(call.request.method, segments);
    if (!found) {
        send_error(call.response, found.error(), call.request_id);
        if (found.error().kind == error_kind::invalid_request) {
            call.response.status = http_method_not_allowed;
        }
        return;
    }
    const route& target = *found.value();
    for (std::size_t i = 0; i < segments.size(); ++i) {
        if (target.segments[i] != name_segment) {
            continue;
        }
        if (!is_valid_name(segments[i])) {
            send_error(call.response,
                       {error_kind::invalid_request, "a name in the path is not valid",
                        "use 1 to 128 characters of A-Z a-z 0-9 . _ - that don't begin with a dot"},
                       call.request_id);
            return;
        }
        call.names.push_back(segments[i]);
    }
    target.handler(call);
}

} // namespace carobfall
