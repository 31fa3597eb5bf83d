#include "carobfall/agent/agent_server.h"

#include <absl/strings/str_cat.h>
#include <grpcpp/grpcpp.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace carobfall {
namespace {

/// Maximum size of a request. A batch has at most one task for each slot and each queue place.
constexpr int max_request_bytes = 16 * 1024 * 1024;

/// Maximum number of threads that serve calls. A call takes well under a millisecond.
constexpr int max_server_threads = 32;

/// Calls in progress are cancelled this long after `stop`.
constexpr std::chrono::milliseconds stop_timeout{1000};

/// Checks the fields that every entry sets, so that requests of defective or foreign clients are
/// refused before they reach the ledger.
bool is_valid(const rpc::submission_key& submission, std::int64_t deadline_unix_ms)
{
    return !submission.client_account().empty() && !submission.submission_id().empty() &&
           submission.client_account().size() <= max_name_bytes &&
           submission.submission_id().size() <= max_name_bytes && deadline_unix_ms > 0;
}

template <typename Tasks>
bool has_valid_indexes(const Tasks& tasks)
{
    for (const auto& task : tasks) {
        if (task.index() >= max_tasks_per_submission) {
            return false;
        }
    }
    return true;
}

bool has_refusal(const rpc::start_reply& reply, rpc::refusal_reason reason)
{
    return std::any_of(reply.tasks().begin(), reply.tasks().end(),
                       [&](const rpc::task_status& task) { return task.reason() == reason; });
}

grpc::Status invalid_request()
{
    return {grpc::StatusCode::INVALID_ARGUMENT,
            "the submission key, the deadline, the coordinator or a task index is missing or out "
            "of bounds; nothing was changed"};
}

} // namespace

agent_server::agent_server(task_ledger& ledger, agent_server_events events,
                           metrics_registry& metrics, clock_function clock)
    : ledger_(ledger), events_(std::move(events)), metrics_(metrics), clock_(std::move(clock))
{}

agent_server::~agent_server()
{
    stop();
}

result<void> agent_server::listen(const std::string& address)
{
    grpc::ResourceQuota quota;
    quota.SetMaxThreads(max_server_threads);
    int port = 0;
    grpc::ServerBuilder builder;
    builder.SetResourceQuota(quota);
    builder.SetMaxReceiveMessageSize(max_request_bytes);
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.AddListeningPort(address, grpc::InsecureServerCredentials(), &port);
    builder.RegisterService(this);
    server_ = builder.BuildAndStart();
    if (!server_ || port == 0) {
        return failure(error_kind::unavailable, absl::StrCat("cannot listen on ", address),
                       "choose a free port and an address of this machine");
    }
    port_ = static_cast<std::uint16_t>(port);
    return success();
}

void agent_server::stop()
{
    if (server_) {
        server_->Shutdown(std::chrono::system_clock::now() + stop_timeout);
        server_->Wait();
        server_.reset();
    }
}

grpc::Status agent_server::start(grpc::ServerContext* /*context*/,
                                 const rpc::start_request* request, rpc::start_reply* reply)
{
    if (!is_valid(request->submission(), request->deadline_unix_ms()) ||
        !has_valid_indexes(request->tasks()) || request->coordinator().address().empty()) {
        return invalid_request();
    }
    *reply = ledger_.start(*request, clock_());
    count(*reply);
    if (has_refusal(*reply, rpc::refusal_data_centre_out)) {
        events_.refused_data_centre_out(request->configuration_version());
    }
    return grpc::Status::OK;
}

void agent_server::count(const rpc::start_reply& reply)
{
    std::size_t queued = 0;
    for (const rpc::task_status& task : reply.tasks()) {
        if (task.state() == rpc::task_state_queued) {
            ++queued;
        }
        metrics_.add(absl::StrCat("start_replies_total{state=\"",
                                  rpc::task_state_Name(task.state()), "\",reason=\"",
                                  rpc::refusal_reason_Name(task.reason()), "\"}"));
    }
    if (queued > 0) {
        events_.tasks_queued(queued);
    }
}

grpc::Status agent_server::revoke(grpc::ServerContext* /*context*/,
                                  const rpc::revoke_request* request, rpc::revoke_reply* reply)
{
    if (!is_valid(request->submission(), request->deadline_unix_ms()) ||
        !has_valid_indexes(request->tasks())) {
        return invalid_request();
    }
    *reply = ledger_.revoke(*request, clock_());
    metrics_.add("tasks_revoke_requests_total", static_cast<std::uint64_t>(request->tasks_size()));
    return grpc::Status::OK;
}

grpc::Status agent_server::fence(grpc::ServerContext* /*context*/,
                                 const rpc::fence_request* request, rpc::fence_reply* reply)
{
    *reply = ledger_.fence(*request);
    metrics_.add("fence_requests_total");
    if (request->request_beat()) {
        events_.heartbeat_requested();
    }
    return grpc::Status::OK;
}

} // namespace carobfall
