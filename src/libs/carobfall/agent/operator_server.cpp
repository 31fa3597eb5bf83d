#include "carobfall/agent/operator_server.h"

#include <httplib.h>

#include <utility>

namespace carobfall {
namespace {

constexpr std::size_t server_threads = 4;
constexpr std::time_t keep_alive_limit_s = 1;
constexpr std::size_t max_body_bytes = 1024;
constexpr int status_unavailable = 503;

} // namespace

agent_operator_server::agent_operator_server(operator_sources sources)
    : sources_(std::move(sources)),
      server_(std::make_unique<httplib::Server>()),
      listener_(*server_)
{
    server_->set_payload_max_length(max_body_bytes);
    server_->set_keep_alive_timeout(keep_alive_limit_s);
    server_->new_task_queue = [] { return new httplib::ThreadPool(server_threads); };
    server_->Get("/debug/state", [this](const httplib::Request&, httplib::Response& response) {
        response.set_content(sources_.state_json(), "application/json");
    });
    server_->Get("/metrics", [this](const httplib::Request&, httplib::Response& response) {
        response.set_content(sources_.metrics_text(), "text/plain; version=0.0.4");
    });
    server_->Get("/healthz", [](const httplib::Request&, httplib::Response& response) {
        response.set_content("ok\n", "text/plain");
    });
    server_->Get("/readyz", [this](const httplib::Request&, httplib::Response& response) {
        const std::string reason = sources_.not_ready_reason();
        response.status = reason.empty() ? 200 : status_unavailable;
        response.set_content(reason.empty() ? "ready\n" : reason + "\n", "text/plain");
    });
}

agent_operator_server::~agent_operator_server() = default;

} // namespace carobfall
