#include "backend_standin.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <utility>

namespace carobfall {
namespace {

using nlohmann::json;

constexpr const char* loopback = "127.0.0.1";
constexpr absl::Duration first_announce_retry = absl::Milliseconds(100);
constexpr absl::Duration poll_interval = absl::Milliseconds(10);
/// Longer than the time for which the agent keeps an idle connection.
constexpr std::time_t keep_alive_timeout_s = 3;
constexpr absl::Duration leave_grace = absl::Milliseconds(200);
constexpr int control_connections = 8;

json parse_object(const std::string& text)
{
    json document = json::parse(text, nullptr, false);
    return document.is_object() ? document : json::object();
}

// Whether the permission to start the task has expired, for instance because the agent was paused.
bool is_start_permission_expired(const httplib::Request& request)
{
    const std::string limit = request.get_header_value("X-Carobfall-Start-Before-Unix-Ms");
    std::int64_t start_before = 0;
    return absl::SimpleAtoi(limit, &start_before) && absl::ToUnixMillis(absl::Now()) > start_before;
}

} // namespace

backend_standin::backend_standin(standin_options options)
    : options_(std::move(options)),
      random_(options_.seed),
      fail_(options_.fail),
      hang_(options_.hang)
{
    std::ifstream earlier(options_.starts_file);
    starts_.assign(std::istreambuf_iterator<char>(earlier), {});
    server_.new_task_queue = [this] {
        return new httplib::ThreadPool(options_.slots + control_connections);
    };
    server_.set_keep_alive_timeout(keep_alive_timeout_s);
    server_.Get("/starts", [this](const httplib::Request&, httplib::Response& response) {
        response.set_content(starts(), "application/x-ndjson");
    });
    server_.Post("/control", [this](const httplib::Request& request, httplib::Response& response) {
        control(request, response);
    });
    server_.Post("/.*", [this](const httplib::Request& request, httplib::Response& response) {
        run_task(request, response);
    });
}

backend_standin::~backend_standin()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
        hang_ = false;
    }
    if (announcer_.joinable()) {
        announcer_.join();
    }
    thread_.stop();
}

bool backend_standin::start()
{
    port_ = thread_.start(loopback, options_.port);
    if (port_ == 0) {
        return false;
    }
    if (!options_.agent.empty()) {
        announcer_ = std::thread([this] { announce_repeatedly(); });
    }
    return true;
}

void backend_standin::leave()
{
    {
        const std::lock_guard lock(mutex_);
        announcing_ = false;
    }
    send_leave();
    // A task that the agent started before it received the departure may still arrive.
    absl::SleepFor(leave_grace);
}

std::string backend_standin::starts() const
{
    const std::lock_guard lock(mutex_);
    return starts_;
}

bool backend_standin::hanging() const
{
    const std::lock_guard lock(mutex_);
    return hang_;
}

void backend_standin::run_task(const httplib::Request& request, httplib::Response& response)
{
    if (is_start_permission_expired(request)) {
        response.status = 412;
        response.set_header("X-Carobfall-Not-Started", "true");
        return;
    }
    const json body = parse_object(request.body);
    const std::uint32_t run_ms = choose_run_ms(body);
    log_start(request, run_ms);
    absl::SleepFor(absl::Milliseconds(run_ms));
    while (hanging()) {
        absl::SleepFor(poll_interval);
    }
    const std::lock_guard lock(mutex_);
    if (fail_) {
        response.status = 500;
        response.set_content("{\"failed\":true}", "application/json");
        return;
    }
    const json task = body.contains("task") ? body["task"] : json();
    response.set_content(json{{"backend", options_.name}, {"echo", task}}.dump(),
                         "application/json");
}

void backend_standin::log_start(const httplib::Request& request, std::uint32_t run_ms)
{
    const json line = {
        {"account", request.get_header_value("X-Carobfall-Account")},
        {"submission", request.get_header_value("X-Carobfall-Submission")},
        {"task", std::atoi(request.get_header_value("X-Carobfall-Task").c_str())},
        {"attempt", std::atoi(request.get_header_value("X-Carobfall-Attempt").c_str())},
        {"run_ms", run_ms},
        {"time_unix_ms", absl::ToUnixMillis(absl::Now())}};
    const std::lock_guard lock(mutex_);
    absl::StrAppend(&starts_, line.dump(), "\n");
    if (!options_.starts_file.empty()) {
        std::ofstream(options_.starts_file, std::ios::app) << line.dump() << std::endl;
    }
}

std::uint32_t backend_standin::choose_run_ms(const json& body)
{
    const std::lock_guard lock(mutex_);
    if (std::uniform_real_distribution<double>()(random_) < options_.straggler_share) {
        return options_.straggler_ms;
    }
    const auto task = body.find("task");
    if (task != body.end() && task->is_object() && task->contains("run_ms") &&
        (*task)["run_ms"].is_number_unsigned()) {
        return (*task)["run_ms"].get<std::uint32_t>();
    }
    return std::uniform_int_distribution<std::uint32_t>(
        options_.run_ms, std::max(options_.run_ms, options_.run_max_ms))(random_);
}

void backend_standin::control(const httplib::Request& request, httplib::Response& response)
{
    const json body = parse_object(request.body);
    bool leaving = false;
    {
        const std::lock_guard lock(mutex_);
        fail_ = body.value("fail", fail_);
        hang_ = body.value("hang", hang_);
        announcing_ = body.value("announce", announcing_);
        leaving = body.value("leave", false);
    }
    if (leaving) {
        leave();
    }
    response.set_content("{}", "application/json");
}

void backend_standin::announce_repeatedly()
{
    absl::Duration wait = absl::ZeroDuration();
    absl::Time last = absl::InfinitePast();
    while (true) {
        {
            const std::lock_guard lock(mutex_);
            if (stopping_) {
                return;
            }
            if (!announcing_) {
                last = absl::Now();
            }
        }
        if (absl::Now() - last >= wait) {
            wait = announce();
            last = absl::Now();
        }
        absl::SleepFor(poll_interval);
    }
}

absl::Duration backend_standin::announce()
{
    httplib::Client client("http://" + options_.agent);
    const json body = {{"name", options_.name},
                       {"port", port_},
                       {"slots", options_.slots},
                       {"processors", options_.processors},
                       {"memory_mib", options_.memory_mib}};
    const httplib::Result reply = client.Post("/v1/announce", body.dump(), "application/json");
    if (!reply || reply->status != 200) {
        return first_announce_retry;
    }
    return absl::Milliseconds(parse_object(reply->body).value("interval_ms", 1000));
}

void backend_standin::send_leave()
{
    if (options_.agent.empty()) {
        return;
    }
    httplib::Client client("http://" + options_.agent);
    client.Post("/v1/leave", json{{"name", options_.name}}.dump(), "application/json");
}

} // namespace carobfall
