#include "carobfall/backend/http_task_runner.h"

#include "carobfall/base/strings.h"

#include <absl/strings/str_cat.h>
#include <httplib.h>

#include <algorithm>
#include <utility>

namespace carobfall {
namespace {

constexpr const char* loopback_address = "127.0.0.1";

/// The backend server is on the same machine; if connecting takes longer, it is considered down.
constexpr absl::Duration connection_timeout = absl::Seconds(1);

/// A connection idle for longer is replaced, because servers close idle connections (cpp-httplib
/// after 5 s), and the outcome of a request sent while the server closes is unknown.
constexpr absl::Duration idle_timeout = absl::Seconds(2);

/// A backend server that receives a task after its `start_before` time responds with this status
/// and header.
constexpr int too_late_status = 412;
constexpr const char* not_started_header = "X-Carobfall-Not-Started";

constexpr int success_status_first = 200;
constexpr int success_status_last = 299;

std::string json_or(const std::string& text, const char* fallback)
{
    return text.empty() ? fallback : text;
}

/// Joins the parameters and the payload, which are JSON texts, without parsing them again.
std::string body_of(const run_request& request)
{
    return absl::StrCat("{\"parameters\":", json_or(request.parameters_json, "{}"),
                        ",\"task\":", json_or(request.payload, "null"), "}");
}

httplib::Request http_request_of(const run_request& request)
{
    httplib::Request http;
    http.method = "POST";
    http.path = request.request_path;
    http.headers = {
        {"Content-Type", "application/json"},
        {"X-Carobfall-Account", request.key.submission.client_account},
        {"X-Carobfall-Submission", request.key.submission.submission_id},
        {"X-Carobfall-Task", absl::StrCat(request.key.index)},
        {"X-Carobfall-Attempt", absl::StrCat(request.attempt)},
        {"X-Carobfall-Deadline-Unix-Ms", absl::StrCat(request.deadline_unix_ms)},
        {"X-Carobfall-Start-Before-Unix-Ms", absl::StrCat(to_unix_ms(request.start_before))},
    };
    http.body = body_of(request);
    return http;
}

bool failed_to_connect(httplib::Error error)
{
    return error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout;
}

run_outcome not_run(rpc::refusal_reason reason)
{
    run_outcome outcome;
    outcome.refusal = reason;
    return outcome;
}

void set_response(rpc::task_result& result, int status, std::string body)
{
    result.set_backend_status(static_cast<std::uint32_t>(status));
    result.set_success(status >= success_status_first && status <= success_status_last);
    if (!result.success()) {
        result.set_error_message(
            absl::StrCat("the backend server answered with status ", status, "; see its log"));
    }
    result.set_body(std::move(body));
}

std::uint32_t run_ms(absl::Duration run)
{
    return static_cast<std::uint32_t>(std::max<std::int64_t>(0, absl::ToInt64Milliseconds(run)));
}

} // namespace

http_task_runner::http_task_runner(backend_port_function port, std::size_t max_result_bytes,
                                   clock_function clock)
    : port_(std::move(port)), max_result_bytes_(max_result_bytes), clock_(std::move(clock))
{}

http_task_runner::~http_task_runner() = default;

void http_task_runner::prepare_client(std::uint16_t port, absl::Time now, absl::Duration timeout)
{
    if (!client_ || port != connected_port_ || now - last_use_ > idle_timeout) {
        client_ = std::make_unique<httplib::Client>(loopback_address, port);
        client_->set_keep_alive(true);
        client_->set_tcp_nodelay(true);
        connected_port_ = port;
    }
    const auto remaining = absl::ToChronoMicroseconds(timeout);
    client_->set_connection_timeout(
        absl::ToChronoMicroseconds(std::min(timeout, connection_timeout)));
    client_->set_read_timeout(remaining);
    client_->set_write_timeout(remaining);
}

run_outcome http_task_runner::run(const run_request& request, absl::Time now)
{
    const std::uint16_t port = port_();
    if (port == 0) {
        return not_run(rpc::refusal_backend_unavailable);
    }
    const absl::Time deadline = from_unix_ms(request.deadline_unix_ms);
    if (deadline <= now) {
        return not_run(rpc::refusal_deadline);
    }
    prepare_client(port, now, deadline - now);

    std::string body;
    bool too_long = false;
    httplib::Request http = http_request_of(request);
    http.content_receiver = [&](const char* data, std::size_t size, std::uint64_t, std::uint64_t) {
        too_long = body.size() + size > max_result_bytes_;
        if (too_long || clock_() > deadline) {
            return false;
        }
        body.append(data, size);
        return true;
    };
    const httplib::Result response = client_->send(http);
    const absl::Time end = clock_();
    last_use_ = end;

    if (!response) {
        client_.reset();
        if (failed_to_connect(response.error())) {
            return not_run(end < deadline ? rpc::refusal_backend_unavailable
                                          : rpc::refusal_deadline);
        }
    }
    run_outcome outcome;
    outcome.result.set_run_ms(run_ms(end - now));
    if (!response) {
        outcome.result.set_error_message(
            too_long ? absl::StrCat("the result is longer than ", max_result_bytes_,
                                    " bytes; shorten it or raise the agent's limit")
                     : absl::StrCat("no complete response from the backend server before the "
                                    "deadline (",
                                    httplib::to_string(response.error()), "); see its log"));
        return outcome;
    }
    if (response->status == too_late_status && response->has_header(not_started_header)) {
        return not_run(rpc::refusal_no_lease);
    }
    set_response(outcome.result, response->status, std::move(body));
    return outcome;
}

} // namespace carobfall
